package experiment

import (
	"time"

	"hawthornshore.example/dispatch"
	"hawthornshore.example/structs"
)

// scheduleFault schedules a fault.
func (r *run) scheduleFault(f *Fault) {
	switch f.Kind {
	case FaultOverload:
		r.scheduleArrivals(f.Class, f.Factor, f.At, f)
		return
	case FaultResubmit:
		return // applied to each submission
	}
	r.scheduleAt(epoch.Add(f.At), func() {
		undo := r.inject(f)
		if f.Length > 0 && undo != nil {
			r.scheduleAfter(f.Length, undo)
		}
	})
}

// inject applies the fault and returns the function that ends it.
func (r *run) inject(f *Fault) (undo func()) {
	switch f.Kind {
	case FaultUnresponsive:
		return r.onTargets(f, func(t *modelTarget) { t.unresponsive = true }, func(t *modelTarget) {
			t.unresponsive = false
			t.restart()
		})
	case FaultRefuse:
		return r.onTargets(f, func(t *modelTarget) { t.connectionsRefused = true }, func(t *modelTarget) {
			t.connectionsRefused = false
			t.restart()
		})
	case FaultLeave:
		return r.onTargets(f, func(t *modelTarget) { t.leaving = true }, func(t *modelTarget) { t.leaving = false })
	case FaultSlow:
		return r.onTargets(f, func(t *modelTarget) { t.slowdown = f.Factor }, func(t *modelTarget) { t.slowdown = 1 })
	case FaultFail:
		return r.onTargets(f, func(t *modelTarget) { t.failing = true }, func(t *modelTarget) { t.failing = false })
	case FaultCancel:
		r.cancelJobs(f.Factor)
	case FaultLeaseLoss:
		i := r.instanceList[0]
		i.step(dispatch.LeaseChanged{Held: false})
		return func() { i.step(dispatch.LeaseChanged{Held: true}) }
	case FaultPeerLoss:
		return r.partitionInstances()
	}
	return nil
}

// onTargets applies a change to randomly chosen healthy targets.
func (r *run) onTargets(f *Fault, apply, revert func(*modelTarget)) (undo func()) {
	var chosen []*modelTarget
	for _, i := range r.rng.Perm(len(r.targetList)) {
		t := r.targetList[i]
		if len(chosen) < f.Count && t.up() && !t.leaving && !t.failing && t.slowdown == 1 {
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

// cancelJobs cancels a fraction of the unanswered jobs.
func (r *run) cancelJobs(fraction float64) {
	unanswered := r.inFlight[:0]
	for _, j := range r.inFlight {
		if !j.answered {
			unanswered = append(unanswered, j)
		}
	}
	r.inFlight = unanswered
	for _, j := range unanswered {
		if r.rng.Float64() < fraction {
			r.scheduleAfter(j.callerLatency, func() { j.owner.step(dispatch.CancelJob{JobID: j.job.ID}) })
		}
	}
}

// partitionInstances blocks the links between the instances; each detects it by missing heartbeats.
func (r *run) partitionInstances() (undo func()) {
	partitioned := true
	for _, i := range r.instanceList {
		i.partitioned = true
	}
	r.scheduleAfter(structs.LinkTimeout, func() {
		if !partitioned {
			return
		}
		for _, i := range r.instanceList {
			for _, other := range r.instanceList {
				if other != i {
					i.step(dispatch.PeerLost{Peer: other.name})
				}
			}
		}
	})
	return func() {
		partitioned = false
		for _, i := range r.instanceList {
			i.partitioned = false
		}
	}
}

// refusalTimeLimit is the time within which a job that cannot meet its
// deadline must be refused.
const refusalTimeLimit = 10 * time.Millisecond
