package experiment

import (
	"time"

	"hawthornshore.example/dispatch"
	"hawthornshore.example/structs"
)

// plan enters a fault into the timeline.
func (r *run) plan(f *Fault) {
	switch f.Kind {
	case FaultOverload:
		r.offer(f.Class, f.Factor, f.At, f)
		return
	case FaultResubmit:
		return // looked up with each submission
	}
	r.at(epoch.Add(f.At), func() {
		undo := r.inject(f)
		if f.Length > 0 && undo != nil {
			r.after(f.Length, undo)
		}
	})
}

// inject makes the fault happen and returns what ends it.
func (r *run) inject(f *Fault) (undo func()) {
	switch f.Kind {
	case FaultUnresponsive:
		return r.onTargets(f, func(t *modelTarget) { t.dead = true }, func(t *modelTarget) {
			t.dead = false
			t.restart()
		})
	case FaultRefuse:
		return r.onTargets(f, func(t *modelTarget) { t.refusing = true }, func(t *modelTarget) {
			t.refusing = false
			t.restart()
		})
	case FaultLeave:
		return r.onTargets(f, func(t *modelTarget) { t.leaving = true }, func(t *modelTarget) { t.leaving = false })
	case FaultSlow:
		return r.onTargets(f, func(t *modelTarget) { t.slowness = f.Factor }, func(t *modelTarget) { t.slowness = 1 })
	case FaultFail:
		return r.onTargets(f, func(t *modelTarget) { t.failing = true }, func(t *modelTarget) { t.failing = false })
	case FaultCancel:
		r.cancelWave(f.Factor)
	case FaultLeaseLoss:
		n := r.order[0]
		n.step(dispatch.LeaseChanged{Held: false})
		return func() { n.step(dispatch.LeaseChanged{Held: true}) }
	case FaultPeerLoss:
		return r.cutLinks()
	}
	return nil
}

// onTargets applies a change to randomly chosen healthy targets.
func (r *run) onTargets(f *Fault, apply, revert func(*modelTarget)) (undo func()) {
	var chosen []*modelTarget
	for _, i := range r.rng.Perm(len(r.fleet)) {
		t := r.fleet[i]
		if len(chosen) < f.Count && t.up() && !t.leaving && !t.failing && t.slowness == 1 {
			chosen = append(chosen, t)
		}
	}
	for _, t := range chosen {
		apply(t)
	}
	return func() {
		for _, t := range chosen {
			revert(t)
		}
	}
}

// cancelWave cancels a part of the unanswered jobs.
func (r *run) cancelWave(part float64) {
	open := r.inFlight[:0]
	for _, t := range r.inFlight {
		if !t.answered {
			open = append(open, t)
		}
	}
	r.inFlight = open
	for _, t := range open {
		if r.rng.Float64() < part {
			r.after(t.travel, func() { t.owner.step(dispatch.CancelJob{JobID: t.job.ID}) })
		}
	}
}

// cutLinks separates the instances; each notices it by the missing heartbeats.
func (r *run) cutLinks() (undo func()) {
	cut := true
	for _, n := range r.order {
		n.cut = true
	}
	r.after(structs.LinkTimeout, func() {
		if !cut {
			return
		}
		for _, n := range r.order {
			for _, other := range r.order {
				if other != n {
					n.step(dispatch.PeerLost{Peer: other.name})
				}
			}
		}
	})
	return func() {
		cut = false
		for _, n := range r.order {
			n.cut = false
		}
	}
}

// refusalLimit is the time within which a job that cannot meet its deadline
// must be refused.
const refusalLimit = 10 * time.Millisecond
