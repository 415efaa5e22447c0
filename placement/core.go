package placement

import (
	"hash/fnv"
	"slices"
	"time"
)

const (
	// tokenShift leaves the low bits of a fencing token to the coordinator, so
	// that two never choose the same one in the same millisecond.
	tokenShift = 10
	// tokenStep is added when a target says that a token is too low: 5 s, more
	// than clocks differ.
	tokenStep = 5000 << tokenShift
	// refShift leaves room for a thousand placements per millisecond of a process's life.
	refShift = 10
)

// Core is the placement state of one coordinator. It is owned by one goroutine.
type Core struct {
	options Options
	now     time.Duration
	began   time.Duration // first reading of the clock
	started bool

	targets     map[string]*target
	departed    map[string]int64 // boots that have deregistered, by target
	draining    map[string]int64 // boots that peers have said to be leaving, by target
	tokenOffset uint64

	orders    map[uint64]*order
	lastOrder uint64

	jobs    map[string]*job // by ID
	callers map[Caller]*job
	queue   []*job           // jobs with tasks that wait, in the order of service
	placed  map[uint64]*task // tasks with a placement, by ref
	lastRef uint64

	remembered []Description
	recallAt   time.Duration

	peers   map[string]*peer // that have told their room
	linked  map[string]bool
	reports map[string][]outgoing // by peer
	given   map[string][]givenTarget
	leaving bool

	confirmed   bool          // the log was read to its end once
	confirmedAt time.Duration // a time before the last such read
	suspended   bool          // the runs of stored jobs were told to stop since

	lastExpiry  time.Duration
	roomDirty   bool // free room has changed since the last Ready
	scheduleDue bool
	effects     []Effect
}

// New returns an empty core.
func New(options Options) *Core {
	hash := fnv.New32a()
	hash.Write([]byte(options.Name))
	return &Core{
		options:     options,
		targets:     map[string]*target{},
		departed:    map[string]int64{},
		draining:    map[string]int64{},
		tokenOffset: uint64(hash.Sum32() % (1 << tokenShift)),
		orders:      map[uint64]*order{},
		jobs:        map[string]*job{},
		callers:     map[Caller]*job{},
		placed:      map[uint64]*task{},
		peers:       map[string]*peer{},
		linked:      map[string]bool{},
		reports:     map[string][]outgoing{},
		given:       map[string][]givenTarget{},
	}
}

// Step takes one event. The time has to be steady.
func (c *Core) Step(now time.Duration, event Event) {
	if !c.started {
		c.began, c.started = now, true
		// Reports for an earlier process may still arrive, so no number is used again.
		c.lastRef = uint64(c.options.UnixMS) << refShift
	}
	c.now = now
	if name := sender(event); name != "" {
		c.linked[name] = true
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
		c.gatewayLost(e.Gateway)
	case Heartbeat:
		c.reported(e)
	case TargetDeregistered:
		c.left(e)
	case TargetDraining:
		c.drainNoticed(e)
	case OrderResponse:
		c.answered(e)
	case PeerAvailability:
		c.peerRoom(e)
	case PeerConnected:
		c.linked[e.Peer] = true
		c.roomChanged()
	case PeerDisconnected:
		c.peerLost(e.Peer)
	case PlacementsRequested:
		c.requested(e)
	case StopRequested:
		c.stopRequested(e)
	case PlacementsReported:
		c.placementsReported(e)
	case HandOverReceived:
		c.handedOver(e)
	case TargetsRestored:
		c.remembered, c.recallAt = e.Targets, now+recallDelay
	case ProcessPaused:
		c.interrupted()
	case StoredJobChanged:
		c.storedChanged(e)
	case LogReadConfirmed:
		c.homeConfirmed(e)
	case EndRecorded:
		c.endRecorded(e)
	case HandOverRequested:
		c.yield(e)
	case Drain:
		c.drain()
	}
}

// Ready returns the pending effects and clears them.
func (c *Core) Ready() []Effect {
	c.schedule()
	c.sendReports()
	if c.roomDirty {
		c.roomDirty = false
		c.emit(AvailabilityChanged{})
	}
	effects := c.effects
	c.effects = nil
	return effects
}

// Owns reports whether a target is owned here or about to be.
func (c *Core) Owns(id string) bool { return c.targets[id] != nil }

// Owned returns the targets that are owned here and do not leave.
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

func (c *Core) decide(d Decision) { c.emit(d) }

// roomChanged notes that free room or waiting tasks have changed.
func (c *Core) roomChanged() {
	c.roomDirty = true
	c.scheduleDue = true
}

// AvailableTargets returns the free room on the targets that may take tasks of others.
func (c *Core) AvailableTargets() []AvailableTarget {
	rooms := make([]AvailableTarget, 0, len(c.targets))
	for _, id := range sortedKeys(c.targets) {
		t := c.targets[id]
		if !c.leaving && t.usable(c.now) {
			rooms = append(rooms, AvailableTarget{
				Target: id, Service: t.Service, Labels: t.Labels, Free: t.free(), Suspect: t.health.suspect(c.now),
			})
		}
	}
	return rooms
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

// WaitingJobs returns the number of jobs that no task has started of, by queue.
func (c *Core) WaitingJobs() map[string]int64 {
	waiting := map[string]int64{}
	for _, j := range c.queue {
		if !j.started {
			waiting[j.Queue]++
		}
	}
	return waiting
}

// Idle reports whether nothing is left that this coordinator has to see to.
func (c *Core) Idle() bool { return len(c.jobs) == 0 && len(c.targets) == 0 }

// Status summarizes a core.
type Status struct {
	Jobs, Queued       int
	Targets, Usable    int
	Runs               int
	FreeCPUMillis      int64 // of processor time on usable targets
	Peers, PeerTargets int
	PeerFreeCPUMillis  int64
}

// Status returns a summary of the core.
func (c *Core) Status() Status {
	s := Status{Jobs: len(c.jobs), Queued: len(c.queue), Targets: len(c.targets), Peers: len(c.peers)}
	for _, t := range c.targets {
		s.Runs += len(t.runs)
		if t.usable(c.now) {
			s.Usable++
			s.FreeCPUMillis += t.free().CPUMillis
		}
	}
	for _, p := range c.peers {
		s.PeerTargets += len(p.rooms)
		for i := range p.rooms {
			s.PeerFreeCPUMillis += p.rooms[i].Free.CPUMillis
		}
	}
	return s
}

func (c *Core) tick() {
	for _, id := range sortedKeys(c.targets) {
		t := c.targets[id]
		if c.now-t.reported > reportTimeout && len(t.runs) == 0 && t.look == 0 {
			c.dropTarget(t, "no heartbeat", 0)
			continue
		}
		c.tendHeld(t)
	}
	c.suspendStored()
	if len(c.remembered) > 0 && c.now >= c.recallAt {
		c.recall()
	}
	c.expireQueue()
	c.expireJobs()
	c.forgetGiven()
	c.forgetReports()
	c.scheduleDue = true
	if c.leaving {
		c.giveTargetsAway()
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
