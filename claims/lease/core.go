package lease

import (
	"time"

	"hawthornshore.example/structs"
)

// Options configures a Core.
type Options struct {
	Instance string
	// Start is when the process started. Promises given before it are lost, so
	// that the instance is not settled until they must have expired.
	Start time.Time
}

// Core holds the lease of one instance and the promises it gave.
type Core struct {
	opts Options
	now  time.Time

	view View
	// expiresAt is the end of the lease. It never moves back within the process.
	expiresAt      time.Time
	epochConfirmed bool   // all members have settled in the epoch of view
	renewals       uint64 // of this instance that the voters applied, from the latest ProposalApplied

	sequence         uint64
	rounds           []round
	renewAt          time.Time
	receivedPromises map[string]promise   // latest promise of each member
	givenPromises    map[string]time.Time // ends of the promises given to others
	leaving          *Leave
	left             bool
	reported         LeaseChanged
	effects          []Effect
}

// round is one attempt to renew the lease.
type round struct {
	sequence uint64
	start    time.Time // read before anything is sent
	epoch    uint64
}

// promise is the latest promise of one member.
type promise struct {
	incarnation string
	roundStart  time.Time // start of the round that it extends
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

// Step processes one event.
func (c *Core) Step(now time.Time, ev Event) {
	c.now = now
	switch e := ev.(type) {
	case ViewReceived:
		c.adoptView(e.View)
	case ProposalApplied:
		c.proposalApplied(e)
	case PromiseRequestReceived:
		c.promiseRequestReceived(e)
	case PromiseReplyReceived:
		c.promiseReplyReceived(e)
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

// NextWake returns when the next Tick is due, or false if none is.
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

// held reports whether the lease is held at a time. The lease also ends when the
// wall clock has passed its end, as after a suspension of the machine, during which
// the monotonic clock may stand still.
func (c *Core) held(now time.Time) bool {
	return c.leaving == nil && now.Before(c.expiresAt) && now.Round(0).Before(c.expiresAt.Round(0))
}

// settled reports whether this instance is bound by no promise to an instance
// that is not a member. Those of an earlier process bind until ExpiryDelay after
// the start. Only a settled instance may use partitions gained in the epoch.
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
	self, member := v.member(c.opts.Instance)
	interrupted := !member || self.Joined > c.view.Epoch
	c.view = v
	c.epochConfirmed = false
	for peer := range c.receivedPromises {
		if !v.Has(peer) {
			delete(c.receivedPromises, peer)
		}
	}
	c.renewAt = c.now
	c.emit(MembersChanged{View: v, MembershipInterrupted: interrupted})
	c.checkLeaveCompleted()
}

// extend moves the end of the lease to structs.OwnerLease after the start of the
// renewal round. It never moves back.
func (c *Core) extend(roundStart time.Time) {
	if end := roundStart.Add(structs.OwnerLease); end.After(c.expiresAt) {
		c.expiresAt = end
	}
}

// report emits LeaseChanged if anything in it has changed.
func (c *Core) report() {
	l := LeaseChanged{Held: c.held(c.now), Epoch: c.view.Epoch}
	if l.Held {
		l.Until = c.expiresAt
		l.Confirmed = c.epochConfirmed && c.settled()
	}
	if l != c.reported {
		c.reported = l
		c.emit(l)
	}
}
