package placement

import (
	"hash/fnv"
	"slices"
	"time"
)

const (
	// tokenShift reserves the low bits of a fencing token for the coordinator, so
	// that two never choose the same token in the same millisecond.
	tokenShift = 10
	// tokenStep is added when a target rejects a token as too low: 5 s, more than
	// clocks differ.
	tokenStep = 5000 << tokenShift
)

// Core is the placement state of one coordinator. It is owned by one goroutine.
type Core struct {
	options    Options
	now        time.Duration
	clockStart time.Duration // first reading of the clock
	started    bool

	targets       map[string]*target
	endedBoots    bootSet          // boots that are known to be over
	drainingBoots map[string]int64 // boots that peers have reported as draining, by target
	tokenOffset   uint64

	orders    map[uint64]*order
	lastOrder uint64
	fences    map[string]*fence // by lost target

	jobs       map[string]*job // by ID
	callers    map[Caller]*job
	reserved   map[string]bool  // jobs that have ended and whose lost runs may be alive
	queue      []*job           // jobs with waiting tasks, in scheduling order
	placements map[uint64]*task // tasks with a placement, by ref
	lastRef    uint64
	costOrder  *costOrder // nil: PriorityOrder

	restored        []Description
	adoptRestoredAt time.Duration

	peers  map[string]*peer // that have sent their available targets
	linked map[string]bool
	// checksStepLimits has the coordinators that check Placement.PerTarget, by their last
	// links; those of an earlier version do not.
	checksStepLimits map[string]bool
	// peerHeardAt is the time of the last message of each linked coordinator.
	peerHeardAt map[string]time.Duration
	reports     map[string][]queuedReport // by peer
	handOvers   map[string][]sentHandOver
	draining    bool
	evacuations evacuations

	document QueuesChanged // newest; version 0 before the first
	unserved int           // stored jobs whose service has no usable target

	logConfirmed    bool          // the log has been read to its end
	logConfirmedAt  time.Duration // a time before the last such read
	storedSuspended bool          // the runs of stored jobs have been stopped since
	storedStarts    startRate     // of the tasks of stored jobs
	moveRequestedAt time.Duration // last request to move the stored jobs

	suspects         []*task                     // tasks with losses
	lostTargets      []lostTarget                // that may have crashed, lost here
	remembered       map[string]rememberedLosses // by job
	crashesCheckedAt time.Duration
	cancelled        cancelledIDs

	runTimes RunTimes
	speeds   fleetSpeed

	lastExpiry        time.Duration
	availabilityDirty bool // available targets have changed since the last Ready
	scheduleDue       bool
	effects           []Effect
}

// New returns an empty core.
func New(options Options) *Core {
	hash := fnv.New32a()
	hash.Write([]byte(options.Name))
	return &Core{
		options:          options,
		targets:          map[string]*target{},
		drainingBoots:    map[string]int64{},
		tokenOffset:      uint64(hash.Sum32() % (1 << tokenShift)),
		orders:           map[uint64]*order{},
		fences:           map[string]*fence{},
		jobs:             map[string]*job{},
		callers:          map[Caller]*job{},
		reserved:         map[string]bool{},
		placements:       map[uint64]*task{},
		peers:            map[string]*peer{},
		linked:           map[string]bool{},
		checksStepLimits: map[string]bool{},
		peerHeardAt:      map[string]time.Duration{},
		reports:          map[string][]queuedReport{},
		handOvers:        map[string][]sentHandOver{},
		remembered:       map[string]rememberedLosses{},
		cancelled:        cancelledIDs{at: map[string]time.Duration{}},
		costOrder:        newCostOrder(options.QueueOrder),
	}
}

// Step processes one event. The time must come from a monotonic clock.
func (c *Core) Step(now time.Duration, event Event) {
	if !c.started {
		c.clockStart, c.started, c.lastRef = now, true, c.options.FirstRef
		c.evacuations.withdrawnAt = now // others have not sent their targets yet
	}
	c.now = now
	if name := sender(event); name != "" {
		c.peerHeard(name)
	}
	switch e := event.(type) {
	case Tick:
		c.tick()
	case Submit:
		c.submit(e)
	case Withdraw:
		c.withdraw(e.Caller, "caller has left")
	case Cancel:
		c.cancel(e.JobID)
	case GatewayDisconnected:
		c.gatewayDisconnected(e.Gateway)
	case Heartbeat:
		c.heartbeat(e)
	case TargetDeregistered:
		c.targetDeregistered(e)
	case TargetDraining:
		c.targetDraining(e)
	case OrderResponse:
		c.orderResponse(e)
	case PeerAvailability:
		c.peerAvailability(e)
	case PeerConnected:
		c.linked[e.Peer], c.checksStepLimits[e.Peer] = true, e.ChecksStepLimits
		c.availabilityChanged()
	case PeerDisconnected:
		c.peerDisconnected(e.Peer)
	case PlacementsRequested:
		c.placementsRequested(e)
	case StopRequested:
		c.stopRequested(e)
	case PlacementsReported:
		c.placementsReported(e)
	case HandOverReceived:
		c.handOverReceived(e)
	case TargetsRestored:
		c.restored, c.adoptRestoredAt = e.Targets, now+restoreDelay
	case ProcessPaused:
		c.processPaused()
	case StoredJobChanged:
		c.storedJobChanged(e)
	case LogReadConfirmed:
		c.logReadConfirmed(e)
	case EndRecorded:
		c.endRecorded(e)
	case HandOverRequested:
		c.handOverRequested(e)
	case EvacuationsChanged:
		c.evacuationsChanged(e)
	case QueuesChanged:
		c.queuesChanged(e)
	case Drain:
		c.drain()
	}
}

