package storage

import (
	"errors"
	"io"
	"os"
	"path/filepath"
	"syscall"
)

// Folder is a FileSystem over a folder of the operating system.
type Folder struct{ path string }

// OpenFolder returns the folder at path and creates it if it is missing.
func OpenFolder(path string) (*Folder, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, err
	}
	return &Folder{path: path}, syncPath(filepath.Dir(path))
}

func (f *Folder) join(name string) string { return filepath.Join(f.path, name) }

// List implements FileSystem.
func (f *Folder) List() ([]string, error) {
	items, err := os.ReadDir(f.path)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, item := range items {
		if !item.IsDir() {
			names = append(names, item.Name())
		}
	}
	return names, nil
}

// Read implements FileSystem.
func (f *Folder) Read(name string) ([]byte, error) { return os.ReadFile(f.join(name)) }

// Create implements FileSystem.
func (f *Folder) Create(name string) (File, error) {
	return os.OpenFile(f.join(name), os.O_WRONLY|os.O_CREATE|os.O_TRUNC|os.O_APPEND, 0o600)
}

// Append implements FileSystem.
func (f *Folder) Append(name string) (File, error) {
	return os.OpenFile(f.join(name), os.O_WRONLY|os.O_APPEND, 0o600)
}

// Rename implements FileSystem.
func (f *Folder) Rename(oldName, newName string) error {
	return os.Rename(f.join(oldName), f.join(newName))
}

// Remove implements FileSystem.
func (f *Folder) Remove(name string) error { return os.Remove(f.join(name)) }

// SetAside implements FileSystem.
func (f *Folder) SetAside(folder string, names []string) error {
	if err := os.MkdirAll(f.join(folder), 0o700); err != nil {
		return err
	}
	for _, name := range names {
		if err := os.Rename(f.join(name), filepath.Join(f.join(folder), name)); err != nil {
			return err
		}
	}
	if err := syncPath(f.join(folder)); err != nil {
		return err
	}
	return f.SyncFolder()
}

// SyncFolder implements FileSystem.
func (f *Folder) SyncFolder() error { return syncPath(f.path) }

// Lock implements FileSystem. The lock is released when the process ends.
func (f *Folder) Lock(name string) (io.Closer, error) {
	file, err := os.OpenFile(f.join(name), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	err = syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
	if err == nil {
		return file, nil
	}
	file.Close()
	if errors.Is(err, syscall.EWOULDBLOCK) {
		return nil, &LockedError{Folder: f.path}
	}
	return nil, err
}

func syncPath(path string) error {
	folder, err := os.Open(path)
	if err != nil {
		return err
	}
	defer folder.Close()
	return folder.Sync()
}
