package placement

import (
	"slices"
	"time"
)

type targetState int

const (
	acquiring targetState = iota // waits for the first look under the current token
	ready
)

// runKey names a run on a target.
type runKey struct {
	task string
	run  int
}

// run is a run on a target of this coordinator, from its order to its end.
type run struct {
	key       runKey
	home      string // coordinator of the job; empty: this one
	ref       uint64 // of the placement at the home
	queue     string
	need      Resources
	expected  time.Duration
	began     time.Duration
	percent   int           // of its work, as the target has said last
	movedAt   time.Duration // when percent was seen to change
	confirmed bool          // the target has said that the run is there
	seenAt    time.Duration // when it was confirmed
	stored    bool          // its end has to be in the log before the target forgets it
	stopping  bool
	stopSent  bool
	stopAt    time.Duration // when the stop was sent
	stranger  bool          // found on the target, from an earlier owner
}

// target is a target that this coordinator owns or is about to own.
type target struct {
	Description
	state    targetState
	reported time.Duration // last heartbeat
	token    uint64
	tokenAge time.Duration // when the token was chosen
	seen     uint64        // highest end taken in
	noted    uint64        // highest end that an answered look has noted
	clockMS  int64         // target's clock at clockAt, not ahead of it
	clockAt  time.Duration
	leaseEnd time.Duration // every run has ended by then unless an order extends the lease
	runs     map[runKey]*run
	used     Resources
	held     map[uint64]*heldEnd // ends that the target has to keep, by number
	look     uint64              // order of the outstanding look; 0: none
	lookedAt time.Duration       // when a look was answered last
	misses   int                 // looks in a row without an answer
	owned    bool                // has been ready under this coordinator
	health   health
}

func (t *target) ref() TargetRef { return TargetRef{ID: t.ID, Address: t.Address} }

func (t *target) free() Resources { return t.Capacity.Sub(t.used) }

func (t *target) clock(now time.Duration) int64 {
	return t.clockMS + (now - t.clockAt).Milliseconds()
}

// sawClock takes the target's clock from an answer.
func (t *target) sawClock(now time.Duration, clockMS int64) {
	if clockMS > 0 {
		t.clockMS, t.clockAt = clockMS, now
	}
}

// extend returns the end of a new lease on the target's clock, and remembers by
// when it has ended on this machine's.
func (t *target) extend(now, lease time.Duration) int64 {
	expires := t.clock(now) + lease.Milliseconds()
	left := time.Duration(float64(expires-t.clockMS)*clockRate) * time.Millisecond
	t.leaseEnd = max(t.leaseEnd, t.clockAt+left)
	return expires
}

// usable reports whether the target may get starts.
func (t *target) usable(now time.Duration) bool {
	return t.state == ready && !t.Draining && t.misses == 0 && !t.lapsing() &&
		now-t.reported < reportTimeout && t.health.admits(now, len(t.runs))
}

// matches reports whether the target may run tasks with a requirement.
func matches(labels []string, requirement string) bool {
	return requirement == "" || slices.Contains(labels, requirement)
}

// onRack reports whether a target is on a rack.
func onRack(labels []string, rack string) bool {
	return rack == "" || slices.Contains(labels, rack)
}

// reported takes a heartbeat.
func (c *Core) reported(e Heartbeat) {
	d := e.Description
	t := c.targets[d.ID]
	if t != nil && d.BootUnixMS != t.BootUnixMS && t.BootUnixMS != 0 && d.BootUnixMS != 0 {
		if d.BootUnixMS < t.BootUnixMS {
			return // a late heartbeat of an earlier boot
		}
		c.restarted(t, d)
		return
	}
	if t != nil && d.Sequence <= t.Sequence {
		return
	}
	if t == nil {
		if c.departed[d.ID] >= d.BootUnixMS && d.BootUnixMS != 0 {
			return
		}
		t = c.adopt(d)
	}
	wasDraining := t.Draining
	t.Sequence, t.Address, t.Labels, t.Capacity = d.Sequence, d.Address, d.Labels, d.Capacity
	t.Draining = t.Draining || d.Draining
	t.reported = c.now
	if t.Draining != wasDraining {
		c.decide(Decision{Event: "target_draining", Target: t.ID})
		c.roomChanged()
	}
	c.maintain(t)
}

