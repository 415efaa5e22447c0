package placement

import (
	"slices"
	"time"
)

type targetState int

const (
	acquiring targetState = iota // waits for the first poll under the current token
	ready
)

// runKey identifies a run on a target.
type runKey struct {
	task string
	run  int
}

// run is a run on a target of this coordinator, from its order to its end.
type run struct {
	key             runKey
	home            string // coordinator of the job; empty: this one
	ref             uint64 // of the placement at the home
	queue           string
	need            Resources
	expected        time.Duration
	orderedAt       time.Duration
	percent         int           // of its work, as last reported by the target
	progressAt      time.Duration // when percent last changed
	confirmed       bool          // the target has reported the run
	listed          bool          // the boot in use has listed the run; a start's response names no boot
	confirmedAt     time.Duration // when it was confirmed
	stored          bool          // its end has to be in the log before it is acknowledged
	stopping        bool
	stopSent        bool
	stopSentAt      time.Duration // when the stop was sent
	unknown         bool          // found on the target, from an earlier owner
	accompanied     bool          // another run has been on the target since the start
	exclusive       bool          // no other run may be started on the target
	suspect         bool          // may crash its target
	restarted       bool          // the target's earlier boot may have started the run
	crash           *TargetLoss   // of that boot, if it may have crashed
	offRack         bool          // away from the rack of its data, where it takes longer
	measured        bool          // its start was confirmed at once, so that its run time is known at its end
	progressCounted bool          // its progress has counted for the target's speed
}

// target is a target that this coordinator owns or is about to own.
type target struct {
	Description
	state           targetState
	heartbeatAt     time.Duration // last heartbeat
	token           uint64
	tokenAt         time.Duration // when the token was chosen
	lastEndNumber   uint64        // of the highest end processed
	ackedEndNumber  uint64        // of the highest end acknowledged by a successful poll
	endsTruncated   bool          // the last list of ends may have left some out
	clockMS         int64         // lower bound of the target's clock at clockAt
	clockAt         time.Duration
	leaseEnd        time.Duration // every run has ended by then unless an order extends the lease
	expiresMS       int64         // end of the last lease on the target's clock
	runs            map[runKey]*run
	used            Resources
	unacked         map[uint64]*unackedEnd // ends that the target has to keep, by number
	poll            uint64                 // order of the outstanding poll; 0: none
	polledAt        time.Duration          // when the last poll completed
	failedPolls     int                    // failed polls in a row
	otherBoot       *Description           // last heartbeat of another boot that may be the later one
	bootPoll        uint64                 // outstanding poll of that boot; 0: none
	owned           bool                   // has been ready under this coordinator
	announcedUsable bool                   // at the last AvailabilityChanged
	health          health
	speed           targetSpeed
	restored        bool          // no heartbeat has arrived at this process
	refuses         bool          // the last order found no process at the address
	lateStartUntil  time.Duration // until then a start without a response may arrive
	reservedUntil   time.Duration // until then only a run that has to be alone may be started
	evacuated       bool          // its data centre is, see updateEvacuated
	coldUntil       time.Duration // slow until then
	// reportedColdUntil is the end of the cold time as last reported before warmedUp.
	reportedColdUntil time.Duration
	warmedUp          bool // has ended a run in the expected time in this cold time
}

func (t *target) ref() TargetRef { return TargetRef{ID: t.ID, Address: t.Address} }

func (t *target) free() Resources { return t.Capacity.Sub(t.used) }

// clock returns a lower bound of the target's clock, which may run slow.
func (t *target) clock(now time.Duration) int64 {
	return t.clockMS + int64(float64((now-t.clockAt).Milliseconds())/clockRate)
}

// setClock records the target's clock from a response or a heartbeat. One that was
// overtaken shows an earlier time, which bounds the clock less closely.
func (t *target) setClock(now time.Duration, clockMS int64) {
	if clockMS > t.clock(now) {
		t.clockMS, t.clockAt = clockMS, now
	}
}

