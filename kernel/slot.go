package kernel

import (
	"slices"
	"sync"

	"endivedeck.example/fault"
)

// Slot is a named place for plug-ins of one type. The package that uses a
// kind of plug-in declares the slot; the plug-ins register themselves in it
// from an init function. Slots are filled before main starts and only read
// afterwards.
type Slot[T any] struct {
	name    string
	mu      sync.RWMutex
	plugins map[string]T
}

// NewSlot returns an empty slot; name is used in messages.
func NewSlot[T any](name string) *Slot[T] {
	return &Slot[T]{name: name, plugins: map[string]T{}}
}

// Register adds a plug-in. It panics when the name is taken, since that is a
// mistake in the program and not in its use.
func (s *Slot[T]) Register(name string, plugin T) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, taken := s.plugins[name]; taken {
		panic("kernel: two plug-ins named " + name + " in slot " + s.name)
	}
	s.plugins[name] = plugin
}

// Find returns the plug-in of the given name, or fault.NotFound with the
// names that there are.
func (s *Slot[T]) Find(name string) (T, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	plugin, ok := s.plugins[name]
	if !ok {
		return plugin, fault.New(fault.NotFound, fault.No, "no %s named %q; there are %v", s.name, name, s.names())
	}
	return plugin, nil
}

// Names returns the names of the registered plug-ins in order.
func (s *Slot[T]) Names() []string {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.names()
}

func (s *Slot[T]) names() []string {
	names := make([]string, 0, len(s.plugins))
	for name := range s.plugins {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
