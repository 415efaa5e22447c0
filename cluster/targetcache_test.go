package cluster

import (
	"bytes"
	"io"
	"math"
	"os"
	"path/filepath"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"hawthornshore.example/placement"
	"hawthornshore.example/storage"
)

var _ = Describe("targetCache", func() {
	targets := []placement.Description{{
		ID: "i-1", Service: "s", Address: "10.0.0.9:80", DataCentre: "z", Labels: []string{"a", "r1"},
		Capacity: placement.Resources{CPUMillis: 32000, MemoryMB: 4096}, BootUnixMS: 99,
	}}

	// Guards against a restarted coordinator that loads no targets or altered ones.
	It("loads the targets that it has written", func() {
		folder := GinkgoT().TempDir()
		c := newTargetCache(folder, zerolog.New(io.Discard))
		Expect(c.load()).To(BeEmpty())
		Expect(c.write(targetList(targets))).To(Succeed())
		Expect(c.load()).To(Equal(targets))
	})

	// Guards against an entry of another writer, stored by an earlier version, that
	// comes back with each start.
	It("leaves out a target that is not valid", func() {
		folder := GinkgoT().TempDir()
		var log bytes.Buffer
		c := newTargetCache(folder, zerolog.New(&log))
		odd := targets[0]
		odd.ID, odd.Address = "i-2", "10.0.0.9:99999"
		huge := targets[0]
		huge.ID, huge.BootUnixMS, huge.Labels = "i-3", math.MaxInt64, make([]string, 1<<16)
		Expect(c.write(targetList([]placement.Description{odd, targets[0], huge}))).To(Succeed())
		Expect(c.load()).To(Equal(targets))
		Expect(strings.Count(log.String(), `"event":"target_not_recalled"`)).To(Equal(2))
	})

	// Guards against targets that are lost in a power loss: the coordinators then
	// waited a second or more for heartbeats.
	It("syncs a new file before it replaces the earlier one", func() {
		folder := GinkgoT().TempDir()
		c := newTargetCache(folder, zerolog.New(io.Discard))
		var steps []string
		c.open = func() (storage.FileSystem, error) {
			files, err := storage.OpenFolder(filepath.Join(folder, cacheFolder))
			return &recordedFiles{files, &steps}, err
		}
		Expect(c.write(targetList(targets))).To(Succeed())
		Expect(steps).To(HaveExactElements("write", "sync", "rename", "sync folder"))
		Expect(c.load()).To(Equal(targets))
	})

	// Guards against a start that fails on a file truncated by a power loss.
	It("loads nothing from a truncated file", func() {
		folder := GinkgoT().TempDir()
		c := newTargetCache(folder, zerolog.New(io.Discard))
		Expect(c.write(targetList(targets))).To(Succeed())
		path := filepath.Join(folder, cacheFolder, cacheFile)
		data, err := os.ReadFile(path)
		Expect(err).NotTo(HaveOccurred())
		for length := range len(data) {
			Expect(os.WriteFile(path, data[:length], 0o644)).To(Succeed())
			Expect(c.load()).To(BeEmpty(), "%d of %d bytes", length, len(data))
		}
	})
})

// recordedFiles records the steps that determine the state after a power loss.
type recordedFiles struct {
	storage.FileSystem
	steps *[]string
}

func (f *recordedFiles) Create(name string) (storage.File, error) {
	file, err := f.FileSystem.Create(name)
	return &recordedFile{file, f.steps}, err
}

func (f *recordedFiles) Rename(oldName, newName string) error {
	*f.steps = append(*f.steps, "rename")
	return f.FileSystem.Rename(oldName, newName)
}

func (f *recordedFiles) SyncFolder() error {
	*f.steps = append(*f.steps, "sync folder")
	return f.FileSystem.SyncFolder()
}

type recordedFile struct {
	storage.File
	steps *[]string
}

func (f *recordedFile) Write(data []byte) (int, error) {
	*f.steps = append(*f.steps, "write")
	return f.File.Write(data)
}

func (f *recordedFile) Sync() error {
	*f.steps = append(*f.steps, "sync")
	return f.File.Sync()
}