// extendLease returns the end of a new lease on the target's clock, and records
// by when it has expired on this machine's. Because it is based on a lower bound of
// the target's clock, no lease ends later, however late its order is carried out.
func (t *target) extendLease(now, lease time.Duration) int64 {
	t.leaseEnd = max(t.leaseEnd, now+onSlowClock(lease))
	t.expiresMS = t.clock(now) + lease.Milliseconds()
	return t.expiresMS
}

// startLease returns the end of the lease for a start, on the target's clock.
func (t *target) startLease(now, lease time.Duration) int64 {
	if t.hasStoppingRun() {
		return t.expiresMS
	}
	return t.extendLease(now, lease)
}

// hasStoppingRun reports whether a run there has to end. Until it has, the lease is
// not extended, so that the run is gone longestLease later even if no stop arrives.
func (t *target) hasStoppingRun() bool {
	for _, r := range t.runs {
		if r.stopping {
			return true
		}
	}
	return false
}

// admitsStart reports whether the lease lets a run start. It is not extended while
// another run is being stopped, and has to last until a poll extends it again.
func (t *target) admitsStart(now time.Duration) bool {
	if t.leaseWithheld() {
		return false
	}
	return !t.hasStoppingRun() || t.expiresMS-t.clock(now) >= (pollWait+orderTimeout).Milliseconds()
}

// onSlowClock returns how long a time on a target's clock takes at most.
func onSlowClock(d time.Duration) time.Duration { return time.Duration(float64(d) * clockRate) }

// usable reports whether the target may get starts.
func (t *target) usable(now time.Duration) bool {
	return t.serviceable(now) && !t.setAside(now)
}

// serviceable reports whether the target may get starts unless it is set aside.
func (t *target) serviceable(now time.Duration) bool {
	return t.state == ready && !t.evacuated && !t.coldFull(now) && !t.restored && !t.Draining && t.failedPolls == 0 && t.admitsStart(now) &&
		now-t.heartbeatAt < heartbeatTimeout && t.health.admits(now, len(t.runs))
}

// checkUsable announces a target whose use begins or ends by the passage of time alone, as
// after a pause for failed runs. Without other changes here the others would not learn it.
func (c *Core) checkUsable(t *target) {
	if t.usable(c.now) != t.announcedUsable {
		c.availabilityChanged()
	}
}

// matches reports whether the target may run tasks with a requirement.
func matches(labels []string, requirement string) bool {
	return requirement == "" || slices.Contains(labels, requirement)
}

// atStepLimit reports whether as many tasks of a task's step are on the target as the
// limit allows; 0 is none. Runs whose start is not confirmed, that are being stopped or
// that an earlier owner has started are there as long as they are listed.
func (t *target) atStepLimit(task string, limit int) bool {
	if limit == 0 {
		return false
	}
	step := stepOf(task)
	count := 0
	for key := range t.runs {
		if stepOf(key.task) == step {
			count++
		}
	}
	return count >= limit
}

// onRack reports whether a target is on a rack.
func onRack(labels []string, rack string) bool {
	return rack == "" || slices.Contains(labels, rack)
}

