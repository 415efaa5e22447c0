package lease

import (
	"time"

	"hawthornshore.example/structs"
)

// Options configures a Core.
type Options struct {
	Instance string
	// Start is when the process started. Promises given before it are forgotten,
	// so that the instance does not settle until they have run out.
	Start time.Time
}

// Core holds the lease of one instance and the promises it gave.
type Core struct {
	opts Options
	now  time.Time

	view View
	// expiresAt is the end of the lease. It never moves back within the process.
	expiresAt time.Time
	confirmed bool   // the voters said so for the epoch of view
	renewals  uint64 // the voters' count at the last answer

	sequence         uint64
	rounds           []round
	renewAt          time.Time
	receivedPromises map[string]promise   // promises that others gave, by member
	givenPromises    map[string]time.Time // ends of the promises given to others
	leaving          *Leave
	left             bool
	reported         LeaseChanged
	effects          []Effect
}

// round is one attempt to renew the lease.
type round struct {
	sequence uint64
	sent     time.Time // taken before anything was sent
	epoch    uint64
}

// promise is the latest promise of one member.
type promise struct {
	incarnation string
	sent        time.Time // start of the round it answered
}

// New returns a core without members and without a lease.
func New(opts Options) *Core {
	return &Core{
		opts: opts,
		// Answers to an earlier process of the instance match no round.
		sequence:         uint64(opts.Start.UnixNano()),
		now:              opts.Start,
		renewAt:          opts.Start,
		receivedPromises: make(map[string]promise),
		givenPromises:    make(map[string]time.Time),
	}
}

// Step takes one event.
func (c *Core) Step(now time.Time, ev Event) {
	c.now = now
	switch e := ev.(type) {
	case ViewReceived:
		c.adoptView(e.View)
	case ProposalApplied:
		c.grantAnswered(e)
	case PromiseRequested:
		c.promiseRequested(e)
	case PromiseAnswered:
		c.promiseAnswered(e)
	case Leave:
		c.leave(e)
	case Tick:
	}
	if !c.renewAt.After(now) {
		c.renew()
	}
	c.report()
}

// Ready returns the effects since the last call, in order.
func (c *Core) Ready() []Effect {
	out := c.effects
	c.effects = nil
	return out
}

// NextWake returns when the next Tick is due.
func (c *Core) NextWake() (time.Time, bool) {
	if c.left {
		return time.Time{}, false
	}
	at := c.renewAt
	if c.reported.Held && c.expiresAt.Before(at) {
		at = c.expiresAt
	}
	return at, true
}

func (c *Core) emit(e Effect) { c.effects = append(c.effects, e) }

// held says whether the lease is held at a time. A wall clock that has moved on
// further than the monotonic one, as after a suspension of the machine, ends the
// lease as well.
func (c *Core) held(now time.Time) bool {
	return c.leaving == nil && now.Before(c.expiresAt) && now.Round(0).Before(c.expiresAt.Round(0))
}

// settled says whether this instance is bound by no promise to an instance
// that is not a member, and has been up long enough for those it forgot.
func (c *Core) settled() bool {
	if c.now.Sub(c.opts.Start) < ExpiryDelay {
		return false
	}
	for peer, end := range c.givenPromises {
		if c.now.Before(end) && !c.view.Has(peer) {
			return false
		}
	}
	return true
}

// adoptView adopts a newer view.
func (c *Core) adoptView(v View) {
	if v.Epoch <= c.view.Epoch {
		return
	}
	me, member := v.member(c.opts.Instance)
	rejoined := !member || me.Joined > c.view.Epoch
	c.view = v
	c.confirmed = false
	for peer := range c.receivedPromises {
		if !v.Has(peer) {
			delete(c.receivedPromises, peer)
		}
	}
	c.renewAt = c.now
	c.emit(MembersChanged{View: v, Rejoined: rejoined})
	c.checkLeaveCompleted()
}

// extend moves the end of the lease to one lease after a renewal began.
func (c *Core) extend(sent time.Time) {
	if end := sent.Add(structs.OwnerLease); end.After(c.expiresAt) {
		c.expiresAt = end
	}
}

// report emits LeaseChanged if anything in it has changed.
func (c *Core) report() {
	l := LeaseChanged{Held: c.held(c.now), Epoch: c.view.Epoch}
	if l.Held {
		l.Until = c.expiresAt
		l.Confirmed = c.confirmed && c.settled()
	}
	if l != c.reported {
		c.reported = l
		c.emit(l)
	}
}
