package placement

import "time"

type orderKind int

const (
	startOrder orderKind = iota
	stopOrder
	pollOrder
	bootPollOrder  // to find out which boot responds
	fencePollOrder // of a lost target
)

// order is a start, stop or poll request that a target has not answered yet.
type order struct {
	kind           orderKind
	target         *target // nil for a fencePollOrder
	fence          *fence  // of a fencePollOrder
	run            *run    // of a start or a stop
	token          uint64
	ackedEndNumber uint64 // of the highest end that a poll acknowledges
	bootUnixMS     int64  // of the boot that a bootPollOrder is for
	sentAt         time.Duration
	clockMS        int64 // lower bound of the target's clock at sentAt
}

func (c *Core) newOrder(o *order) uint64 {
	c.lastOrder++
	if o.target != nil {
		o.clockMS = o.target.clock(c.now)
	}
	c.orders[c.lastOrder] = o
	return c.lastOrder
}

// orderResponse processes the result of an order. Responses to orders that are no
// longer pending are ignored: a poll under a newer token has superseded them.
func (c *Core) orderResponse(e OrderResponse) {
	o := c.orders[e.Order]
	if o == nil {
		return
	}
	delete(c.orders, e.Order)
	if o.kind == fencePollOrder {
		c.fencePolled(o.fence, e.Result)
		return
	}
	t := o.target
	if c.targets[t.ID] != t {
		return
	}
	if o.kind == bootPollOrder {
		c.bootPollResponse(t, o, e)
		return
	}
	if e.BootUnixMS != 0 && t.BootUnixMS != 0 && e.BootUnixMS != t.BootUnixMS || e.Result == OtherBoot {
		if o.kind == startOrder && e.Result == OtherBoot && t.runs[o.run.key] == o.run && !o.run.confirmed {
			// That boot did not get the order, so the run cannot have ended it.
			c.startRejected(t, o.run, "the boot is over")
		}
		c.otherBootResponded(t, e.BootUnixMS)
		return
	}
	if e.Result != Unknown && e.BootUnixMS == 0 && e.ClockMS > 0 && e.ClockMS < o.clockMS {
		// A later boot, whose clock started anew. The next list names it; until then no
		// end is acknowledged and no lease extended.
		c.reacquire(t, "response with an earlier clock")
		return
	}
	t.refuses = e.ConnectionRefused
	if e.Result != Unknown {
		t.setClock(c.now, e.ClockMS)
	}
	switch o.kind {
	case startOrder:
		c.startResponse(t, o, e)
	case stopOrder:
		c.stopResponse(t, o, e)
	case pollOrder:
		c.pollResponse(t, o, e)
	}
}

func (c *Core) startResponse(t *target, o *order, e OrderResponse) {
	r := o.run
	if t.runs[r.key] != r {
		return // ended before the response arrived
	}
	switch e.Result {
	case OK:
		if !r.confirmed {
			r.measured = !r.offRack && !r.unknown
		}
		c.confirmRun(t, r)
	case Unknown:
		t.awaitLateStart(r)
		c.reacquire(t, "no response to a start")
	case Fenced:
		if o.token == t.token {
			c.targetFenced(t)
			return
		}
		c.startRejected(t, r, "fenced by a newer token")
	case Unavailable:
		t.health.pause(c.now, unavailablePause)
		c.startRejected(t, r, "target is unavailable")
	default:
		c.startRejected(t, r, e.Result.String()+" "+e.Reason)
	}
}

func (c *Core) startRejected(t *target, r *run, reason string) {
	c.logDecision(Decision{Event: "start_rejected", Task: r.key.task, Target: t.ID, Reason: reason, Value: int64(r.key.run)})
	c.finishRun(t, r, Report{Kind: RunRejected, Reason: reason})
}

// confirmRun records that a run is on its target.
func (c *Core) confirmRun(t *target, r *run) {
	if r.confirmed {
		return
	}
	r.confirmed, r.confirmedAt = true, c.now
	c.reportHome(t, r, Report{Ref: r.ref, Kind: RunStarted, Target: t.ID})
	if r.stopping {
		c.stopRun(t, r)
	}
	c.pollIfNeeded(t)
}

