package membership_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"hawthornshore.example/membership"
)

var start = time.UnixMilli(1_800_000_000_000)

const step = 10 * time.Millisecond

// group simulates instances in virtual time with a faulty network.
type group struct {
	rng         *rand.Rand
	now         time.Time
	names       []string
	nodes       map[string]*node
	inFlight    map[int64][]envelope // by step
	wakes       map[int64][]string   // instances that may have a Tick due, by step
	tick        int64
	dropRate    float64
	partitioned map[[2]string]bool
	messages    int
	updates     int
	violations  []string
	check       bool // compare the view with the reported changes
}

type envelope struct {
	to      string
	message membership.Message
}

type node struct {
	*membership.Core
	up     bool
	starts uint64
	offset time.Duration
	view   map[string]bool // from MemberUp and MemberDown
	downs  []membership.MemberDown
	skewed bool
	wake   int64 // step of the next Tick
}

func newGroup(seed uint64, size int) *group {
	g := &group{
		rng:         rand.New(rand.NewPCG(seed, 2)),
		now:         start,
		nodes:       make(map[string]*node),
		inFlight:    make(map[int64][]envelope),
		wakes:       make(map[int64][]string),
		check:       true,
		partitioned: make(map[[2]string]bool),
	}
	for i := range size {
		name := fmt.Sprintf("i%04d", i)
		g.names = append(g.names, name)
		g.nodes[name] = &node{}
	}
	for _, name := range g.names {
		g.start(name)
	}
	return g
}

// seedPeers is the number of instances that the settings of a process list.
const seedPeers = 16

// start starts a new process of an instance.
func (g *group) start(name string) {
	n := g.nodes[name]
	n.starts++
	n.up = true
	n.view = map[string]bool{name: true}
	n.Core = membership.New(membership.Options{Instance: name, Incarnation: n.starts * 1000, Seed: g.rng.Uint64()})
	g.wakeAt(name, g.now.Add(time.Duration(g.rng.Int64N(int64(membership.ProbeInterval)))))
	for _, peer := range g.names[:min(seedPeers, len(g.names))] {
		g.do(name, membership.PeerFound{Peer: peer})
	}
}

func (g *group) do(name string, ev membership.Event) {
	n := g.nodes[name]
	if !n.up {
		return
	}
	n.Step(g.now.Add(n.offset), ev)
	for _, e := range n.Ready() {
		switch e := e.(type) {
		case membership.Send:
			g.send(e.To, e.Message)
		case membership.MemberUp:
			n.view[e.Name] = true
		case membership.MemberDown:
			delete(n.view, e.Name)
			n.downs = append(n.downs, e)
		case membership.ClockSkewChanged:
			n.skewed = e.Skewed
		}
	}
	if at, ok := n.NextWake(); ok {
		if !at.After(g.now.Add(n.offset)) {
			g.violations = append(g.violations, name+": NextWake is not after the time of the Step")
		}
		g.wakeAt(name, at.Add(-n.offset))
	}
	if g.check && !n.consistent() {
		g.violations = append(g.violations, fmt.Sprintf("%s: live %v differs from the reported changes", name, n.Live()))
	}
}

func (n *node) consistent() bool {
	return len(n.Live()) == len(n.view) && slices.IsSorted(n.Live())
}

func (g *group) wakeAt(name string, at time.Time) {
	due := max(g.tick+1, int64((at.Sub(start)+step-1)/step))
	if g.nodes[name].wake != due {
		g.nodes[name].wake = due
		g.wakes[due] = append(g.wakes[due], name)
	}
}

func (g *group) send(to string, m membership.Message) {
	g.messages++
	g.updates += len(m.Updates)
	for copies := 1; copies > 0; copies-- {
		if g.rng.Float64() < g.dropRate {
			continue
		}
		if g.dropRate > 0 && g.rng.IntN(30) == 0 {
			copies++
		}
		due := g.tick + 1 + g.rng.Int64N(3)
		if g.dropRate > 0 && g.rng.IntN(30) == 0 {
			due += g.rng.Int64N(500)
		}
		g.inFlight[due] = append(g.inFlight[due], envelope{to, m})
	}
}

func pair(a, b string) [2]string { return [2]string{min(a, b), max(a, b)} }

func (g *group) runFor(d time.Duration) {
	for range d / step {
		g.now = g.now.Add(step)
		g.tick++
		due := g.inFlight[g.tick]
		delete(g.inFlight, g.tick)
		for _, e := range due {
			if g.nodes[e.to] != nil && !g.partitioned[pair(e.to, e.message.From)] {
				g.do(e.to, membership.MessageReceived{Message: e.message})
			}
		}
		ticks := g.wakes[g.tick]
		delete(g.wakes, g.tick)
		for _, name := range ticks {
			if g.nodes[name].wake == g.tick {
				g.do(name, membership.Tick{})
			}
		}
	}
}

// running returns the names of the instances that are up.
func (g *group) running() []string {
	return slices.DeleteFunc(slices.Clone(g.names), func(name string) bool { return !g.nodes[name].up })
}
