package wal

import (
	"bytes"
	"errors"
	"io/fs"
	"maps"
	"math/rand/v2"
	"slices"
)

// ErrCrashed is returned by all operations on a MemoryDisk that has crashed.
var ErrCrashed = errors.New("simulated crash of the machine")

var _ Disk = (*MemoryDisk)(nil)

type (
	// MemoryDisk is a Disk in memory, for processes without persistent state and
	// for tests. It can simulate a crash, which loses data that wasn't synced.
	// Its methods must not be called concurrently.
	MemoryDisk struct {
		CrashAt     int   // crash before this operation, counted from 1; 0 for never
		WriteError  error // returned by Write and Sync, if not nil
		IgnoreSyncs bool  // Sync returns nil without making anything durable

		files      map[string]*memoryFile
		operations int // since the last Crash
		crashed    bool
	}

	memoryFile struct {
		disk    *MemoryDisk
		synced  []byte // content that survives a crash
		content []byte
	}
)

// NewMemoryDisk returns an empty disk.
func NewMemoryDisk() *MemoryDisk {
	return &MemoryDisk{files: map[string]*memoryFile{}}
}

// OperationCount returns the number of operations since the last Crash.
func (m *MemoryDisk) OperationCount() int { return m.operations }

// Crashed reports whether the operation CrashAt was reached, so that all
// operations fail until Crash.
func (m *MemoryDisk) Crashed() bool { return m.crashed }

// Crash simulates a crash and a restart of the machine. Of the data appended to
// a file since its last sync, a prefix of random length survives, in which
// random sectors may be zeros. CrashAt is reset.
func (m *MemoryDisk) Crash(random *rand.Rand) {
	for _, name := range slices.Sorted(maps.Keys(m.files)) {
		m.files[name].crash(random)
	}
	m.crashed = false
	m.operations = 0
	m.CrashAt = 0
}

// FlipBit inverts a bit of a file, in the synced content too.
func (m *MemoryDisk) FlipBit(name string, bit int) {
	f := m.files[name]
	f.content[bit/8] ^= 1 << (bit % 8)
	f.synced = bytes.Clone(f.content)
}

// FileSize returns the size of a file in bytes.
func (m *MemoryDisk) FileSize(name string) int { return len(m.files[name].content) }

// ReadFile implements Disk.
func (m *MemoryDisk) ReadFile(name string) ([]byte, error) {
	if err := m.countOperation(); err != nil {
		return nil, err
	}
	f := m.files[name]
	if f == nil {
		return nil, fs.ErrNotExist
	}
	return bytes.Clone(f.content), nil
}

// Create implements Disk.
func (m *MemoryDisk) Create(name string) (File, error) {
	if err := m.countOperation(); err != nil {
		return nil, err
	}
	m.files[name] = &memoryFile{disk: m}
	return m.files[name], nil
}

// OpenAppend implements Disk.
func (m *MemoryDisk) OpenAppend(name string, size int64) (File, error) {
	if err := m.countOperation(); err != nil {
		return nil, err
	}
	f := m.files[name]
	if f == nil {
		f = &memoryFile{disk: m}
		m.files[name] = f
	}
	f.content = f.content[:size]
	return f, nil
}

// Rename implements Disk.
func (m *MemoryDisk) Rename(from, to string) error {
	if err := m.countOperation(); err != nil {
		return err
	}
	m.files[to] = m.files[from]
	delete(m.files, from)
	return nil
}

// countOperation counts an operation. It returns ErrCrashed from the operation
// CrashAt on.
func (m *MemoryDisk) countOperation() error {
	m.operations++
	if m.operations == m.CrashAt {
		m.crashed = true
	}
	if m.crashed {
		return ErrCrashed
	}
	return nil
}

// Write implements File. If the crash happens in this operation, p is appended
// but not synced, so that a part of it may survive.
func (f *memoryFile) Write(p []byte) (int, error) {
	if f.disk.WriteError != nil {
		return 0, f.disk.WriteError
	}
	err := f.disk.countOperation()
	if !f.disk.crashed || f.disk.operations == f.disk.CrashAt {
		f.content = append(f.content, p...)
	}
	if err != nil {
		return 0, err
	}
	return len(p), nil
}

// Sync implements File.
func (f *memoryFile) Sync() error {
	if f.disk.WriteError != nil {
		return f.disk.WriteError
	}
	if err := f.disk.countOperation(); err != nil {
		return err
	}
	if !f.disk.IgnoreSyncs {
		f.synced = bytes.Clone(f.content)
	}
	return nil
}

// Close implements File.
func (f *memoryFile) Close() error { return nil }

// crash applies Crash to a file. Content that doesn't extend the synced content,
// because the file was truncated, is replaced by the synced content.
func (f *memoryFile) crash(random *rand.Rand) {
	extended := len(f.content) >= len(f.synced) && bytes.Equal(f.content[:len(f.synced)], f.synced)
	if !extended {
		f.content = bytes.Clone(f.synced)
		return
	}
	unsynced := bytes.Clone(f.content[len(f.synced):])
	unsynced = unsynced[:random.IntN(len(unsynced)+1)]
	if len(unsynced) > 0 && random.IntN(2) == 0 {
		start := len(f.synced) / sectorBytes * sectorBytes
		for offset := start; offset < len(f.synced)+len(unsynced); offset += sectorBytes {
			if random.IntN(3) == 0 {
				zeroSector(unsynced, offset-len(f.synced))
			}
		}
	}
	f.content = append(bytes.Clone(f.synced), unsynced...)
	f.synced = bytes.Clone(f.content)
}

// zeroSector overwrites the part of a sector that is in unsynced with zeros. The
// sector starts at offset, which is negative if its first part is synced.
func zeroSector(unsynced []byte, offset int) {
	for i := max(offset, 0); i < min(offset+sectorBytes, len(unsynced)); i++ {
		unsynced[i] = 0
	}
}