// heartbeat processes a heartbeat.
func (c *Core) heartbeat(e Heartbeat) {
	d := e.Description
	if c.endedBoots.has(d.ID, d.BootUnixMS) {
		c.logDecision(Decision{Event: "heartbeat_ignored", Target: d.ID, Reason: "earlier boot", BootUnixMS: d.BootUnixMS})
		return
	}
	t := c.targets[d.ID]
	if t != nil && d.BootUnixMS != t.BootUnixMS && t.BootUnixMS != 0 && d.BootUnixMS != 0 {
		c.heartbeatOfOtherBoot(t, d)
		return
	}
	if t != nil && d.Sequence <= t.Sequence {
		return
	}
	if t == nil {
		t = c.adoptTarget(d, "heartbeat")
	}
	wasDraining, oldCapacity := t.Draining, t.Capacity
	t.Sequence, t.Address, t.Labels, t.Capacity = d.Sequence, d.Address, d.Labels, d.Capacity
	t.Draining = t.Draining || d.Draining
	t.heartbeatAt = c.now
	c.setCold(t, d.Cold)
	t.DataCentre = d.DataCentre
	c.updateEvacuated(t)
	if t.restored {
		t.restored = false
		c.availabilityChanged()
	}
	t.setClock(c.now, d.ClockMS)
	if t.Draining != wasDraining {
		c.logDecision(Decision{Event: "target_draining", Target: t.ID})
		c.availabilityChanged()
	}
	if t.Capacity != oldCapacity {
		c.logDecision(Decision{Event: "target_resized", Target: t.ID, Value: t.Capacity.CPUMillis})
		c.availabilityChanged()
	}
	c.pollIfNeeded(t)
}

// targetRestarted replaces a target by its next boot. The runs that the earlier one
// has listed are gone; a start may be or have been carried out by the new boot, so
// it keeps its capacity until a poll under a newer token.
func (c *Core) targetRestarted(old *target, d Description) {
	inFlight := map[runKey]*run{}
	for key, r := range old.runs {
		if !r.listed {
			r.restarted = true
			inFlight[key] = r
		}
	}
	old.lossInFlight(inFlight)
	for key := range inFlight {
		delete(old.runs, key)
	}
	c.endedBoots.add(old.ID, old.BootUnixMS)
	c.dropTarget(old, "restarted", bootOver)
	t := c.adoptTarget(d, "restarted")
	t.heartbeatAt, t.runs, t.leaseEnd = c.now, inFlight, old.leaseEnd
	for _, r := range inFlight {
		t.used = t.used.Add(r.need)
	}
	c.pollIfNeeded(t)
}

// adoptRestored takes over the restored targets that no other coordinator has
// taken over in the meantime. Their next heartbeat has to arrive here, or they
// are dropped again.
func (c *Core) adoptRestored() {
	ownedByPeers := map[string]bool{}
	for _, p := range c.peers {
		for i := range p.targets {
			ownedByPeers[p.targets[i].Target] = true
		}
	}
	for _, d := range c.restored {
		if ownedByPeers[d.ID] || c.targets[d.ID] != nil || c.draining {
			continue
		}
		d.ClockMS = 0
		t := c.adoptTarget(d, "restored")
		t.restored = true // its capacity may have shrunk since
		t.heartbeatAt = c.now
		c.pollIfNeeded(t)
	}
	c.restored = nil
}

// adoptTarget takes a target over. It may hold runs of an earlier owner, so it is
// polled before it gets any start.
func (c *Core) adoptTarget(d Description, reason string) *target {
	t := &target{Description: d, runs: map[runKey]*run{}}
	t.clockMS, t.clockAt = d.ClockMS, c.now
	t.Draining = d.Draining || c.drainingBoots[d.ID] == d.BootUnixMS && d.BootUnixMS != 0
	t.token, t.tokenAt = c.newToken(0), c.now
	c.updateEvacuated(t)
	c.setCold(t, d.Cold)
	c.targets[d.ID] = t
	c.removeFence(t) // it is polled under a newer token from now on
	c.logDecision(Decision{
		Event: "target_adopted", Target: t.ID, Reason: reason, Value: int64(t.token), BootUnixMS: t.BootUnixMS,
	})
	return t
}

// newToken returns a fencing token above another one. Tokens follow the
// wall clock, so that a later owner's are higher; an owner whose clock is behind
// is fenced by the target and raises its offset.
func (c *Core) newToken(above uint64) uint64 {
	token := (uint64(c.options.UnixMS) + uint64(c.now.Milliseconds()-c.clockStart.Milliseconds())) << tokenShift
	token += c.tokenOffset
	return max(token, above+1)
}