// restarted follows a target into its next boot. The runs of the earlier one are
// gone; a start that is still on its way may be carried out by the new boot, so
// it keeps its room until a look under a newer token.
func (c *Core) restarted(old *target, d Description) {
	onTheWay := map[runKey]*run{}
	for key, r := range old.runs {
		if !r.confirmed {
			onTheWay[key] = r
			delete(old.runs, key)
		}
	}
	c.dropTarget(old, "restarted", 0)
	t := c.adopt(d)
	t.reported, t.runs = c.now, onTheWay
	for _, r := range onTheWay {
		t.used = t.used.Add(r.need)
	}
	c.maintain(t)
}

// recall takes over the remembered targets that no other coordinator has taken
// over in the meantime. Their next heartbeat has to come here, or they are
// dropped again.
func (c *Core) recall() {
	elsewhere := map[string]bool{}
	for _, p := range c.peers {
		for i := range p.rooms {
			elsewhere[p.rooms[i].Target] = true
		}
	}
	for _, d := range c.remembered {
		if elsewhere[d.ID] || c.targets[d.ID] != nil || c.leaving {
			continue
		}
		d.ClockMS = 0
		t := c.adopt(d)
		t.reported = c.now
		c.maintain(t)
	}
	c.remembered = nil
}

// adopt takes a target over. It may hold runs of an earlier owner, so it is
// looked at before it gets any start.
func (c *Core) adopt(d Description) *target {
	t := &target{Description: d, runs: map[runKey]*run{}}
	t.clockMS, t.clockAt = d.ClockMS, c.now
	t.Draining = d.Draining || c.draining[d.ID] == d.BootUnixMS && d.BootUnixMS != 0
	t.token, t.tokenAge = c.newToken(0), c.now
	c.targets[d.ID] = t
	c.decide(Decision{Event: "target_adopted", Target: t.ID, Value: int64(t.token)})
	return t
}

// newToken returns a fencing token above another one. Tokens follow the time
// of day, so that a later owner's are higher; an owner whose clock is behind is
// told so by the target and adds to its offset.
func (c *Core) newToken(above uint64) uint64 {
	token := (uint64(c.options.UnixMS) + uint64(c.now.Milliseconds()-c.began.Milliseconds())) << tokenShift
	token += c.tokenOffset
	return max(token, above+1)
}

// left takes the end of a target.
func (c *Core) left(e TargetDeregistered) {
	t := c.targets[e.Target]
	if t == nil || e.BootUnixMS != 0 && t.BootUnixMS != 0 && e.BootUnixMS != t.BootUnixMS {
		return
	}
	if t.BootUnixMS != 0 {
		c.departed[t.ID] = t.BootUnixMS
	}
	c.dropTarget(t, "deregistered", 0)
}

func (c *Core) drainNoticed(e TargetDraining) {
	c.draining[e.Target] = e.BootUnixMS
	if t := c.targets[e.Target]; t != nil && t.BootUnixMS == e.BootUnixMS && !t.Draining {
		t.Draining = true
		c.decide(Decision{Event: "target_draining", Target: t.ID, Reason: "told by a peer"})
		c.roomChanged()
	}
}

// dropTarget gives a target up. Its runs may be alive for as long as given.
func (c *Core) dropTarget(t *target, reason string, safeAfter time.Duration) {
	delete(c.targets, t.ID)
	c.forgetOrders(t)
	for _, r := range sortedRuns(t) {
		report := Report{Ref: r.ref, Kind: RunLost, Target: t.ID, SafeAfter: safeAfter, Reason: reason}
		if !r.confirmed {
			report.SafeAfter = max(safeAfter, c.options.Lease+orderTimeout) // the start may still arrive
		}
		c.reportHome(t, r, report)
	}
	c.decide(Decision{Event: "target_dropped", Target: t.ID, Reason: reason, Value: int64(len(t.runs))})
	c.roomChanged()
}

func (c *Core) forgetOrders(t *target) {
	for id, o := range c.orders {
		if o.target == t {
			delete(c.orders, id)
		}
	}
}

