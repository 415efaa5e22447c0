package server

import (
	"context"
	"time"

	"hawthornshore.example/claims"
	"hawthornshore.example/claims/lease"
	"hawthornshore.example/dispatch"
	"hawthornshore.example/ring"
)

const (
	// inputQueueSize is the capacity of the queue of events for the core loop. While
	// it is full, HTTP handlers and the readers of the links block, so that heartbeats
	// of peers are processed late.
	inputQueueSize = 1 << 16
	// maxTimerWait bounds the time between two checks of the cores' timers.
	maxTimerWait = time.Second
)

// input is an event for one or more cores, or a function to run in the loop.
type input struct {
	claims   claims.Event
	dispatch dispatch.Event
	lease    lease.Event
	inspect  func(*claims.Core, *dispatch.Core)
}

// effectHandler executes the effects of the cores. Its methods must not block.
type effectHandler interface {
	claimsEffect(now time.Time, effect claims.Effect)
	dispatchEffect(now time.Time, effect dispatch.Effect)
	leaseEffect(now time.Time, effect lease.Effect)
	// afterPass is called after each pass of the loop.
	afterPass(claimsCore *claims.Core, dispatchCore *dispatch.Core)
}

// coreLoop owns the cores. The lease core is nil if no instance is a voter.
type coreLoop struct {
	claims   *claims.Core
	dispatch *dispatch.Core
	lease    *lease.Core
	queue    *ring.Ring[input]
	handler  effectHandler
}

// post queues an event and blocks while the queue is full.
func (l *coreLoop) post(ctx context.Context, in input) error {
	return l.queue.PushWait(ctx, in)
}

// run steps the cores until ctx ends.
func (l *coreLoop) run(ctx context.Context) error {
	timer := time.NewTimer(maxTimerWait)
	defer timer.Stop()
	var batch []input
	for {
		select {
		case <-l.queue.Ready():
		case <-timer.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		// Timers come first: after a pause of the process the lease may have
		// expired, and queued events must not be processed as if it were held.
		l.tick(time.Now())
		batch = l.queue.PopAll(batch[:0])
		for i := range batch {
			l.step(time.Now(), batch[i])
			batch[i] = input{}
		}
		now := time.Now()
		l.tick(now)
		l.handler.afterPass(l.claims, l.dispatch)
		timer.Reset(l.untilNextTimer(now))
	}
}

func (l *coreLoop) step(now time.Time, in input) {
	if in.claims != nil {
		l.claims.Step(now, in.claims)
	}
	if in.dispatch != nil {
		l.dispatch.Step(now, in.dispatch)
	}
	if in.lease != nil && l.lease != nil {
		l.lease.Step(now, in.lease)
	}
	if in.inspect != nil {
		in.inspect(l.claims, l.dispatch)
	}
	l.processEffects(now)
}

// tick sends a Tick to the cores whose timers are due.
func (l *coreLoop) tick(now time.Time) {
	if l.lease != nil {
		if due, ok := l.lease.NextWake(); ok && !due.After(now) {
			l.lease.Step(now, lease.Tick{})
			l.processEffects(now)
		}
	}
	if due, ok := l.claims.NextWake(); ok && !due.After(now) {
		l.claims.Step(now, claims.Tick{})
	}
	if due, ok := l.dispatch.NextWake(); ok && !due.After(now) {
		l.dispatch.Step(now, dispatch.Tick{})
	}
	l.processEffects(now)
}

// processEffects processes effects until no core has any left.
func (l *coreLoop) processEffects(now time.Time) {
	for {
		fromLease := l.takeLeaseEffects()
		for _, effect := range fromLease {
			l.leaseEffect(now, effect)
		}
		fromClaims := l.claims.Ready()
		for _, effect := range fromClaims {
			l.claimsEffect(now, effect)
		}
		fromDispatch := l.dispatch.Ready()
		for _, effect := range fromDispatch {
			l.dispatchEffect(now, effect)
		}
		if len(fromLease) == 0 && len(fromClaims) == 0 && len(fromDispatch) == 0 {
			return
		}
	}
}

// takeLeaseEffects returns and removes the pending effects of the lease core.
func (l *coreLoop) takeLeaseEffects() []lease.Effect {
	if l.lease == nil {
		return nil
	}
	return l.lease.Ready()
}

// leaseEffect passes changes of members and lease to the other cores before it
// executes the effect.
func (l *coreLoop) leaseEffect(now time.Time, effect lease.Effect) {
	switch e := effect.(type) {
	case lease.MembersChanged:
		l.claims.Step(now, claims.MembersChanged{
			Epoch:                 e.View.Epoch,
			Members:               e.View.Names(),
			MembershipInterrupted: e.MembershipInterrupted,
			Left:                  e.View.Left,
			Token:                 e.View.Token,
		})
	case lease.LeaseChanged:
		l.claims.Step(now, claims.LeaseChanged{Held: e.Held, Until: e.Until, Epoch: e.Epoch, Confirmed: e.Confirmed})
		l.dispatch.Step(now, dispatch.LeaseChanged{Held: e.Held})
	}
	l.handler.leaseEffect(now, effect)
}

func (l *coreLoop) claimsEffect(now time.Time, effect claims.Effect) {
	switch e := effect.(type) {
	case claims.Admit:
		l.dispatch.Step(now, dispatch.AdmitJob{Job: e.Job})
	case claims.Release:
		l.dispatch.Step(now, dispatch.ReleaseJob{JobID: e.JobID})
	case claims.CancelJob:
		l.dispatch.Step(now, dispatch.CancelJob{JobID: e.JobID})
	default:
		l.handler.claimsEffect(now, effect)
	}
}

func (l *coreLoop) dispatchEffect(now time.Time, effect dispatch.Effect) {
	switch e := effect.(type) {
	case dispatch.JobAdmitted:
		l.claims.Step(now, claims.JobAdmitted{JobID: e.JobID})
	case dispatch.JobFinished:
		l.claims.Step(now, claims.JobFinished{Answer: e.Answer})
		l.handler.dispatchEffect(now, effect)
	default:
		l.handler.dispatchEffect(now, effect)
	}
}

// untilNextTimer returns the time until the next timer, at most maxTimerWait.
func (l *coreLoop) untilNextTimer(now time.Time) time.Duration {
	wait := maxTimerWait
	if due, ok := l.claims.NextWake(); ok {
		wait = min(wait, due.Sub(now))
	}
	if due, ok := l.dispatch.NextWake(); ok {
		wait = min(wait, due.Sub(now))
	}
	if l.lease != nil {
		if due, ok := l.lease.NextWake(); ok {
			wait = min(wait, due.Sub(now))
		}
	}
	return max(wait, 0)
}
