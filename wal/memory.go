package wal

import (
	"bytes"
	"errors"
	"io/fs"
	"maps"
	"math/rand/v2"
	"slices"
)

// ErrCrashed is what a Memory disk returns for everything after its crash.
var ErrCrashed = errors.New("the disk's machine has crashed")

var _ Disk = (*Memory)(nil)

type (
	// Memory is a Disk in memory, for processes that keep nothing and for tests
	// of what is built on a Disk: when it crashes it loses what wasn't synced.
	// It is for one goroutine.
	Memory struct {
		CrashAt int   // the operation, counted from 1, before which it crashes; 0 for never
		Fail    error // what Write and Sync return, if not nil
		Lying   bool  // Sync returns without making anything durable

		files   map[string]*memoryFile
		count   int
		crashed bool
	}

	memoryFile struct {
		disk   *Memory
		synced []byte
		text   []byte
	}
)

// NewMemory returns an empty disk.
func NewMemory() *Memory {
	return &Memory{files: map[string]*memoryFile{}}
}

// Operations returns how many operations there were.
func (m *Memory) Operations() int { return m.count }

// Crashed reports whether the disk's machine crashed since the last Crash.
func (m *Memory) Crashed() bool { return m.crashed }

// Crash makes the disk lose what wasn't synced, but for a random part of it:
// a beginning, with sectors that may have stayed blank.
func (m *Memory) Crash(random *rand.Rand) {
	for _, name := range slices.Sorted(maps.Keys(m.files)) {
		m.files[name].tear(random)
	}
	m.crashed = false
	m.count = 0
	m.CrashAt = 0
}

// Flip flips one bit of a file.
func (m *Memory) Flip(name string, bit int) {
	f := m.files[name]
	f.text[bit/8] ^= 1 << (bit % 8)
	f.synced = bytes.Clone(f.text)
}

// Size returns a file's size in bytes.
func (m *Memory) Size(name string) int { return len(m.files[name].text) }

// Read implements Disk.
func (m *Memory) Read(name string) ([]byte, error) {
	if err := m.operation(); err != nil {
		return nil, err
	}
	f := m.files[name]
	if f == nil {
		return nil, fs.ErrNotExist
	}
	return bytes.Clone(f.text), nil
}

// Create implements Disk.
func (m *Memory) Create(name string) (File, error) {
	if err := m.operation(); err != nil {
		return nil, err
	}
	m.files[name] = &memoryFile{disk: m}
	return m.files[name], nil
}

// Append implements Disk.
func (m *Memory) Append(name string, size int64) (File, error) {
	if err := m.operation(); err != nil {
		return nil, err
	}
	f := m.files[name]
	if f == nil {
		f = &memoryFile{disk: m}
		m.files[name] = f
	}
	f.text = f.text[:size]
	return f, nil
}

// Rename implements Disk.
func (m *Memory) Rename(from, to string) error {
	if err := m.operation(); err != nil {
		return err
	}
	m.files[to] = m.files[from]
	delete(m.files, from)
	return nil
}

func (m *Memory) operation() error {
	m.count++
	if m.count == m.CrashAt {
		m.crashed = true
	}
	if m.crashed {
		return ErrCrashed
	}
	return nil
}

// Write implements File. A crash in the middle of a write leaves all of it
// unsynced.
func (f *memoryFile) Write(p []byte) (int, error) {
	if f.disk.Fail != nil {
		return 0, f.disk.Fail
	}
	err := f.disk.operation()
	if !f.disk.crashed || f.disk.count == f.disk.CrashAt {
		f.text = append(f.text, p...)
	}
	if err != nil {
		return 0, err
	}
	return len(p), nil
}

// Sync implements File.
func (f *memoryFile) Sync() error {
	if f.disk.Fail != nil {
		return f.disk.Fail
	}
	if err := f.disk.operation(); err != nil {
		return err
	}
	if !f.disk.Lying {
		f.synced = bytes.Clone(f.text)
	}
	return nil
}

// Close implements File.
func (f *memoryFile) Close() error { return nil }

func (f *memoryFile) tear(random *rand.Rand) {
	same := len(f.text) >= len(f.synced) && bytes.Equal(f.text[:len(f.synced)], f.synced)
	if !same {
		f.text = bytes.Clone(f.synced)
		return
	}
	extra := bytes.Clone(f.text[len(f.synced):])
	extra = extra[:random.IntN(len(extra)+1)]
	if len(extra) > 0 && random.IntN(2) == 0 {
		start := len(f.synced) / sectorBytes * sectorBytes
		for at := start; at < len(f.synced)+len(extra); at += sectorBytes {
			if random.IntN(3) == 0 {
				blank(extra, at-len(f.synced))
			}
		}
	}
	f.text = append(bytes.Clone(f.synced), extra...)
	f.synced = bytes.Clone(f.text)
}

func blank(extra []byte, from int) {
	for i := max(from, 0); i < min(from+sectorBytes, len(extra)); i++ {
		extra[i] = 0
	}
}
