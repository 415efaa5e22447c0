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

// injectFault applies one random fault. The faults overlap.
func (g *group) injectFault() {
	n := g.nodes[g.rng.IntN(len(g.nodes))]
	switch g.rng.IntN(8) {
	case 0:
		n.crash()
		g.after(g.randomDuration(12*time.Second), n.start)
	case 1:
		n.crash()
		g.after(g.randomDuration(500*time.Millisecond), n.start)
	case 2:
		n.freeze(g.randomDuration(8 * time.Second))
	case 3:
		g.isolate([]string{n.name, voters}, g.randomDuration(12*time.Second))
	case 4:
		peer := g.nodes[g.rng.IntN(len(g.nodes))]
		g.isolate([]string{n.name, peer.name}, g.randomDuration(8*time.Second))
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

// isolate blocks messages between the two ends of a pair for a time.
func (g *group) isolate(ends []string, d time.Duration) {
	key := pair(ends[0], ends[1])
	if ends[0] == ends[1] {
		return
	}
	g.partitioned[key] = true
	g.after(d, func() { delete(g.partitioned, key) })
}

// submitJob submits one job to every instance, with random delays.
func (g *group) submitJob() {
	at := g.now.Add(g.randomDuration(2*time.Second) - 900*time.Millisecond)
	job := structs.Job{
		ID:             structs.JobIDAt(at, g.rng.Uint64()),
		DeadlineUnixMS: g.now.Add(g.randomDuration(6 * time.Second)).UnixMilli(),
	}
	if g.rng.IntN(5) == 0 {
		g.cancelOrQuery(job.ID)
	}
	for _, n := range g.nodes {
		delay := g.randomDuration(20 * time.Millisecond)
		if g.rng.IntN(2) == 0 {
			delay = g.randomDuration(8 * time.Second)
		}
		g.after(delay, func() { g.submit(n, job) })
	}
}

// cancelOrQuery cancels or queries a job at one instance, before or after its submission
// arrives.
func (g *group) cancelOrQuery(id structs.JobID) {
	n := g.nodes[g.rng.IntN(len(g.nodes))]
	cancel := g.rng.IntN(2) == 0
	g.after(g.randomDuration(time.Second), func() {
		g.request(n, func(r claims.RequestID) claims.Event {
			if cancel {
				return claims.Cancel{Request: r, JobID: id}
			}
			return claims.Query{Request: r, JobID: id}
		})
	})
}

// schedule runs one random schedule and returns the group with its violations.
func schedule(seed uint64) *group {
	g := newGroup(seed, 3+int(seed%3))
	g.dropRate = float64(seed%4) * 0.03
	g.runFor(4 * time.Second)
	for end := g.now.Add(scheduleTime); g.now.Before(end); {
		if g.rng.IntN(60) == 0 {
			g.injectFault()
		}
		g.submitJob()
		g.runFor(g.randomDuration(100 * time.Millisecond))
	}
	for _, n := range g.nodes {
		g.after(0, n.start)
	}
	g.runFor(settleTime)
	g.checkEnd()
	return g
}

var _ = Describe("A group of instances under random faults", func() {
	// Guards against combinations of faults in which a job is admitted twice or
	// answered wrongly.
	It("admits each job once, answers every request and never answers not-run for a released job", func() {
		var completed, takeovers, handOvers, promiseRenewals int
		for i := range uint64(*scheduleSeeds) {
			seed := *firstSeed + i
			g := schedule(seed)
			Expect(g.violations).To(BeEmpty(), fmt.Sprintf("seed %d", seed))
			completed += g.completed
			takeovers += g.takeovers
			handOvers += g.handOvers
			promiseRenewals += g.promiseRenewals
		}
		GinkgoWriter.Printf("seeds %d and on, %d schedules: completed=%d takeovers=%d hand-overs=%d renewals without voters=%d\n",
			*firstSeed, *scheduleSeeds, completed, takeovers, handOvers, promiseRenewals)
		Expect(completed).To(BeNumerically(">", 100**scheduleSeeds))
		Expect(takeovers).To(BeNumerically(">", 10**scheduleSeeds))
		Expect(handOvers).To(BeNumerically(">", *scheduleSeeds))
		Expect(promiseRenewals).To(BeNumerically(">", *scheduleSeeds))
	})
})