func (c *Core) stopResponse(t *target, o *order, e OrderResponse) {
	switch {
	case e.Result == Fenced && o.token == t.token:
		c.targetFenced(t)
	case e.Result == OK:
		c.pollIfNeeded(t) // the next poll lists the end
	case t.runs[o.run.key] == o.run && t.state == ready:
		c.logDecision(Decision{
			Event: "stop_unanswered", Task: o.run.key.task, Target: t.ID, Age: c.now - o.run.orderedAt,
			Value: int64(o.run.key.run), SafeAfter: max(t.leaseEnd-c.now, 0),
		})
		c.reacquire(t, "stop failed")
	}
}

// targetFenced handles the loss of a target to another coordinator. The new owner's
// first poll does not extend the lease, so the runs end by the time the last lease
// granted by this coordinator expires.
func (c *Core) targetFenced(t *target) {
	if !t.owned && c.now-t.heartbeatAt < heartbeatTimeout {
		// The target's heartbeats arrive here, and it was never ready here: no other
		// coordinator took it over, so the token it accepted last is ahead of this clock.
		c.tokenOffset += tokenStep
		c.reacquire(t, "token too low")
		return
	}
	c.dropTarget(t, "fenced", bootUncertain)
}

func (c *Core) pollResponse(t *target, o *order, e OrderResponse) {
	t.poll, t.polledAt = 0, c.now
	switch e.Result {
	case OK:
		c.pollSucceeded(t, o, e)
	case Fenced:
		if o.token == t.token {
			c.targetFenced(t)
		} else {
			c.pollIfNeeded(t)
		}
	default:
		c.pollFailed(t)
	}
}

// pollFailed repeats a failed poll, until the target is dropped.
func (c *Core) pollFailed(t *target) {
	t.failedPolls++
	if t.failedPolls < maxFailedPolls {
		c.reacquire(t, "no response to a poll")
		return
	}
	c.dropTarget(t, "silent", bootUncertain)
}

// pollSucceeded processes the running and ended runs in a poll response.
func (c *Core) pollSucceeded(t *target, o *order, e OrderResponse) {
	t.failedPolls = 0
	t.ackedEndNumber = max(t.ackedEndNumber, o.ackedEndNumber)
	if e.EndsTruncated && !t.endsTruncated {
		c.logDecision(Decision{Event: "ends_truncated", Target: t.ID, Value: int64(len(e.Ended)), BootUnixMS: t.BootUnixMS})
	}
	t.endsTruncated = e.EndsTruncated
	for _, end := range e.Ended {
		c.runEnded(t, end)
	}
	listed := make(map[runKey]bool, len(e.Running))
	for _, entry := range e.Running {
		key := runKey{entry.Task, entry.Run}
		listed[key] = true
		c.runListed(t, key, entry)
	}
	for _, r := range sortedRuns(t) {
		if !listed[r.key] {
			c.runMissing(t, o, r)
		}
	}
	if t.state == acquiring && o.token == t.token && !t.hasUnknownRun() {
		t.state, t.owned = ready, true
		c.extendWithheldLeases(t)
		c.removeFence(t)
		c.logDecision(Decision{Event: "target_ready", Target: t.ID, Age: c.now - t.tokenAt, Value: int64(len(t.runs))})
		for _, r := range sortedRuns(t) {
			if r.stopping {
				c.stopRun(t, r)
			}
		}
		c.availabilityChanged()
	}
	c.pollIfNeeded(t)
}

