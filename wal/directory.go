package wal

import (
	"os"
	"path/filepath"
	"syscall"

	"endivedeck.example/fault"
)

const lockFile = "lock"

var _ Disk = (*Directory)(nil)

// Directory is a Disk on a directory of the file system. Create it with
// OpenDirectory.
type Directory struct {
	path string
	lock *os.File
}

// OpenDirectory opens the directory at path and creates it if necessary. Until
// Close, no other process can open it.
func OpenDirectory(path string) (*Directory, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, diskError("creating the data directory", err)
	}
	lock, err := os.OpenFile(filepath.Join(path, lockFile), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, diskError("opening the lock file of the data directory", err)
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = lock.Close()
		return nil, fault.New(fault.Conflict, fault.NotRun, "the data directory %s is in use by another process", path)
	}
	return &Directory{path: path, lock: lock}, nil
}

// Close releases the lock on the directory.
func (d *Directory) Close() error { return d.lock.Close() }

// ReadFile implements Disk.
func (d *Directory) ReadFile(name string) ([]byte, error) {
	return os.ReadFile(filepath.Join(d.path, name))
}

// Create implements Disk.
func (d *Directory) Create(name string) (File, error) {
	return os.OpenFile(filepath.Join(d.path, name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
}

// OpenAppend implements Disk.
func (d *Directory) OpenAppend(name string, size int64) (File, error) {
	file, err := os.OpenFile(filepath.Join(d.path, name), os.O_CREATE|os.O_WRONLY, 0o600)
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
	if err := d.syncDir(); err != nil {
		_ = file.Close()
		return nil, err
	}
	return file, nil
}

// Rename implements Disk. It syncs the directory, without which the new name
// might not survive a crash.
func (d *Directory) Rename(from, to string) error {
	if err := os.Rename(filepath.Join(d.path, from), filepath.Join(d.path, to)); err != nil {
		return err
	}
	return d.syncDir()
}

// syncDir makes creations and renames of files durable.
func (d *Directory) syncDir() error {
	dir, err := os.Open(d.path)
	if err != nil {
		return err
	}
	defer dir.Close()
	return dir.Sync()
}