func sortedRuns(t *target) []*run {
	runs := make([]*run, 0, len(t.runs))
	for _, r := range t.runs {
		runs = append(runs, r)
	}
	slices.SortFunc(runs, func(a, b *run) int {
		if a.key.task < b.key.task || a.key.task == b.key.task && a.key.run < b.key.run {
			return -1
		}
		return 1
	})
	return runs
}

// maintain keeps one look at the target outstanding while there is something
// to learn from it.
func (c *Core) maintain(t *target) {
	if t.look != 0 || c.targets[t.ID] != t {
		return
	}
	switch {
	case t.state == acquiring:
		c.sendLook(t, 0)
	case len(t.held) > 0 && c.now-t.lookedAt < heldPause:
	case len(t.runs) > 0:
		c.sendLook(t, lookWait)
	case t.notable() > t.noted:
		c.sendLook(t, 0)
	}
}

func (c *Core) sendLook(t *target, wait time.Duration) {
	o := PollOrder{
		Target: t.ref(), Token: t.token, AckedEnd: t.notable(),
		Wait: wait, Timeout: wait + orderTimeout,
	}
	if t.misses < extendingLooks && len(t.runs) > 0 && !t.hasStranger() && !t.lapsing() {
		o.ExpiresMS = t.extend(c.now, c.options.Lease)
	}
	o.Order = c.newOrder(&order{kind: lookOrder, target: t, token: t.token, seen: o.AckedEnd, sent: c.now})
	t.look = o.Order
	c.emit(o)
}

func (t *target) hasStranger() bool {
	for _, r := range t.runs {
		if r.stranger {
			return true
		}
	}
	return false
}

// begin orders a run. The caller has made sure that it fits.
func (c *Core) begin(t *target, r *run, spec string) {
	r.began = c.now
	t.runs[r.key] = r
	t.used = t.used.Add(r.need)
	id := c.newOrder(&order{kind: startOrder, target: t, run: r, token: t.token, sent: c.now})
	c.emit(StartOrder{
		Order: id, Target: t.ref(), Task: r.key.task, Run: r.key.run, Spec: spec,
		ExpiresMS: t.extend(c.now, c.options.Lease), Token: t.token, Timeout: orderTimeout,
	})
	c.roomChanged()
}

// stop orders the end of a run, once the target has confirmed that it is there.
func (c *Core) stop(t *target, r *run) {
	r.stopping = true
	if !r.confirmed || r.stopSent || t.state != ready && !r.stranger {
		return
	}
	r.stopSent, r.stopAt = true, c.now
	id := c.newOrder(&order{kind: stopOrder, target: t, run: r, token: t.token, sent: c.now})
	c.emit(StopOrder{
		Order: id, Target: t.ref(), Task: r.key.task, Run: r.key.run,
		Token: t.token, Timeout: orderTimeout,
	})
	c.maintain(t)
}

// uncertain begins anew with a target that has not answered an order: the next
// look carries a higher token, which invalidates all orders on their way.
func (c *Core) uncertain(t *target, reason string) {
	if t.state == ready {
		c.decide(Decision{Event: "target_uncertain", Target: t.ID, Reason: reason, Value: int64(len(t.runs))})
	}
	t.state = acquiring
	t.token, t.tokenAge = c.newToken(t.token), c.now
	if t.look != 0 {
		delete(c.orders, t.look)
		t.look = 0
	}
	for _, r := range t.runs {
		r.stopSent = false
	}
	c.roomChanged()
	c.maintain(t)
}

// finish takes a run off its target and reports its end.
func (c *Core) finish(t *target, r *run, report Report) {
	if t.runs[r.key] != r {
		return
	}
	delete(t.runs, r.key)
	t.used = t.used.Sub(r.need)
	report.Ref, report.Target = r.ref, t.ID
	c.reportHome(t, r, report)
	c.roomChanged()
}

// reportHome tells the job's home what became of a run.
func (c *Core) reportHome(t *target, r *run, report Report) {
	report.Token = t.token
	switch {
	case r.stranger:
	case r.home == "":
		c.placementReported(report)
	default:
		c.queueReport(r.home, report)
	}
}

// TargetReady reports whether this coordinator owns the target for certain:
// orders of earlier owners have no effect any more.
func (c *Core) TargetReady(id string, born int64) bool {
	t := c.targets[id]
	return t != nil && t.state == ready && (t.BootUnixMS == born || born == 0)
}
