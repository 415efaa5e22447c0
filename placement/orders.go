package placement

import "time"

type orderKind int

const (
	startOrder orderKind = iota
	stopOrder
	lookOrder
)

// order is an order to a target whose answer is awaited.
type order struct {
	kind   orderKind
	target *target
	run    *run // of a start or a stop
	token  uint64
	seen   uint64 // ends that a look notes
	sent   time.Duration
}

func (c *Core) newOrder(o *order) uint64 {
	c.lastOrder++
	c.orders[c.lastOrder] = o
	return c.lastOrder
}

// answered takes the outcome of an order. Answers to orders that are not
// awaited any more are ignored: a look under a newer token has settled them.
func (c *Core) answered(e OrderResponse) {
	o := c.orders[e.Order]
	if o == nil {
		return
	}
	delete(c.orders, e.Order)
	t := o.target
	if c.targets[t.ID] != t {
		return
	}
	if e.BootUnixMS != 0 && t.BootUnixMS != 0 && e.BootUnixMS != t.BootUnixMS || e.Result == OtherBoot {
		c.dropTarget(t, "other boot answers", 0)
		return
	}
	if e.Result != Unknown {
		t.sawClock(c.now, e.ClockMS)
	}
	switch o.kind {
	case startOrder:
		c.startAnswered(t, o, e)
	case stopOrder:
		c.stopAnswered(t, o, e)
	case lookOrder:
		c.lookAnswered(t, o, e)
	}
}

func (c *Core) startAnswered(t *target, o *order, e OrderResponse) {
	r := o.run
	if t.runs[r.key] != r {
		return // ended before the answer came
	}
	switch e.Result {
	case OK:
		c.confirm(t, r)
	case Unknown:
		c.uncertain(t, "start without an answer")
	case Fenced:
		if o.token == t.token {
			c.fenced(t)
			return
		}
		c.rejected(t, r, "fenced by a newer token")
	case Unavailable:
		t.health.pause(c.now, unwellTime)
		c.rejected(t, r, "target is unwell")
	default:
		c.rejected(t, r, e.Result.String()+" "+e.Reason)
	}
}

func (c *Core) rejected(t *target, r *run, reason string) {
	c.decide(Decision{Event: "start_rejected", Task: r.key.task, Target: t.ID, Reason: reason, Value: int64(r.key.run)})
	c.finish(t, r, Report{Kind: RunRejected, Reason: reason})
}

// confirm takes note that a run is on its target.
func (c *Core) confirm(t *target, r *run) {
	if r.confirmed {
		return
	}
	r.confirmed, r.seenAt = true, c.now
	c.reportHome(t, r, Report{Ref: r.ref, Kind: RunStarted, Target: t.ID})
	if r.stopping {
		c.stop(t, r)
	}
	c.maintain(t)
}

func (c *Core) stopAnswered(t *target, o *order, e OrderResponse) {
	switch {
	case e.Result == Fenced && o.token == t.token:
		c.fenced(t)
	case e.Result == OK:
		c.maintain(t) // the end is listed
	case t.runs[o.run.key] == o.run && t.state == ready:
		c.uncertain(t, "stop without effect")
	}
}

// fenced means that another coordinator has taken the target over. Its first
// look extends no lease, so that the runs end within the lease given here.
func (c *Core) fenced(t *target) {
	if !t.owned && c.now-t.reported < reportTimeout {
		// The target still reports here: its tokens are ahead of this clock.
		c.tokenOffset += tokenStep
		c.uncertain(t, "token too low")
		return
	}
	c.dropTarget(t, "fenced", max(t.leaseEnd-c.now, 0))
}

func (c *Core) lookAnswered(t *target, o *order, e OrderResponse) {
	t.look, t.lookedAt = 0, c.now
	switch e.Result {
	case OK:
		c.looked(t, o, e)
	case Fenced:
		if o.token == t.token {
			c.fenced(t)
		} else {
			c.maintain(t)
		}
	default:
		c.lookMissed(t)
	}
}

// lookMissed repeats a look that was not answered, until the target is given up.
func (c *Core) lookMissed(t *target) {
	t.misses++
	if t.misses < lostLooks {
		c.uncertain(t, "look without an answer")
		return
	}
	c.dropTarget(t, "silent", max(t.leaseEnd-c.now, 0))
}

