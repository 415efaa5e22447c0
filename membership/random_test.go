package membership_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornshore.example/membership"
)

const (
	randomSeeds = 40
	faultTime   = 60 * time.Second
	// recoveryTime is long enough for the sides of a partition to merge, with one
	// dead member probed every 5 s, and for the last change to spread.
	recoveryTime = 90 * time.Second
)

// injectFault applies one random fault.
func (g *group) injectFault() {
	name := g.names[g.rng.IntN(len(g.names))]
	switch g.rng.IntN(5) {
	case 0:
		g.nodes[name].up = false
	case 1:
		if !g.nodes[name].up {
			g.start(name)
		}
	case 2:
		g.partitioned[pair(name, g.names[g.rng.IntN(len(g.names))])] = true
	case 3:
		clear(g.partitioned)
	case 4:
		g.do(name, membership.Leave{})
		g.nodes[name].up = false
	}
}

var _ = Describe("A group under random faults", func() {
	// Guards against views that stay different after crashes, partitions, leaves and
	// lost messages.
	It("has one view again once the faults end", func() {
		downs := 0
		for seed := range uint64(randomSeeds) {
			g := newGroup(seed, 4+int(seed%9))
			g.dropRate = 0.1
			for range faultTime / time.Second {
				g.injectFault()
				g.runFor(time.Second)
			}
			clear(g.partitioned)
			g.dropRate = 0
			g.runFor(recoveryTime)
			note := fmt.Sprintf("seed %d", seed)
			Expect(g.violations).To(BeEmpty(), note)
			for _, name := range g.running() {
				Expect(g.nodes[name].Live()).To(Equal(g.running()), note+" at "+name)
				downs += len(g.nodes[name].downs)
			}
		}
		GinkgoWriter.Printf("seeds 0 to %d: members down %d\n", randomSeeds-1, downs)
		Expect(downs).To(BeNumerically(">", 10*randomSeeds))
	})
})
