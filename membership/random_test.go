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
	// healTime lets the sides of a partition find each other, one dead member
	// being probed every 5 s, and the last change spread.
	healTime = 90 * time.Second
)

// disturb applies one random fault.
func (g *group) disturb() {
	name := g.names[g.rng.IntN(len(g.names))]
	switch g.rng.IntN(5) {
	case 0:
		g.nodes[name].up = false
	case 1:
		if !g.nodes[name].up {
			g.boot(name)
		}
	case 2:
		g.cut[pair(name, g.names[g.rng.IntN(len(g.names))])] = true
	case 3:
		clear(g.cut)
	case 4:
		g.do(name, membership.Leave{})
		g.nodes[name].up = false
	}
}

var _ = Describe("A group under random faults", func() {
	It("has one view again once the faults end", func() {
		downs := 0
		for seed := range uint64(randomSeeds) {
			g := newGroup(seed, 4+int(seed%9))
			g.dropRate = 0.1
			for range faultTime / time.Second {
				g.disturb()
				g.runFor(time.Second)
			}
			clear(g.cut)
			g.dropRate = 0
			g.runFor(healTime)
			note := fmt.Sprintf("seed %d", seed)
			Expect(g.faults).To(BeEmpty(), note)
			for _, name := range g.running() {
				Expect(g.nodes[name].Live()).To(Equal(g.running()), note+" at "+name)
				downs += len(g.nodes[name].downs)
			}
		}
		GinkgoWriter.Printf("seeds 0 to %d: members down %d\n", randomSeeds-1, downs)
		Expect(downs).To(BeNumerically(">", 10*randomSeeds))
	})
})