// runListed processes a run that the target has listed as running.
func (c *Core) runListed(t *target, key runKey, entry RunningEntry) {
	r := t.runs[key]
	if r == nil {
		// A run of an earlier owner, which has been reported as lost.
		r = &run{key: key, unknown: true, confirmed: true, orderedAt: c.now, confirmedAt: c.now}
		t.runs[key] = r
		c.logDecision(Decision{Event: "stranger_found", Task: key.task, Target: t.ID, Value: int64(key.run)})
		if t.state == ready {
			t.state, t.token, t.tokenAt = acquiring, c.newToken(t.token), c.now
		}
		c.stopRun(t, r)
		return
	}
	// Only a run of an earlier owner is stopped again here. The stop of another run is
	// repeated after a failed response, once the target is ready again.
	if r.stopping && r.stopSent && c.now-r.stopSentAt > c.options.StopTime+orderTimeout {
		r.stopSent = false
	}
	if r.unknown && !r.stopSent {
		c.stopRun(t, r)
	}
	r.listed = true
	c.confirmRun(t, r)
	c.checkProgress(t, r, entry.Percent)
}

// checkProgress stops a stalled run, and makes its target suspect as long as runs
// there take several times as long as expected.
func (c *Core) checkProgress(t *target, r *run, percent int) {
	if r.progressAt == 0 || percent != r.percent {
		r.percent, r.progressAt = percent, c.now
	}
	if r.stopping || r.expected <= 0 {
		return
	}
	c.noteProgress(t, r, percent)
	age := c.now - r.confirmedAt
	switch {
	case c.now-r.progressAt >= max(stallTimeout, r.expected/2):
		t.health.stalled(c.now)
		c.logDecision(Decision{Event: "run_stalled", Task: r.key.task, Target: t.ID, Age: age, Value: int64(percent)})
		c.stopRun(t, r)
		c.availabilityChanged()
	case percent > 0 && age*100/time.Duration(percent) > slowFactor*r.expected:
		t.health.slow(c.now)
	}
}

// runMissing handles a run that the target lists neither as running nor as ended.
// A start that is still in flight may yet begin the run, unless the poll's token
// is newer than the start's. If the list of ends was truncated, the run may have
// ended in any way; it stays until its end is listed or a complete list leaves it out.
func (c *Core) runMissing(t *target, o *order, r *run) {
	switch {
	case r.unknown:
		// It was listed as running before, so it has ended. Waiting for its end would
		// keep the target from being ready, and only a ready one acknowledges ends.
		delete(t.runs, r.key)
	case t.endsTruncated:
	case !r.confirmed && o.token == t.token && r.orderedAt < t.tokenAt:
		t.awaitLateStart(r)
		c.finishRun(t, r, Report{Kind: RunRejected, Reason: "start fenced by a newer token"})
	case r.confirmed && r.confirmedAt < o.sentAt:
		c.finishRun(t, r, Report{Kind: RunStopped, Reason: "no longer listed by the target"})
	}
}

// runEnded processes an end that the target has listed.
func (c *Core) runEnded(t *target, end EndedEntry) {
	if end.Number <= t.lastEndNumber {
		return
	}
	t.lastEndNumber = end.Number
	r := t.runs[runKey{end.Task, end.Run}]
	endedByTask := end.Kind == EndDone || end.Kind == EndFailed
	if r != nil && endedByTask {
		c.updateHealth(t, r, end.Kind)
		c.warmUp(t, r, end.Kind)
	}
	switch {
	case endedByTask && (r == nil || r.unknown || r.stored):
		c.keepUnacked(t, end, r)
	case r == nil:
	case end.Kind == EndDone:
		c.finishRun(t, r, Report{Kind: RunDone})
	case end.Kind == EndFailed:
		c.finishRun(t, r, Report{Kind: RunFailed})
	default:
		c.finishRun(t, r, Report{Kind: RunStopped, Reason: "ended by the target"})
	}
}

// updateHealth updates the health of a target after the end of a run.
func (c *Core) updateHealth(t *target, r *run, kind EndKind) {
	if kind == EndDone {
		c.noteDone(t, r)
		t.health.succeeded()
		return
	}
	if t.health.failed(c.now, r.key.task) {
		c.logDecision(Decision{Event: "target_ejected", Target: t.ID, Task: r.key.task, Value: int64(t.health.failures)})
	}
}
