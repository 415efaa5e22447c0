package placement

import (
	"slices"
	"time"
)

// peer is another coordinator.
type peer struct {
	name     string
	draining bool
	rooms    []Room // free room on its targets, less what was placed since
}

func (c *Core) peerRoom(e PeerRoom) {
	c.peers[e.Peer] = &peer{name: e.Peer, draining: e.Draining, rooms: e.Rooms}
	c.scheduleDue = true
}

// peerLost gives up what was placed at a coordinator and what it placed here.
// Its own end of the link notices the loss within the link timeout and stops
// the runs; if it has failed, their leases end.
func (c *Core) peerLost(name string) {
	delete(c.peers, name)
	for _, id := range sortedKeys(c.targets) {
		t := c.targets[id]
		for _, r := range sortedRuns(t) {
			if r.home == name {
				c.stop(t, r)
			}
		}
	}
	safe := c.options.Lease + c.options.StopTime + orderTimeout
	for _, ref := range c.placedAt(name) {
		c.placementReported(Report{Ref: ref, Kind: RunLost, SafeAfter: safe, Reason: "link lost"})
	}
}

func (c *Core) placedAt(name string) []uint64 {
	var refs []uint64
	for ref, t := range c.placed {
		if t.peer == name {
			refs = append(refs, ref)
		}
	}
	slices.Sort(refs)
	return refs
}

// requested runs tasks of another home, or rejects them at once.
func (c *Core) requested(e Requested) {
	for i := range e.Placements {
		p := &e.Placements[i]
		t := c.lendable(p)
		if t == nil {
			c.reports[e.Peer] = append(c.reports[e.Peer], Report{Ref: p.Ref, Kind: RunRejected, Target: p.Target, Reason: "no room"})
			continue
		}
		c.begin(t, &run{
			key: runKey{p.Task, p.Run}, home: e.Peer, ref: p.Ref, queue: p.Queue,
			need: p.Need, expected: p.Expected,
		}, p.Spec)
	}
}

// lendable returns the target for another home's task: the one it has chosen,
// or the one with the least room left over that is no farther from the data.
func (c *Core) lendable(p *Placement) *target {
	if c.leaving {
		return nil
	}
	var best *target
	for _, id := range sortedKeys(c.targets) {
		t := c.targets[id]
		if t.Service != p.Service || !matches(t.Labels, p.Requirement) || !p.Need.Fits(t.free()) ||
			!t.usable(c.now) || id == p.Avoid || t.runs[runKey{p.Task, p.Run}] != nil {
			continue
		}
		if id == p.Target {
			return t
		}
		if onRack(t.Labels, p.Rack) && (best == nil || t.free().CPUMillis < best.free().CPUMillis) {
			best = t
		}
	}
	return best
}

func (c *Core) stopRequested(e StopRequested) {
	for _, ref := range e.Refs {
		if t, r := c.findRun(e.Peer, ref); r != nil {
			c.stop(t, r)
		}
	}
}

func (c *Core) placementsReported(e PlacementsReported) {
	for _, report := range e.Reports {
		t := c.placed[report.Ref]
		if t == nil {
			continue
		}
		if t.peer != e.Peer {
			if report.Kind != RunStarted || t.target != report.Target {
				continue
			}
			t.peer = e.Peer // its target has been handed over
		}
		if report.Kind == RunRejected {
			c.forgetRoom(e.Peer, report.Target)
		}
		c.placementReported(report)
	}
}

// forgetRoom takes a target that has rejected a task as full until the next update.
func (c *Core) forgetRoom(name, id string) {
	p := c.peers[name]
	if p == nil {
		return
	}
	for i := range p.rooms {
		if p.rooms[i].Target == id {
			p.rooms[i].Free = Resources{}
		}
	}
}

// drain begins the planned end: targets are given to other coordinators.
func (c *Core) drain() {
	c.leaving = true
	c.roomChanged()
	for _, j := range slices.Clone(c.queue) {
		if !j.started && !j.ending {
			c.answer(j, NotRun, "coordinator is leaving", time.Millisecond)
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
func (c *Core) yield(e Yield) {
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
	hand := HandOver{Description: t.Description, Token: t.token, Seen: t.seen}
	hand.Description.ClockMS = t.clock(c.now)
	for _, r := range sortedRuns(t) {
		home := r.home
		if home == "" {
			home = c.options.Name
			if placed := c.placed[r.ref]; placed != nil {
				placed.peer = name
			}
		}
		hand.Runs = append(hand.Runs, HandedRun{
			Home: home, Ref: r.ref, Task: r.key.task, Run: r.key.run, Queue: r.queue,
			Need: r.need, Expected: r.expected, Stopping: r.stopping, Age: c.now - r.began,
		})
	}
	delete(c.targets, t.ID)
	c.forgetOrders(t)
	c.emit(SendHandOver{Peer: name, Hand: hand})
	c.decide(Decided{Event: "target_handed_over", Target: t.ID, Peer: name, Value: int64(len(hand.Runs))})
	c.roomChanged()
}

// handedOver takes a target with its runs from another coordinator. The runs of
// a home here become own runs; the others' homes are told where they are.
func (c *Core) handedOver(e HandedOver) {
	d := e.Hand.Description
	if old := c.targets[d.ID]; old != nil {
		if old.token > e.Hand.Token {
			return
		}
		c.dropTarget(old, "handed over again", 0)
	}
	t := c.adopt(d)
	t.token, t.tokenAge = c.newToken(e.Hand.Token), c.now
	t.seen, t.reported = e.Hand.Seen, c.now
	for _, h := range e.Hand.Runs {
		r := &run{
			key: runKey{h.Task, h.Run}, home: h.Home, ref: h.Ref, queue: h.Queue, need: h.Need,
			expected: h.Expected, began: c.now - h.Age, confirmed: true, seenAt: c.now, stopping: h.Stopping,
		}
		if r.home == c.options.Name {
			r.home = ""
			if placed := c.placed[r.ref]; placed != nil {
				placed.peer = ""
			}
		} else if r.home != e.Peer && c.peers[r.home] == nil {
			r.stopping = true // its home cannot be told of the end
		} else {
			c.reports[r.home] = append(c.reports[r.home], Report{Ref: r.ref, Kind: RunStarted, Target: t.ID})
		}
		t.runs[r.key] = r
		t.used = t.used.Add(r.need)
	}
	c.maintain(t)
}
