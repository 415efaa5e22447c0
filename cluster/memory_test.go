package cluster

import (
	"io"
	"os"
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"hawthornshore.example/placement"
)

var _ = Describe("targetMemory", func() {
	targets := []placement.Description{{
		ID: "i-1", Service: "s", Address: "10.0.0.9:80", DataCentre: "z", Labels: []string{"a", "r1"},
		Capacity: placement.Resources{CPUMillis: 32000, MemoryMB: 4096}, Born: 99,
	}}

	// Guards against targets that a restarted coordinator does not know, or knows wrongly.
	It("recalls what it has written", func() {
		folder := GinkgoT().TempDir()
		m := newTargetMemory(folder, zerolog.New(io.Discard))
		Expect(m.recall()).To(BeEmpty())
		Expect(m.write(knownTargets(targets))).To(Succeed())
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
