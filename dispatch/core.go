package dispatch

import (
	"math/rand/v2"
	"time"

	"hawthornshore.example/structs"
)

// housekeepingInterval is how often the core samples demand, refreshes learned
// statistics and retries deferred jobs.
const housekeepingInterval = 100 * time.Millisecond

// Core holds the jobs this instance owns and the targets it manages. It is not
// safe for concurrent use.
type Core struct {
	opts             Options
	rng              *rand.Rand
	base             time.Time     // time of the first step
	now              time.Duration // time of the current step since base
	timers           timerHeap
	housekeeping     timer
	lastHousekeeping time.Duration
	// lastTargetUsable is the last housekeeping at which a target was usable, 0
	// if there was none.
	lastTargetUsable time.Duration
	effects          []Effect
	spare            []Effect // the buffer returned by the last Ready

	config               structs.SystemConfig
	classes              map[string]*class
	ranked               []*class // by rank, then name
	tenants              map[string]*tenant
	jobs                 map[structs.JobID]*job
	fleet                fleet
	peers                []*peer
	openIncomingRequests int // unanswered requests of peers
	lent                 int // slots of managed targets lent to peers
	// borrowed is the number of live attempts on loans.
	borrowed    int
	peerBalance float64 // slots borrowed or offered by peers, less those lent, smoothed

	// Early-binding policies only.
	unbound      []attemptRef // waiting tasks without a target
	dirtyTargets []*target    // targets to check for bound tasks that can start

	leaseHeld bool
	draining  bool
	sequence  time.Duration // number of released jobs
	saturated bool          // work still waited for slots after the last step
}

// New returns a core without targets, jobs, configuration or lease.
func New(opts Options) *Core {
	if opts.Policy == "" {
		opts.Policy = PolicyHawthorn
	}
	c := &Core{
		opts:    opts,
		rng:     rand.New(rand.NewPCG(opts.Seed, 0)),
		classes: make(map[string]*class),
		tenants: make(map[string]*tenant),
		jobs:    make(map[structs.JobID]*job),
	}
	c.fleet.init()
	c.housekeeping.fire = (*Core).housekeep
	return c
}

// Step processes one event at time now. Times must not decrease.
func (c *Core) Step(now time.Time, ev Event) {
	c.advance(now)
	for t := c.timers.popDue(c.now); t != nil; t = c.timers.popDue(c.now) {
		t.fire(c)
	}
	c.handle(ev)
	c.startTasks()
}

func (c *Core) advance(now time.Time) {
	if c.base.IsZero() {
		c.base = now
		c.timers.set(&c.housekeeping, housekeepingInterval)
	}
	c.now = max(c.now, now.Sub(c.base))
}

func (c *Core) handle(ev Event) {
	switch e := ev.(type) {
	case ConfigChanged:
		c.configChanged(e.Config)
	case TargetAnnounced:
		c.targetAnnounced(&e.Announcement)
	case TargetReassigned:
		c.targetReassigned(e.TargetID)
	case AdmitJob:
		c.admitJob(&e.Job)
	case ReleaseJob:
		c.releaseJob(e.JobID)
	case CancelJob:
		c.cancelJob(e.JobID)
	case LeaseChanged:
		c.leaseHeld = e.Held
	case Drain:
		c.draining = true
	case AttemptAccepted:
		c.attemptAccepted(e.Attempt)
	case AttemptDone:
		c.attemptDone(&e)
	case AttemptFailed:
		c.attemptFailed(&e)
	case AttemptRefused:
		c.attemptRefused(&e)
	case AttemptUnresponsive:
		c.attemptUnresponsive(e.Attempt)
	case AttemptUnresolved:
		c.attemptUnresolved(e.Attempt)
	case PeerCapacityUpdated:
		c.peerCapacityUpdated(&e)
	case PeerLost:
		c.peerLost(e.Peer)
	case SlotsRequested:
		c.slotsRequested(&e)
	case SlotsGranted:
		c.slotsGranted(&e)
	case SlotReturned:
		c.slotReturned(&e)
	}
}

// Ready returns and clears the pending effects. The slice is valid until the
// call of Ready after the next.
func (c *Core) Ready() []Effect {
	out := c.effects
	clear(c.spare[:cap(c.spare)])
	c.effects = c.spare[:0]
	c.spare = out
	return out
}

// NextWake returns when a Tick is due; ok is false before the first step.
func (c *Core) NextWake() (at time.Time, ok bool) {
	if len(c.timers) == 0 {
		return time.Time{}, false
	}
	return c.base.Add(c.timers[0].at), true
}

func (c *Core) emit(e Effect) { c.effects = append(c.effects, e) }

// sinceBase converts an absolute time to core time.
func (c *Core) sinceBase(t time.Time) time.Duration { return t.Sub(c.base) }

// housekeep updates learned statistics, retry deferrals and probes.
func (c *Core) housekeep() {
	interval := c.now - c.lastHousekeeping
	c.lastHousekeeping = c.now
	c.timers.set(&c.housekeeping, c.now+housekeepingInterval)
	c.updatePeerBalance(interval)
	if c.anyTarget() {
		c.lastTargetUsable = c.now
	}
	for _, cl := range c.ranked {
		if !c.saturated {
			cl.baseline.addSample(cl.usage, cl.running, interval)
		}
		cl.baseline.updateOffered(c.expectedSlots(), interval)
		cl.baseline.refresh(cl.spec.SharePercent, c.fleet.total)
		cl.runtimes.refresh(c.now)
		c.resumeDeferred(cl)
	}
	c.scheduleProbes()
	c.bindUnbound()
}