// targetDeregistered processes the shutdown of a target. It ends after the response,
// or some seconds later if that is lost.
func (c *Core) targetDeregistered(e TargetDeregistered) {
	c.acquitTarget(e.Target, e.BootUnixMS)
	t := c.targets[e.Target]
	if t == nil || e.BootUnixMS != 0 && t.BootUnixMS != 0 && e.BootUnixMS != t.BootUnixMS {
		return
	}
	c.endedBoots.add(t.ID, t.BootUnixMS)
	c.dropTarget(t, droppedDeregistered, bootUncertain)
}

func (c *Core) targetDraining(e TargetDraining) {
	c.drainingBoots[e.Target] = e.BootUnixMS
	c.acquitTarget(e.Target, e.BootUnixMS)
	if t := c.targets[e.Target]; t != nil && t.BootUnixMS == e.BootUnixMS && !t.Draining {
		t.Draining = true
		c.logDecision(Decision{Event: "target_draining", Target: t.ID, Reason: "reported by a peer"})
		c.availabilityChanged()
	}
}

// targetFate is what is known of the runs of a target that is dropped.
type targetFate int

const (
	bootUncertain targetFate = iota // they may be alive until the lease expires
	bootOver                        // those that the boot has listed are gone
)

// dropTarget removes a target and reports its runs as lost.
func (c *Core) dropTarget(t *target, reason string, fate targetFate) {
	delete(c.targets, t.ID)
	c.dropOrders(t)
	var safeAfter time.Duration
	for _, r := range sortedRuns(t) {
		report := Report{Ref: r.ref, Kind: RunLost, Target: t.ID, SafeAfter: c.aliveFor(t, r, fate), Reason: reason}
		safeAfter = max(safeAfter, report.SafeAfter)
		report.Loss = t.lossOf(r, reason)
		c.reportHome(t, r, report)
	}
	c.watchLost(t, reason)
	if reason != droppedDeregistered {
		c.fenceDropped(t)
	}
	c.logDecision(Decision{
		Event: "target_dropped", Target: t.ID, Reason: reason, Value: int64(len(t.runs)),
		BootUnixMS: t.BootUnixMS, SafeAfter: safeAfter,
	})
	c.availabilityChanged()
}

// aliveFor returns how long a run of a dropped target may be alive.
func (c *Core) aliveFor(t *target, r *run, fate targetFate) time.Duration {
	leaseLeft := max(t.leaseEnd-c.now, 0)
	switch {
	case fate == bootOver && r.listed:
		return 0
	case !r.confirmed:
		return max(leaseLeft, c.longestLease()+orderTimeout) // the start may still arrive
	}
	return leaseLeft
}

