package storage

import (
	"errors"
	"fmt"

	"hawthornshore.example/consensus"
)

// ErrBroken is wrapped by the error of every Save after one that failed in a
// way that leaves the contents of the folder unknown.
var ErrBroken = errors.New("data folder refuses writes after an earlier failure")

// CorruptionError reports a durable record that cannot be read.
type CorruptionError struct {
	File   string
	Offset int64 // in bytes, from the beginning of the file
	Reason string
}

func (e *CorruptionError) Error() string {
	return fmt.Sprintf("corrupt data: file=%s offset=%d: %s", e.File, e.Offset, e.Reason)
}

// DiskFullError reports that the disk is full. Nothing of the failed call is
// acknowledged. errors.Is(err, consensus.ErrDiskFull) holds.
type DiskFullError struct {
	File string
	Err  error
}

func (e *DiskFullError) Error() string {
	return fmt.Sprintf("disk is full: file=%s: %v", e.File, e.Err)
}

// Unwrap returns the causes.
func (e *DiskFullError) Unwrap() []error { return []error{consensus.ErrDiskFull, e.Err} }

// LockedError reports that another process uses the folder.
type LockedError struct{ Folder string }

func (e *LockedError) Error() string { return "data folder is in use by another process: " + e.Folder }