// looked takes the lists of a target.
func (c *Core) looked(t *target, o *order, e OrderResponse) {
	t.misses = 0
	t.noted = max(t.noted, o.seen)
	for _, end := range e.Ended {
		c.ended(t, end)
	}
	listed := make(map[runKey]bool, len(e.Running))
	for _, entry := range e.Running {
		key := runKey{entry.Task, entry.Run}
		listed[key] = true
		c.listed(t, key, entry)
	}
	for _, r := range sortedRuns(t) {
		if !listed[r.key] {
			c.missing(t, o, r)
		}
	}
	if t.state == acquiring && o.token == t.token && !t.hasStranger() {
		t.state, t.owned = ready, true
		c.decide(Decision{Event: "target_ready", Target: t.ID, Age: c.now - t.tokenAge, Value: int64(len(t.runs))})
		for _, r := range sortedRuns(t) {
			if r.stopping {
				c.stop(t, r)
			}
		}
		c.roomChanged()
	}
	c.maintain(t)
}

// listed takes a run that the target has listed as running.
func (c *Core) listed(t *target, key runKey, entry RunningEntry) {
	r := t.runs[key]
	if r == nil {
		// A run of an earlier owner: its caller has been told that it is lost.
		r = &run{key: key, stranger: true, confirmed: true, began: c.now, seenAt: c.now}
		t.runs[key] = r
		c.decide(Decision{Event: "stranger_found", Task: key.task, Target: t.ID, Value: int64(key.run)})
		if t.state == ready {
			t.state, t.token, t.tokenAge = acquiring, c.newToken(t.token), c.now
		}
		c.stop(t, r)
		return
	}
	if r.stopping && r.stopSent && c.now-r.stopAt > c.options.StopTime+orderTimeout {
		r.stopSent = false
	}
	if r.stranger && !r.stopSent {
		c.stop(t, r)
	}
	c.confirm(t, r)
	c.watchProgress(t, r, entry.Percent)
}

// watchProgress stops a run that stands still, and puts its target last as long
// as runs there take several times as long as expected.
func (c *Core) watchProgress(t *target, r *run, percent int) {
	if r.movedAt == 0 || percent != r.percent {
		r.percent, r.movedAt = percent, c.now
	}
	if r.stopping || r.expected <= 0 {
		return
	}
	age := c.now - r.seenAt
	switch {
	case c.now-r.movedAt >= max(stallTime, r.expected/2):
		t.health.stalled(c.now)
		c.decide(Decision{Event: "run_stalled", Task: r.key.task, Target: t.ID, Age: age, Value: int64(percent)})
		c.stop(t, r)
		c.roomChanged()
	case percent > 0 && age*100/time.Duration(percent) > slowFactor*r.expected:
		t.health.slow(c.now)
	}
}

// missing handles a run that the target does not list and whose end it has not
// listed either. An order that is still on its way may bring the run about,
// unless the look's token is newer than the order's.
func (c *Core) missing(t *target, o *order, r *run) {
	switch {
	case r.stranger:
		delete(t.runs, r.key)
	case !r.confirmed && t.state == acquiring && o.token == t.token && r.began < t.tokenAge:
		c.finish(t, r, Report{Kind: RunRejected, Reason: "order overtaken by a newer token"})
	case r.confirmed && r.seenAt < o.sent:
		c.finish(t, r, Report{Kind: RunStopped, Reason: "not on the target any more"})
	}
}

// ended takes an end that the target has listed.
func (c *Core) ended(t *target, end EndedEntry) {
	if end.Number <= t.seen {
		return
	}
	t.seen = end.Number
	r := t.runs[runKey{end.Task, end.Run}]
	outcome := end.Kind == EndDone || end.Kind == EndFailed
	if r != nil && outcome {
		c.judge(t, r, end.Kind)
	}
	switch {
	case outcome && (r == nil || r.stranger || r.stored):
		c.holdEnd(t, end, r)
	case r == nil:
	case end.Kind == EndDone:
		c.finish(t, r, Report{Kind: RunDone})
	case end.Kind == EndFailed:
		c.finish(t, r, Report{Kind: RunFailed})
	default:
		c.finish(t, r, Report{Kind: RunStopped, Reason: "ended by the target"})
	}
}

// judge takes what the end of a run says of its target.
func (c *Core) judge(t *target, r *run, kind EndKind) {
	if kind == EndDone {
		t.health.succeeded()
		return
	}
	if t.health.failed(c.now, r.key.task) {
		c.decide(Decision{Event: "target_ejected", Target: t.ID, Task: r.key.task, Value: int64(t.health.failures)})
	}
}