func (c *Core) dropOrders(t *target) {
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

// pollIfNeeded keeps one poll of the target outstanding while it is being acquired
// or has runs or unacknowledged ends.
func (c *Core) pollIfNeeded(t *target) {
	if t.poll != 0 || c.targets[t.ID] != t {
		return
	}
	switch {
	case t.state == acquiring:
		c.sendPoll(t, 0)
	case len(t.unacked) > 0 && c.now-t.polledAt < unackedPollInterval:
	case len(t.runs) > 0:
		c.sendPoll(t, pollWait)
	case t.ackableEndNumber() > t.ackedEndNumber:
		c.sendPoll(t, 0)
	case c.now < t.lateStartUntil:
		c.sendPoll(t, pollWait) // fails at once when the target's boot ends
	}
}

func (c *Core) sendPoll(t *target, wait time.Duration) {
	o := PollOrder{Target: t.ref(), Token: t.token, Wait: wait, Timeout: wait + orderTimeout}
	if t.state == ready {
		// Before that, another boot or another owner's runs may be there.
		o.AckedEnd = t.ackableEndNumber()
	}
	if t.state == ready && t.failedPolls < extendingPolls && len(t.runs) > 0 && !t.hasUnknownRun() && !t.hasStoppingRun() && !t.leaseWithheld() {
		o.ExpiresMS = t.extendLease(c.now, c.options.Lease)
	}
	o.Order = c.newOrder(&order{kind: pollOrder, target: t, token: t.token, ackedEndNumber: o.AckedEnd, sentAt: c.now})
	t.poll = o.Order
	c.emit(o)
}

func (t *target) hasUnknownRun() bool {
	for _, r := range t.runs {
		if r.unknown {
			return true
		}
	}
	return false
}

// startRun orders the start of a run. The caller has checked that it fits.
func (c *Core) startRun(t *target, r *run, spec string) {
	r.orderedAt = c.now
	t.noteNeighbours(r)
	t.runs[r.key] = r
	t.used = t.used.Add(r.need)
	id := c.newOrder(&order{kind: startOrder, target: t, run: r, token: t.token, sentAt: c.now})
	c.emit(StartOrder{
		Order: id, Target: t.ref(), Task: r.key.task, Run: r.key.run, Spec: spec,
		ExpiresMS: t.startLease(c.now, c.options.Lease), Token: t.token, Timeout: orderTimeout,
	})
	c.availabilityChanged()
}

// stopRun orders the stop of a run, once the target has confirmed the run.
func (c *Core) stopRun(t *target, r *run) {
	r.stopping = true
	if !r.confirmed || r.stopSent || t.state != ready && !r.unknown {
		return
	}
	r.stopSent, r.stopSentAt = true, c.now
	id := c.newOrder(&order{kind: stopOrder, target: t, run: r, token: t.token, sentAt: c.now})
	c.emit(StopOrder{
		Order: id, Target: t.ref(), Task: r.key.task, Run: r.key.run,
		Token: t.token, Timeout: orderTimeout,
	})
	c.pollIfNeeded(t)
}

// reacquire acquires a target again after a failed order: the next poll carries
// a higher token, which invalidates all orders in flight.
func (c *Core) reacquire(t *target, reason string) {
	if t.state == ready {
		c.logDecision(Decision{Event: "target_uncertain", Target: t.ID, Reason: reason, Value: int64(len(t.runs))})
	}
	t.state = acquiring
	t.token, t.tokenAt = c.newToken(t.token), c.now
	if t.poll != 0 {
		delete(c.orders, t.poll)
		t.poll = 0
	}
	for _, r := range t.runs {
		r.stopSent = false
	}
	t.forgetRunStarts()
	c.fenceTarget(t)
	c.availabilityChanged()
	c.pollIfNeeded(t)
}

// finishRun removes a run from its target and reports its end.
func (c *Core) finishRun(t *target, r *run, report Report) {
	if t.runs[r.key] != r {
		return
	}
	delete(t.runs, r.key)
	t.used = t.used.Sub(r.need)
	report.Ref, report.Target = r.ref, t.ID
	if report.Kind == RunRejected {
		report.Loss = r.crash
		if r.restarted && r.crash == nil && !r.stored {
			report.Kind = RunStopped // by the planned end of the earlier boot
		}
	}
	c.reportHome(t, r, report)
	c.availabilityChanged()
}

// reportHome reports the state of a run to the job's home.
func (c *Core) reportHome(t *target, r *run, report Report) {
	report.Token = t.token
	switch {
	case r.unknown:
	case r.home == "":
		c.placementReported(report)
	default:
		c.queueReport(r.home, report)
	}
}

// TargetReady reports whether this coordinator owns the target for certain:
// orders of earlier owners have no effect any more.
func (c *Core) TargetReady(id string, bootUnixMS int64) bool {
	t := c.targets[id]
	return t != nil && t.state == ready && (t.BootUnixMS == bootUnixMS || bootUnixMS == 0)
}
