package storage

import "io"

// FileSystem provides the operations on one folder that the package needs.
// Names are relative to it and contain no separator. Tests use fakes that lose
// unsynced writes or run out of space.
type FileSystem interface {
	// List returns the names of the files in the folder, without folders.
	List() ([]string, error)
	// Read returns the contents of a file.
	Read(name string) ([]byte, error)
	// Create opens a new empty file for writing; an existing one is emptied.
	Create(name string) (File, error)
	// Append opens an existing file for writing at its end.
	Append(name string) (File, error)
	// Rename replaces the file newName by oldName.
	Rename(oldName, newName string) error
	Remove(name string) error
	// SetAside moves files into a folder below this one.
	SetAside(folder string, names []string) error
	// SyncFolder makes creations, renames and removals durable.
	SyncFolder() error
	// Lock takes an exclusive lock, which is held until it is closed. The error
	// is a *LockedError if another process holds it.
	Lock(name string) (io.Closer, error)
}

// File is a file open for writing at its end.
type File interface {
	io.Writer
	io.Closer
	Sync() error
	Truncate(size int64) error
}
