package claims_test

import (
	"flag"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornshore.example/claims"
	"hawthornshore.example/structs"
)

// scheduleSeeds and firstSeed select the schedules. The default takes some
// seconds; a longer search passes -args -claims.seeds=2000.
var (
	scheduleSeeds = flag.Int("claims.seeds", 20, "number of random schedules")
	firstSeed     = flag.Uint64("claims.first-seed", 0, "seed of the first schedule")
)

const (
	scheduleTime = 60 * time.Second
	settleTime   = 20 * time.Second
)

// disturb applies one random fault. The faults overlap.
func (g *group) disturb() {
	n := g.nodes[g.rng.IntN(len(g.nodes))]
	switch g.rng.IntN(8) {
	case 0:
		n.crash()
		g.after(g.upTo(12*time.Second), n.boot)
	case 1:
		n.crash()
		g.after(g.upTo(500*time.Millisecond), n.boot)
	case 2:
		n.freeze(g.upTo(8 * time.Second))
	case 3:
		g.isolate([]string{n.name, voters}, g.upTo(12*time.Second))
	case 4:
		peer := g.nodes[g.rng.IntN(len(g.nodes))]
		g.isolate([]string{n.name, peer.name}, g.upTo(8*time.Second))
	case 5:
		for _, peer := range g.nodes {
			g.isolate([]string{peer.name, voters}, 9*time.Second)
		}
	case 6:
		for _, peer := range g.nodes {
			g.isolate([]string{n.name, peer.name}, 9*time.Second)
		}
	case 7:
		n.drain()
	}
}

// isolate cuts the two ends of a pair from each other for a time.
func (g *group) isolate(ends []string, d time.Duration) {
	key := pair(ends[0], ends[1])
	if ends[0] == ends[1] {
		return
	}
	g.cut[key] = true
	g.after(d, func() { delete(g.cut, key) })
}

// offer submits one job to every instance, some of them late.
func (g *group) offer() {
	at := g.now.Add(g.upTo(2*time.Second) - 900*time.Millisecond)
	job := structs.Job{
		ID:             structs.JobIDAt(at, g.rng.Uint64()),
		DeadlineUnixMS: g.now.Add(g.upTo(6 * time.Second)).UnixMilli(),
	}
	if g.rng.IntN(5) == 0 {
		g.disown(job.ID)
	}
	for _, n := range g.nodes {
		delay := g.upTo(20 * time.Millisecond)
		if g.rng.IntN(2) == 0 {
			delay = g.upTo(8 * time.Second)
		}
		g.after(delay, func() { g.submit(n, job) })
	}
}

// disown cancels or queries a job at one instance, before or after its submission
// arrives.
func (g *group) disown(id structs.JobID) {
	n := g.nodes[g.rng.IntN(len(g.nodes))]
	cancel := g.rng.IntN(2) == 0
	g.after(g.upTo(time.Second), func() {
		g.request(n, func(r claims.RequestID) claims.Event {
			if cancel {
				return claims.Cancel{Request: r, JobID: id}
			}
			return claims.Query{Request: r, JobID: id}
		})
	})
}

// schedule runs one random schedule and returns the group with what it found.
func schedule(seed uint64) *group {
	g := newGroup(seed, 3+int(seed%3))
	g.dropRate = float64(seed%4) * 0.03
	g.runFor(4 * time.Second)
	for end := g.now.Add(scheduleTime); g.now.Before(end); {
		if g.rng.IntN(60) == 0 {
			g.disturb()
		}
		g.offer()
		g.runFor(g.upTo(100 * time.Millisecond))
	}
	for _, n := range g.nodes {
		g.after(0, n.boot)
	}
	g.runFor(settleTime)
	g.checkEnd()
	return g
}

var _ = Describe("A group of instances under random faults", func() {
	It("admits each job once, tells the truth and answers every request", func() {
		var completed, takeovers, handOvers, vouched int
		for i := range uint64(*scheduleSeeds) {
			seed := *firstSeed + i
			g := schedule(seed)
			Expect(g.faults).To(BeEmpty(), fmt.Sprintf("seed %d", seed))
			completed += g.completed
			takeovers += g.takeovers
			handOvers += g.handOvers
			vouched += g.vouched
		}
		GinkgoWriter.Printf("seeds %d and on, %d schedules: completed=%d takeovers=%d hand-overs=%d renewals without voters=%d\n",
			*firstSeed, *scheduleSeeds, completed, takeovers, handOvers, vouched)
		Expect(completed).To(BeNumerically(">", 100**scheduleSeeds))
		Expect(takeovers).To(BeNumerically(">", 10**scheduleSeeds))
		Expect(handOvers).To(BeNumerically(">", *scheduleSeeds))
		Expect(vouched).To(BeNumerically(">", *scheduleSeeds))
	})
})
