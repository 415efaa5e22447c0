package placement

import (
	"slices"
	"time"
)

// drain begins the planned end: targets are given to other coordinators.
func (c *Core) drain() {
	c.leaving = true
	c.roomChanged()
	for _, j := range slices.Clone(c.queue) {
		if !j.started && !j.ending && !j.Stored {
			c.answer(j, NotRun, "coordinator is leaving", RetryElsewhere)
			c.end(j)
		}
	}
	c.giveTargetsAway()
}

// giveTargetsAway hands targets over, each to the coordinator with the fewest.
// A target whose orders are all answered can go at once, with its runs.
func (c *Core) giveTargetsAway() {
	counts := map[string]int{}
	for name, p := range c.peers {
		if !p.draining {
			counts[name] = len(p.rooms)
		}
	}
	if len(counts) == 0 {
		return
	}
	for _, id := range sortedKeys(c.targets) {
		t := c.targets[id]
		if t.state != ready || c.hasOrders(t) {
			continue
		}
		name := fewest(counts)
		counts[name]++
		c.handOver(t, name)
	}
}

func fewest(counts map[string]int) string {
	best := ""
	for _, name := range sortedKeys(counts) {
		if best == "" || counts[name] < counts[best] {
			best = name
		}
	}
	return best
}

// yield gives a target to the coordinator that shall own it, unless an order
// to the target is on its way.
func (c *Core) yield(e HandOverRequested) {
	t, p := c.targets[e.Target], c.peers[e.Peer]
	if t != nil && p != nil && !p.draining && t.state == ready && !c.hasOrders(t) {
		c.handOver(t, e.Peer)
	}
}

// hasOrders reports whether a start or a stop at a target is not answered yet.
func (c *Core) hasOrders(t *target) bool {
	for _, o := range c.orders {
		if o.target == t && o.kind != lookOrder {
			return true
		}
	}
	return false
}

func (c *Core) handOver(t *target, name string) {
	hand := HandOver{Description: t.Description, Token: t.token, AckedEnd: t.notable()}
	hand.Description.ClockMS = t.clock(c.now)
	for _, r := range sortedRuns(t) {
		home := r.home
		if home == "" {
			home = c.options.Name
			if placed := c.placed[r.ref]; placed != nil {
				placed.peer, placed.token = name, t.token
			}
		}
		hand.Runs = append(hand.Runs, HandedRun{
			Home: home, Ref: r.ref, Task: r.key.task, Run: r.key.run, Queue: r.queue,
			Need: r.need, Expected: r.expected, Stopping: r.stopping, Stored: r.stored, Age: c.now - r.began,
		})
	}
	delete(c.targets, t.ID)
	c.forgetOrders(t)
	c.given[name] = append(c.given[name], givenTarget{at: c.now, hand: hand})
	c.emit(SendHandOver{Peer: name, HandOver: hand})
	c.decide(Decision{Event: "target_handed_over", Target: t.ID, Peer: name, Value: int64(len(hand.Runs))})
	c.roomChanged()
}

// refuseHandOver reports the runs of a target that was taken over here by its
// heartbeat before it was handed over. They are stopped as unknown runs, and get
// no longer lease before that.
func (c *Core) refuseHandOver(hand HandOver) {
	for i := range hand.Runs {
		report := Report{
			Ref: hand.Runs[i].Ref, Kind: RunLost, Target: hand.Description.ID, Token: hand.Token,
			SafeAfter: c.options.Lease + c.options.StopTime + orderTimeout, Reason: "handed over late",
		}
		if home := hand.Runs[i].Home; home != c.options.Name {
			c.queueReport(home, report)
		} else if placed := c.placed[report.Ref]; placed != nil && placed.token <= report.Token {
			c.placementReported(report)
		}
	}
}

// givenTarget is a target that was handed over a moment ago.
type givenTarget struct {
	at   time.Duration
	hand HandOver
}

// handOverTime is how long a hand-over may be on its way.
const handOverTime = 2 * time.Second

// handOversLost reports the runs of targets that a coordinator may not have got
// before its link failed. If it has got them, the homes know it as their owner
// by a higher token, and ignore this.
func (c *Core) handOversLost(name string) {
	for _, given := range c.given[name] {
		if c.now-given.at < handOverTime {
			c.refuseHandOver(given.hand)
		}
	}
	delete(c.given, name)
}

// forgetGiven forgets hand-overs that have arrived for certain.
func (c *Core) forgetGiven() {
	for name, given := range c.given {
		c.given[name] = slices.DeleteFunc(given, func(g givenTarget) bool { return c.now-g.at >= handOverTime })
		if len(c.given[name]) == 0 {
			delete(c.given, name)
		}
	}
}

// tellHome tells the home of a run that it has been handed over. A run whose home
// does not know of it any more is stopped.
func (c *Core) tellHome(t *target, r *run) {
	if r.home != c.options.Name {
		c.reportHome(t, r, Report{Ref: r.ref, Kind: RunStarted, Target: t.ID})
		r.stopping = r.stopping || c.peers[r.home] == nil
		return
	}
	r.home = ""
	placed := c.placed[r.ref]
	if placed == nil {
		r.stopping = true
		return
	}
	placed.peer, placed.token, placed.state, placed.target = "", t.token, running, t.ID
	r.stopping = r.stopping || placed.job.ending
}

// handedOver takes a target with its runs from another coordinator. The runs of
// a home here become own runs; the others' homes are told where they are.
func (c *Core) handedOver(e HandOverReceived) {
	d := e.HandOver.Description
	if old := c.targets[d.ID]; old != nil {
		if old.token > e.HandOver.Token {
			c.refuseHandOver(e.HandOver)
			return
		}
		c.dropTarget(old, "handed over again", max(old.leaseEnd-c.now, 0))
	}
	t := c.adopt(d)
	t.token, t.tokenAge = c.newToken(e.HandOver.Token), c.now
	t.seen, t.reported = e.HandOver.AckedEnd, c.now
	for _, h := range e.HandOver.Runs {
		r := &run{
			key: runKey{h.Task, h.Run}, home: h.Home, ref: h.Ref, queue: h.Queue, need: h.Need,
			expected: h.Expected, began: c.now - h.Age, confirmed: true, seenAt: c.now, stopping: h.Stopping, stored: h.Stored,
		}
		t.runs[r.key] = r
		t.used = t.used.Add(r.need)
		c.tellHome(t, r)
	}
	c.maintain(t)
}
