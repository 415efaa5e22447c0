package claims_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"hawthornshore.example/claims"
	"hawthornshore.example/claims/lease"
	"hawthornshore.example/structs"
)

const voters = "voters"

// group simulates a data centre in virtual time: instances with their claims and
// lease cores, the voters' agreement, a faulty network, and the checks.
type group struct {
	rng   *rand.Rand
	now   time.Time
	queue queue
	order uint64

	nodes       []*node
	agreement   *lease.Agreement
	monitor     *lease.ExpiryMonitor
	partitioned map[[2]string]bool // pairs that cannot exchange messages
	dropRate    float64

	admitted   map[structs.JobID]string
	released   map[structs.JobID]bool
	notRun     map[structs.JobID]bool
	owners     map[int]map[string]bool // instances that admitted jobs, by partition
	pending    map[requestKey]bool
	requests   claims.RequestID
	violations []string

	// Counts of the events in the schedule, so that the checks are not vacuous.
	completed, takeovers, handOvers, promiseRenewals int
}

type requestKey struct {
	process string
	request claims.RequestID
}

// item is a function due at a time.
type item struct {
	at    time.Time
	order uint64
	run   func()
}

type queue []item

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].order < q[j].order
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(item)) }
func (q *queue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func newGroup(seed uint64, size int) *group {
	g := &group{
		rng:         rand.New(rand.NewPCG(seed, 1)),
		now:         start,
		agreement:   lease.NewAgreement(),
		monitor:     lease.NewExpiryMonitor(),
		partitioned: make(map[[2]string]bool),
		admitted:    make(map[structs.JobID]string),
		released:    make(map[structs.JobID]bool),
		notRun:      make(map[structs.JobID]bool),
		owners:      make(map[int]map[string]bool),
		pending:     make(map[requestKey]bool),
	}
	for i := range size {
		n := &node{group: g, name: string(rune('a' + i)), phase: g.rng.Float64() * 2 * math.Pi}
		g.nodes = append(g.nodes, n)
		g.after(time.Duration(i)*10*time.Millisecond, n.start)
	}
	g.after(time.Second, g.expireMembers)
	g.after(time.Second, g.checkOwners)
	return g
}

func (g *group) after(d time.Duration, run func()) {
	g.order++
	heap.Push(&g.queue, item{g.now.Add(d), g.order, run})
}

// runFor runs everything that is due within d.
func (g *group) runFor(d time.Duration) {
	end := g.now.Add(d)
	for len(g.queue) > 0 && !g.queue[0].at.After(end) {
		next := heap.Pop(&g.queue).(item)
		g.now = next.at
		next.run()
	}
	g.now = end
}

func (g *group) randomDuration(d time.Duration) time.Duration {
	return time.Duration(g.rng.Int64N(int64(d)) + 1)
}

// send delivers a message with delay, loss and duplication.
func (g *group) send(from, to string, deliver func()) {
	for copies := 1; copies > 0; copies-- {
		if g.rng.Float64() < g.dropRate {
			continue
		}
		delay := g.randomDuration(10 * time.Millisecond)
		if g.rng.IntN(20) == 0 {
			delay = g.randomDuration(4 * time.Second)
		}
		if copies == 1 && g.rng.IntN(20) == 0 {
			copies++
		}
		g.after(delay, func() {
			if !g.partitioned[pair(from, to)] {
				deliver()
			}
		})
	}
}

func pair(a, b string) [2]string { return [2]string{min(a, b), max(a, b)} }

func (g *group) node(name string) *node {
	for _, n := range g.nodes {
		if n.name == name {
			return n
		}
	}
	panic("no instance " + name)
}

// apply applies commands in order, as the voters' log does.
func (g *group) apply(cmd lease.Command) lease.Result {
	before := g.agreement.Epoch
	result := g.agreement.Apply(cmd)
	if g.agreement.Epoch != before {
		view := g.agreement.View()
		for _, n := range g.nodes {
			g.send(voters, n.name, func() { n.leaseStep(lease.ViewReceived{View: view}) })
		}
	}
	return result
}

// expireMembers is the task of the leader. A new leader creates a new monitor.
func (g *group) expireMembers() {
	if g.rng.IntN(40) == 0 {
		g.monitor = lease.NewExpiryMonitor()
	}
	for _, cmd := range g.monitor.ExpireCommands(g.now, g.agreement) {
		g.apply(cmd)
	}
	g.after(250*time.Millisecond, g.expireMembers)
}

// checkOwners fails if two processes are active owners of one partition.
func (g *group) checkOwners() {
	var owners [structs.Partitions]*node
	for _, n := range g.nodes {
		if !n.up {
			continue
		}
		for _, p := range n.claims.ActivePartitions(n.clock()) {
			if owners[p] != nil {
				g.violationf("partition %d has owners %s and %s", p, owners[p].process(), n.process())
				return
			}
			owners[p] = n
		}
	}
	g.after(20*time.Millisecond, g.checkOwners)
}

func (g *group) violationf(format string, args ...any) {
	g.violations = append(g.violations, g.now.Sub(start).String()+" "+fmt.Sprintf(format, args...))
}

// checkAdmit fails if a job is admitted twice, or after it was answered not-run.
func (g *group) checkAdmit(id structs.JobID, process string) {
	if first, ok := g.admitted[id]; ok {
		g.violationf("job %s admitted at %s and at %s", id, first, process)
	}
	if g.notRun[id] {
		g.violationf("job %s admitted at %s after not-run", id, process)
	}
	g.admitted[id] = process
	p := claims.Partition(id)
	if g.owners[p] == nil {
		g.owners[p] = make(map[string]bool)
	}
	if len(g.owners[p]) > 0 && !g.owners[p][process] {
		g.takeovers++
	}
	g.owners[p][process] = true
}

func (g *group) checkRelease(id structs.JobID, process string) {
	if g.notRun[id] {
		g.violationf("job %s released at %s after not-run", id, process)
	}
	if g.released[id] {
		g.violationf("job %s released twice, at %s", id, process)
	}
	g.released[id] = true
}

func (g *group) checkReply(key requestKey, a structs.Answer) {
	if !g.pending[key] {
		g.violationf("request %v answered twice", key)
	}
	delete(g.pending, key)
	if a.Outcome == structs.OutcomeNotRun {
		g.notRun[a.JobID] = true
		if g.released[a.JobID] {
			g.violationf("job %s answered not-run (%s) after its release", a.JobID, a.Reason)
		}
	}
}

// checkEnd fails if a request of a process that still runs has no answer.
func (g *group) checkEnd() {
	for key := range g.pending {
		for _, n := range g.nodes {
			if n.up && n.process() == key.process {
				g.violationf("request %v never answered", key)
			}
		}
	}
}
