package wal

import (
	"os"
	"path/filepath"
	"syscall"

	"endivedeck.example/fault"
)

const lockFile = "lock"

var _ Disk = (*Folder)(nil)

// Folder is a Disk in a folder of the file system. Create it with NewFolder.
type Folder struct {
	path string
	lock *os.File
}

// NewFolder opens the folder at path, making it where it isn't there, and
// keeps other processes out of it until Close.
func NewFolder(path string) (*Folder, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, wrap("making the data folder", err)
	}
	lock, err := os.OpenFile(filepath.Join(path, lockFile), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, wrap("opening the data folder", err)
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = lock.Close()
		return nil, fault.New(fault.Conflict, fault.No, "the data folder %s is in use by another process", path)
	}
	return &Folder{path: path, lock: lock}, nil
}

// Close lets other processes use the folder.
func (f *Folder) Close() error { return f.lock.Close() }

// Read implements Disk.
func (f *Folder) Read(name string) ([]byte, error) {
	return os.ReadFile(filepath.Join(f.path, name))
}

// Create implements Disk.
func (f *Folder) Create(name string) (File, error) {
	return os.OpenFile(filepath.Join(f.path, name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
}

// Append implements Disk.
func (f *Folder) Append(name string, size int64) (File, error) {
	file, err := os.OpenFile(filepath.Join(f.path, name), os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	if err := file.Truncate(size); err != nil {
		_ = file.Close()
		return nil, err
	}
	if _, err := file.Seek(size, 0); err != nil {
		_ = file.Close()
		return nil, err
	}
	if err := f.sync(); err != nil {
		_ = file.Close()
		return nil, err
	}
	return file, nil
}

// Rename implements Disk. The folder itself is synced, since a name lasts no
// longer than its folder's entry.
func (f *Folder) Rename(from, to string) error {
	if err := os.Rename(filepath.Join(f.path, from), filepath.Join(f.path, to)); err != nil {
		return err
	}
	return f.sync()
}

func (f *Folder) sync() error {
	folder, err := os.Open(f.path)
	if err != nil {
		return err
	}
	defer folder.Close()
	return folder.Sync()
}
