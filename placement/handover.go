package placement

import (
	"slices"
	"time"
)

// drain begins the planned shutdown: targets are handed over to other coordinators.
func (c *Core) drain() {
	c.draining = true
	c.availabilityChanged()
	for _, j := range slices.Clone(c.queue) {
		if !j.started && !j.ending && !j.Stored {
			c.answerJob(j, NotRun, "coordinator is leaving", RetryElsewhere)
			c.endJob(j)
		}
	}
	c.handOverTargets()
}

// handOverTargets hands targets over, each to the coordinator with the fewest.
// A target without pending starts and stops can go at once, with its runs.
func (c *Core) handOverTargets() {
	counts := map[string]int{}
	for name, p := range c.peers {
		if !p.draining {
			counts[name] = len(p.targets)
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

// handOverRequested hands a target over to its assigned owner, unless a start or a
// stop is pending.
func (c *Core) handOverRequested(e HandOverRequested) {
	t, p := c.targets[e.Target], c.peers[e.Peer]
	if t != nil && p != nil && !p.draining && t.state == ready && !c.hasOrders(t) {
		c.handOver(t, e.Peer)
	}
}

// hasOrders reports whether a start or a stop at a target is pending, or whether a run
// may have been started there by an order without a response.
func (c *Core) hasOrders(t *target) bool {
	for _, r := range t.runs {
		if !r.confirmed {
			return true
		}
	}
	for _, o := range c.orders {
		if o.target == t && (o.kind == startOrder || o.kind == stopOrder) {
			return true
		}
	}
	return false
}

func (c *Core) handOver(t *target, name string) {
	handOver := HandOver{Description: t.Description, Token: t.token, AckedEnd: t.ackableEndNumber()}
	handOver.Description.ClockMS = t.clock(c.now)
	handOver.Description.Cold = max(t.coldUntil-c.now, 0)
	for _, r := range sortedRuns(t) {
		home := r.home
		if home == "" {
			home = c.options.Name
			if homeTask := c.placements[r.ref]; homeTask != nil {
				homeTask.peer, homeTask.token = name, t.token
			}
		}
		handOver.Runs = append(handOver.Runs, HandedRun{
			Home: home, Ref: r.ref, Task: r.key.task, Run: r.key.run, Queue: r.queue,
			Need: r.need, Expected: r.expected, Stopping: r.stopping, Stored: r.stored, Age: c.now - r.orderedAt,
			Alone: !r.accompanied, Exclusive: r.exclusive,
		})
	}
	delete(c.targets, t.ID)
	c.dropOrders(t)
	c.fenceTarget(t)
	c.handOvers[name] = append(c.handOvers[name], sentHandOver{at: c.now, handOver: handOver})
	c.emit(SendHandOver{Peer: name, HandOver: handOver})
	c.logDecision(Decision{Event: "target_handed_over", Target: t.ID, Peer: name, Value: int64(len(handOver.Runs))})
	c.availabilityChanged()
}

// rejectHandOver reports the runs of a target that is not valid, or that was taken
// over here by its heartbeat before the hand-over arrived. They are stopped as
// unknown runs, and their lease is not extended before that.
func (c *Core) rejectHandOver(handOver HandOver, safeAfter time.Duration) {
	for i := range handOver.Runs {
		report := Report{
			Ref: handOver.Runs[i].Ref, Kind: RunLost, Target: handOver.Description.ID, Token: handOver.Token,
			SafeAfter: safeAfter, Reason: "hand-over rejected",
		}
		if home := handOver.Runs[i].Home; home != c.options.Name {
			c.queueReport(home, report)
		} else if homeTask := c.placements[report.Ref]; homeTask != nil && homeTask.token <= report.Token {
			c.placementReported(report)
		}
	}
}

// sentHandOver is a hand-over that may still be in flight.
type sentHandOver struct {
	at       time.Duration
	handOver HandOver
}

// handOverTimeout is how long a hand-over may be in flight.
const handOverTimeout = 2 * time.Second

// failHandOvers reports the runs of targets that a coordinator may not have
// received before its link failed. If it has received them, the homes have its
// higher token, and ignore these reports.
func (c *Core) failHandOvers(name string) {
	for _, sent := range c.handOvers[name] {
		if c.now-sent.at < handOverTimeout {
			c.rejectHandOver(sent.handOver, c.aliveAfterHandOver())
		}
	}
	delete(c.handOvers, name)
}

// expireHandOvers removes hand-overs that have arrived for certain.
func (c *Core) expireHandOvers() {
	for name, sent := range c.handOvers {
		c.handOvers[name] = slices.DeleteFunc(sent, func(h sentHandOver) bool { return c.now-h.at >= handOverTimeout })
		if len(c.handOvers[name]) == 0 {
			delete(c.handOvers, name)
		}
	}
}

// attachRun reports to the home of a run that it has been handed over. A run that
// its home no longer has is stopped.
func (c *Core) attachRun(t *target, r *run) {
	if r.home != c.options.Name {
		c.reportHome(t, r, Report{Ref: r.ref, Kind: RunStarted, Target: t.ID})
		r.stopping = r.stopping || c.peers[r.home] == nil
		return
	}
	r.home = ""
	homeTask := c.placements[r.ref]
	if homeTask == nil {
		r.stopping = true
		return
	}
	homeTask.peer, homeTask.token, homeTask.state, homeTask.target = "", t.token, running, t.ID
	homeTask.job.mayHaveRun = true
	r.stopping = r.stopping || homeTask.job.ending
}

// handOverReceived takes over a target with its runs from another coordinator. The
// runs of this home become local runs; other homes get a report of the new owner.
func (c *Core) handOverReceived(e HandOverReceived) {
	d := e.HandOver.Description
	if e.Invalid != "" {
		c.logDecision(Decision{Event: "target_invalid", Target: d.ID, Peer: e.Peer, Reason: e.Invalid})
		c.rejectHandOver(e.HandOver, c.longestLease()+TickInterval)
		return
	}
	if old := c.targets[d.ID]; old != nil {
		if old.token > e.HandOver.Token {
			c.rejectHandOver(e.HandOver, c.longestLease()+TickInterval)
			return
		}
		d = newestDescription(&old.Description, &d)
		c.dropTarget(old, "handed over again", bootUncertain)
	}
	t := c.adoptTarget(d, "handed over")
	t.token, t.tokenAt = c.newToken(e.HandOver.Token), c.now
	t.lastEndNumber, t.heartbeatAt = e.HandOver.AckedEnd, c.now
	t.leaseEnd = c.now + c.longestLease() // granted by the earlier owner
	for _, h := range e.HandOver.Runs {
		r := &run{
			key: runKey{h.Task, h.Run}, home: h.Home, ref: h.Ref, queue: h.Queue, need: h.Need,
			expected: h.Expected, orderedAt: c.now - h.Age, confirmed: true, confirmedAt: c.now, stopping: h.Stopping, stored: h.Stored,
			accompanied: !h.Alone, exclusive: h.Exclusive,
		}
		t.runs[r.key] = r
		t.used = t.used.Add(r.need)
		c.attachRun(t, r)
	}
	c.pollIfNeeded(t)
}

// newestDescription returns the description of the later heartbeat. A heartbeat may
// arrive here before a hand-over that carries an earlier one.
func newestDescription(known, handedOver *Description) Description {
	if known.BootUnixMS != handedOver.BootUnixMS {
		return *handedOver
	}
	newest := *handedOver
	if known.Sequence > handedOver.Sequence {
		newest = *known
	}
	newest.Draining = known.Draining || handedOver.Draining
	return newest
}
