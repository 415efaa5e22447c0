package cluster

import (
	"io"
	"os"
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"hawthornshore.example/placement"
	"hawthornshore.example/storage"
)

var _ = Describe("targetMemory", func() {
	targets := []placement.Description{{
		ID: "i-1", Service: "s", Address: "10.0.0.9:80", DataCentre: "z", Labels: []string{"a", "r1"},
		Capacity: placement.Resources{CPUMillis: 32000, MemoryMB: 4096}, BootUnixMS: 99,
	}}

	// Guards against targets that a restarted coordinator does not know, or knows wrongly.
	It("recalls what it has written", func() {
		folder := GinkgoT().TempDir()
		m := newTargetMemory(folder, zerolog.New(io.Discard))
		Expect(m.recall()).To(BeEmpty())
		Expect(m.write(knownTargets(targets))).To(Succeed())
		Expect(m.recall()).To(Equal(targets))
	})

	// Guards against a list that a power loss takes: the coordinators then waited a
	// second and more for heartbeats after it.
	It("has a list on the disk before it replaces the earlier one", func() {
		folder := GinkgoT().TempDir()
		m := newTargetMemory(folder, zerolog.New(io.Discard))
		var steps []string
		m.open = func() (storage.FileSystem, error) {
			files, err := storage.OpenFolder(filepath.Join(folder, memoryFolder))
			return &recordedFiles{files, &steps}, err
		}
		Expect(m.write(knownTargets(targets))).To(Succeed())
		Expect(steps).To(HaveExactElements("write", "sync", "rename", "sync folder"))
		Expect(m.recall()).To(Equal(targets))
	})

	// Guards against a start that fails over a file torn by a power loss.
	It("takes a torn file for none", func() {
		folder := GinkgoT().TempDir()
		m := newTargetMemory(folder, zerolog.New(io.Discard))
		Expect(m.write(knownTargets(targets))).To(Succeed())
		path := filepath.Join(folder, memoryFolder, memoryFile)
		data, err := os.ReadFile(path)
		Expect(err).NotTo(HaveOccurred())
		for length := range len(data) {
			Expect(os.WriteFile(path, data[:length], 0o644)).To(Succeed())
			Expect(m.recall()).To(BeEmpty(), "%d of %d bytes", length, len(data))
		}
	})
})

// recordedFiles records the steps that decide what a power loss leaves.
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
