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
	// inputQueueSize is the number of events that may wait for the decision loop.
	inputQueueSize = 1 << 16
	// maxTimerWait is the longest pause of the decision loop without a timer event.
	maxTimerWait = time.Second
)

// input is one event for one of the cores, or a function to run in the loop.
type input struct {
	claims   claims.Event
	dispatch dispatch.Event
	lease    lease.Event
	inspect  func(*claims.Core, *dispatch.Core)
}

// effectHandler carries out what the cores decide. Its methods must not block.
type effectHandler interface {
	claimsEffect(now time.Time, effect claims.Effect)
	dispatchEffect(now time.Time, effect dispatch.Effect)
	leaseEffect(now time.Time, effect lease.Effect)
	// batchDone is called after each batch of events.
	batchDone(claimsCore *claims.Core, core *dispatch.Core)
}

// coreLoop owns the cores. The lease core is nil if ownership is fixed by the
// settings.
type coreLoop struct {
	claims   *claims.Core
	dispatch *dispatch.Core
	lease    *lease.Core
	in       *ring.Ring[input]
	handler  effectHandler
}

// post queues an event and waits while the ring is full.
func (d *coreLoop) post(ctx context.Context, in input) error {
	return d.in.PushWait(ctx, in)
}

// run steps the cores until ctx ends.
func (d *coreLoop) run(ctx context.Context) error {
	timer := time.NewTimer(maxTimerWait)
	defer timer.Stop()
	var batch []input
	for {
		select {
		case <-d.in.Ready():
		case <-timer.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		// Timers come first: after a pause of the process the lease may have
		// ended, and nothing that waits may be decided as if it were held.
		d.tick(time.Now())
		batch = d.in.PopAll(batch[:0])
		for i := range batch {
			d.step(time.Now(), batch[i])
			batch[i] = input{}
		}
		now := time.Now()
		d.tick(now)
		d.handler.batchDone(d.claims, d.dispatch)
		timer.Reset(d.untilNextTimer(now))
	}
}

func (d *coreLoop) step(now time.Time, in input) {
	if in.claims != nil {
		d.claims.Step(now, in.claims)
	}
	if in.dispatch != nil {
		d.dispatch.Step(now, in.dispatch)
	}
	if in.lease != nil && d.lease != nil {
		d.lease.Step(now, in.lease)
	}
	if in.inspect != nil {
		in.inspect(d.claims, d.dispatch)
	}
	d.processEffects(now)
}

// tick steps the cores whose timers are due.
func (d *coreLoop) tick(now time.Time) {
	if d.lease != nil {
		if wake, ok := d.lease.NextWake(); ok && !wake.After(now) {
			d.lease.Step(now, lease.Tick{})
			d.processEffects(now)
		}
	}
	if wake, ok := d.claims.NextWake(); ok && !wake.After(now) {
		d.claims.Step(now, claims.Tick{})
	}
	if wake, ok := d.dispatch.NextWake(); ok && !wake.After(now) {
		d.dispatch.Step(now, dispatch.Tick{})
	}
	d.processEffects(now)
}

// processEffects hands effects between the cores until neither has any left.
func (d *coreLoop) processEffects(now time.Time) {
	for {
		fromLease := d.leaseReady()
		for _, effect := range fromLease {
			d.leaseEffect(now, effect)
		}
		fromClaims := d.claims.Ready()
		for _, effect := range fromClaims {
			d.claimsEffect(now, effect)
		}
		fromDispatch := d.dispatch.Ready()
		for _, effect := range fromDispatch {
			d.dispatchEffect(now, effect)
		}
		if len(fromLease) == 0 && len(fromClaims) == 0 && len(fromDispatch) == 0 {
			return
		}
	}
}

func (d *coreLoop) leaseReady() []lease.Effect {
	if d.lease == nil {
		return nil
	}
	return d.lease.Ready()
}

// leaseEffect passes changes of members and lease to the other cores before
// anything that follows from them is sent.
func (d *coreLoop) leaseEffect(now time.Time, effect lease.Effect) {
	switch e := effect.(type) {
	case lease.MembersChanged:
		d.claims.Step(now, claims.MembersChanged{
			Epoch:    e.View.Epoch,
			Members:  e.View.Names(),
			Rejoined: e.Rejoined,
			Left:     e.View.Left,
			Token:    e.View.Token,
		})
	case lease.LeaseChanged:
		d.claims.Step(now, claims.LeaseChanged{Held: e.Held, Until: e.Until, Epoch: e.Epoch, Confirmed: e.Confirmed})
		d.dispatch.Step(now, dispatch.LeaseChanged{Held: e.Held})
	}
	d.handler.leaseEffect(now, effect)
}

func (d *coreLoop) claimsEffect(now time.Time, effect claims.Effect) {
	switch e := effect.(type) {
	case claims.Admit:
		d.dispatch.Step(now, dispatch.AdmitJob{Job: e.Job})
	case claims.Release:
		d.dispatch.Step(now, dispatch.ReleaseJob{JobID: e.JobID})
	case claims.CancelJob:
		d.dispatch.Step(now, dispatch.CancelJob{JobID: e.JobID})
	default:
		d.handler.claimsEffect(now, effect)
	}
}

func (d *coreLoop) dispatchEffect(now time.Time, effect dispatch.Effect) {
	switch e := effect.(type) {
	case dispatch.JobAdmitted:
		d.claims.Step(now, claims.JobAdmitted{JobID: e.JobID})
	case dispatch.JobFinished:
		d.claims.Step(now, claims.JobFinished{Answer: e.Answer})
		d.handler.dispatchEffect(now, effect)
	default:
		d.handler.dispatchEffect(now, effect)
	}
}

// untilNextTimer returns the time until the next timer event, at most idleWake.
func (d *coreLoop) untilNextTimer(now time.Time) time.Duration {
	wait := maxTimerWait
	if wake, ok := d.claims.NextWake(); ok {
		wait = min(wait, wake.Sub(now))
	}
	if wake, ok := d.dispatch.NextWake(); ok {
		wait = min(wait, wake.Sub(now))
	}
	if d.lease != nil {
		if wake, ok := d.lease.NextWake(); ok {
			wait = min(wait, wake.Sub(now))
		}
	}
	return max(wait, 0)
}
