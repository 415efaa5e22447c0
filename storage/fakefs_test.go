package storage_test

import (
	"errors"
	"io"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"syscall"

	"hawthornshore.example/storage"
)

var errCrash = errors.New("simulated crash")

// fakeFS is a folder in memory. A crash loses what was not synced: a part of
// the bytes of files, and a part of the changes to the folder.
type fakeFS struct {
	random  *rand.Rand
	files   map[string]*fakeFile
	durable map[string]*fakeFile         // as of the last SyncFolder
	changes []func(map[string]*fakeFile) // since the last SyncFolder
	locked  bool
	// operations counts calls; all calls after crashAt fail until crash if it is not -1.
	operations, crashAt int
	diskFull            float64 // probability that a call finds the disk full
}

type fakeFile struct {
	fs     *fakeFS
	data   []byte
	synced int // leading bytes that a crash keeps
}

func newFakeFS(seed uint64) *fakeFS {
	return &fakeFS{
		random: rand.New(rand.NewPCG(seed, 3)), crashAt: -1,
		files: map[string]*fakeFile{}, durable: map[string]*fakeFile{},
	}
}

func (f *fakeFS) call() error {
	f.operations++
	if f.crashAt >= 0 && f.operations > f.crashAt {
		return errCrash
	}
	return nil
}

func (f *fakeFS) writeCall() error {
	if err := f.call(); err != nil {
		return err
	}
	if f.random.Float64() < f.diskFull {
		return syscall.ENOSPC
	}
	return nil
}

// crash loses a random part of the unsynced changes; calls succeed again.
func (f *fakeFS) crash() {
	for _, change := range f.changes[:f.random.IntN(len(f.changes)+1)] {
		change(f.durable)
	}
	f.changes, f.locked, f.crashAt = nil, false, -1
	f.files = maps.Clone(f.durable)
	for _, file := range f.files {
		keep := file.synced + f.random.IntN(len(file.data)-file.synced+1)
		lost := len(file.data) - keep
		file.data = file.data[:keep:keep]
		if f.random.IntN(3) == 0 {
			file.data = append(file.data, make([]byte, f.random.IntN(lost+1))...)
		}
		file.synced = len(file.data)
	}
}

func (f *fakeFS) change(apply func(map[string]*fakeFile)) {
	apply(f.files)
	f.changes = append(f.changes, apply)
}

func (f *fakeFS) List() ([]string, error) {
	return slices.Sorted(maps.Keys(f.files)), f.call()
}

func (f *fakeFS) Read(name string) ([]byte, error) {
	if f.files[name] == nil {
		return nil, os.ErrNotExist
	}
	return f.files[name].data, f.call()
}

func (f *fakeFS) Create(name string) (storage.File, error) {
	if err := f.writeCall(); err != nil {
		return nil, err
	}
	file := &fakeFile{fs: f}
	f.change(func(files map[string]*fakeFile) { files[name] = file })
	return file, nil
}

func (f *fakeFS) Append(name string) (storage.File, error) { return f.files[name], f.call() }

func (f *fakeFS) Rename(oldName, newName string) error {
	if err := f.call(); err != nil {
		return err
	}
	f.change(func(files map[string]*fakeFile) {
		files[newName] = files[oldName]
		delete(files, oldName)
	})
	return nil
}

func (f *fakeFS) Remove(name string) error {
	if err := f.call(); err != nil {
		return err
	}
	f.change(func(files map[string]*fakeFile) { delete(files, name) })
	return nil
}

func (f *fakeFS) SetAside(_ string, names []string) error {
	for _, name := range names {
		if err := f.Remove(name); err != nil {
			return err
		}
	}
	return f.SyncFolder()
}

func (f *fakeFS) SyncFolder() error {
	if err := f.call(); err != nil {
		return err
	}
	f.changes, f.durable = nil, maps.Clone(f.files)
	return nil
}

func (f *fakeFS) Lock(string) (io.Closer, error) {
	if f.locked {
		return nil, &storage.LockedError{Folder: "fake"}
	}
	f.locked = true
	return f, nil
}

func (f *fakeFS) Close() error {
	f.locked = false
	return nil
}

func (f *fakeFile) Write(data []byte) (int, error) {
	err := f.fs.writeCall()
	if err != nil {
		data = data[:f.fs.random.IntN(len(data)+1)]
	}
	f.data = append(f.data, data...)
	return len(data), err
}

func (f *fakeFile) Sync() error {
	if err := f.fs.writeCall(); err != nil {
		return err
	}
	f.synced = len(f.data)
	return nil
}

func (f *fakeFile) Truncate(size int64) error {
	if err := f.fs.call(); err != nil {
		return err
	}
	f.data = f.data[:size:size]
	f.synced = min(f.synced, len(f.data))
	return nil
}

func (f *fakeFile) Close() error { return nil }