// Ready returns the pending effects and clears them.
func (c *Core) Ready() []Effect {
	c.schedule()
	c.sendReports()
	if c.availabilityDirty {
		c.availabilityDirty = false
		for _, t := range c.targets {
			t.announcedUsable = t.usable(c.now)
		}
		c.emit(AvailabilityChanged{})
	}
	effects := c.effects
	c.effects = nil
	return effects
}

// Owns reports whether a target is owned here or about to be.
func (c *Core) Owns(id string) bool { return c.targets[id] != nil }

// Owned returns the targets that are owned here and not draining.
func (c *Core) Owned() []Description {
	owned := make([]Description, 0, len(c.targets))
	for _, id := range sortedKeys(c.targets) {
		if t := c.targets[id]; t.owned && !t.Draining {
			owned = append(owned, t.Description)
		}
	}
	return owned
}

func (c *Core) emit(effect Effect) { c.effects = append(c.effects, effect) }

func (c *Core) logDecision(d Decision) { c.emit(d) }

// availabilityChanged records that free capacity or waiting tasks have changed.
func (c *Core) availabilityChanged() {
	c.availabilityDirty = true
	c.scheduleDue = true
}

// AvailableTargets returns the targets that may take tasks of others.
func (c *Core) AvailableTargets() []AvailableTarget {
	available := make([]AvailableTarget, 0, len(c.targets))
	for _, id := range sortedKeys(c.targets) {
		t := c.targets[id]
		if !c.draining && t.usable(c.now) {
			available = append(available, AvailableTarget{
				Target: id, Service: t.Service, Labels: t.Labels, Free: t.offered(c.now), Suspect: t.health.suspect(c.now),
				HasSuspect: t.hasSuspect(), Idle: len(t.runs) == 0, Cold: t.cold(c.now), Address: t.Address, BootUnixMS: t.BootUnixMS,
				SpeedPermille: speedPermille(t.speed.class),
			})
		}
	}
	return available
}

// StoredJobs returns the IDs of the stored jobs here.
func (c *Core) StoredJobs() []string {
	var ids []string
	for _, id := range sortedKeys(c.jobs) {
		if c.jobs[id].Stored {
			ids = append(ids, id)
		}
	}
	return ids
}

// HasJob reports whether a job is here.
func (c *Core) HasJob(id string) bool { return c.jobs[id] != nil }

// HomeConfirmed reports whether this coordinator has been confirmed as the home of
// its stored jobs within a time.
func (c *Core) HomeConfirmed(within time.Duration) bool {
	return c.logConfirmed && c.now-c.logConfirmedAt < within
}

// WaitingJobs returns the number of jobs without a started task, by queue.
func (c *Core) WaitingJobs() map[string]int64 {
	waiting := map[string]int64{}
	for _, j := range c.jobs {
		if j.waitsForStart() {
			waiting[j.Queue]++
		}
	}
	return waiting
}

// waitsForStart reports whether no task of the job has started. An order to start a
// task of a stored job may fail and leave the job waiting; one that is not stored
// counts as started with the first order, since its caller waits for the answer.
func (j *job) waitsForStart() bool {
	switch {
	case j.ending:
		return false
	case j.Stored:
		return !j.begun
	}
	return j.queued && !j.started
}

// Idle reports whether the core has neither jobs nor targets.
func (c *Core) Idle() bool { return len(c.jobs) == 0 && len(c.targets) == 0 }

// Status summarizes a core.
type Status struct {
	Jobs, Queued       int
	Targets, Usable    int
	Runs               int
	FreeCPUMillis      int64 // on usable targets
	Peers, PeerTargets int
	PeerFreeCPUMillis  int64
	Unserved           int // stored jobs whose service has no usable target
}

// Status returns a summary of the core.
func (c *Core) Status() Status {
	s := Status{Jobs: len(c.jobs), Queued: len(c.queue), Targets: len(c.targets), Peers: len(c.peers), Unserved: c.unserved}
	for _, t := range c.targets {
		s.Runs += len(t.runs)
		if t.usable(c.now) {
			s.Usable++
			s.FreeCPUMillis += t.free().CPUMillis
		}
	}
	for _, p := range c.peers {
		s.PeerTargets += len(p.targets)
		for i := range p.targets {
			s.PeerFreeCPUMillis += p.targets[i].Free.CPUMillis
		}
	}
	return s
}

func (c *Core) tick() {
	for _, id := range sortedKeys(c.targets) {
		t := c.targets[id]
		if c.now-t.heartbeatAt > heartbeatTimeout && len(t.runs) == 0 && t.poll == 0 {
			c.dropTarget(t, "no heartbeat", bootUncertain)
			continue
		}
		c.checkUnacked(t)
		c.checkUsable(t)
	}
	c.pollFences()
	c.suspendStored()
	if len(c.restored) > 0 && c.now >= c.adoptRestoredAt {
		c.adoptRestored()
	}
	c.expireQueue()
	c.expireJobs()
	c.removeReserved()
	c.expireHandOvers()
	c.expireReports()
	c.checkPeers()
	c.checkCrashes()
	c.evaluateSpeeds()
	c.updateScarce()
	c.checkUnserved()
	c.scheduleDue = true
	if c.draining {
		c.handOverTargets()
	}
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
