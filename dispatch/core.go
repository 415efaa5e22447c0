package dispatch

import (
	"math/rand/v2"
	"time"

	"hawthornshore.example/structs"
)

// housekeepingInterval is how often the core samples demand, refreshes learned
// figures and reconsiders parked work.
const housekeepingInterval = 100 * time.Millisecond

// Core holds the jobs this instance owns and the targets it manages. It is not
// safe for concurrent use.
type Core struct {
	opts   Options
	rng    *rand.Rand
	base   time.Time     // time of the first step
	now    time.Duration // time of the current step since base
	timers timerHeap
	house  timer
	// housekept is the time of the last housekeeping.
	housekept time.Duration
	// targetsSeen is the last housekeeping at which a target was usable, 0 if
	// there was none.
	targetsSeen time.Duration
	effects     []Effect
	spare       []Effect // the buffer handed out by the last Ready

	config  structs.SystemConfig
	classes map[string]*class
	ranked  []*class // by rank, then name
	tenants map[string]*tenant
	jobs    map[structs.JobID]*job
	fleet   fleet
	peers   []*peer
	asks    int // requests of peers that wait for an answer
	lent    int // slots of managed targets that peers hold
	// borrowed is the number of attempts that run on loans.
	borrowed  int
	exchanged float64 // slots borrowed and offered less lent, smoothed

	// Early-binding policies only.
	unbound []attemptRef // waiting tasks without a target
	touched []*target    // targets that may be able to start a bound task

	leaseHeld bool
	draining  bool
	sequence  time.Duration // counts released jobs
	saturated bool          // work waits for slots since the last step
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
	c.house.fire = (*Core).housekeep
	return c
}

// Step takes one event that happens at now. Times must not decrease.
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
		c.timers.set(&c.house, housekeepingInterval)
	}
	c.now = max(c.now, now.Sub(c.base))
}

func (c *Core) handle(ev Event) {
	switch e := ev.(type) {
	case ConfigChanged:
		c.configChanged(e.Config)
	case TargetAnnounced:
		c.targetSeen(&e.Announcement)
	case TargetReassigned:
		c.targetReleased(e.TargetID)
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
		c.attemptSilent(e.Attempt)
	case AttemptUnresolved:
		c.attemptUnresolved(e.Attempt)
	case PeerCapacityUpdated:
		c.peerSlots(&e)
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

// since converts a time of day to the core's time line.
func (c *Core) since(t time.Time) time.Duration { return t.Sub(c.base) }

// housekeep refreshes what is learned and what waits for time to pass.
func (c *Core) housekeep() {
	interval := c.now - c.housekept
	c.housekept = c.now
	c.timers.set(&c.house, c.now+housekeepingInterval)
	c.smoothExchange(interval)
	if c.anyTarget() {
		c.targetsSeen = c.now
	}
	for _, cl := range c.ranked {
		if !c.saturated {
			cl.baseline.learn(cl.usage, cl.running, interval)
		}
		cl.baseline.watch(c.capacity(), interval)
		cl.baseline.refresh(cl.spec.SharePercent, c.fleet.total)
		cl.runtimes.refresh(c.now)
		c.unpark(cl)
	}
	c.offerProbes()
	c.bindUnbound()
}
