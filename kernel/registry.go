package kernel

import (
	"slices"
	"sync"

	"endivedeck.example/fault"
)

// Registry holds the plug-ins of one type by name. The package that uses them
// declares it. Plug-ins register themselves from an init function; after that the
// registry is only read.
type Registry[T any] struct {
	name    string
	mu      sync.RWMutex
	plugins map[string]T
}

// NewRegistry returns an empty registry. The name says what one of its plug-ins
// is, such as "transport", and is used in messages.
func NewRegistry[T any](name string) *Registry[T] {
	return &Registry[T]{name: name, plugins: map[string]T{}}
}

// Register adds a plug-in. It panics if the name is registered already, because
// that is a programming error.
func (r *Registry[T]) Register(name string, plugin T) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.plugins[name]; ok {
		panic("kernel: duplicate registration of " + name + " in registry " + r.name)
	}
	r.plugins[name] = plugin
}

// Lookup returns the plug-in with the given name. If there is none, the error is
// fault.NotFound and lists the registered names.
func (r *Registry[T]) Lookup(name string) (T, error) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	plugin, ok := r.plugins[name]
	if !ok {
		return plugin, fault.New(fault.NotFound, fault.NotRun, "no %s named %q, want one of %v", r.name, name, r.names())
	}
	return plugin, nil
}

// Names returns the names of the plug-ins, sorted.
func (r *Registry[T]) Names() []string {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.names()
}

func (r *Registry[T]) names() []string {
	names := make([]string, 0, len(r.plugins))
	for name := range r.plugins {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
