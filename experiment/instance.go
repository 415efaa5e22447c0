package experiment

import (
	"time"

	"hawthornshore.example/dispatch"
	"hawthornshore.example/structs"
)

// instance drives the dispatch core of one entry instance.
type instance struct {
	name        string
	core        *dispatch.Core
	run         *run
	nextTick    time.Time // scheduled time; zero: none
	partitioned bool      // cannot reach its peers
}

// step passes an event to the core, applies its effects and schedules its next
// Tick.
func (i *instance) step(ev dispatch.Event) {
	now := i.run.now
	i.core.Step(now, ev)
	effects := i.core.Ready()
	if g, ok := ev.(dispatch.SlotsGranted); ok {
		i.run.result.Messages.countGrant(len(g.Slots))
	}
	for _, e := range effects {
		i.applyEffect(e)
	}
	next, ok := i.core.NextWake()
	if !ok || !i.nextTick.IsZero() && !i.nextTick.After(next) {
		return
	}
	i.nextTick = next
	i.run.scheduleAt(next, func() {
		if i.nextTick.Equal(next) {
			i.nextTick = time.Time{}
			i.step(dispatch.Tick{})
		}
	})
}

func (i *instance) applyEffect(e dispatch.Effect) {
	r := i.run
	switch e := e.(type) {
	case dispatch.JobAdmitted:
		// The claim is copied to the backup: one round trip.
		r.scheduleAfter(2*r.scenario.Workload.LinkLatency, func() { i.step(dispatch.ReleaseJob(e)) })
	case dispatch.JobFinished:
		r.deliverAnswer(&e.Answer)
	case dispatch.StartAttempt:
		r.result.Messages.Starts++
		i.sendStart(&e)
	case dispatch.ResolveAttempt:
		r.result.Messages.addWasted(1) // the query
		r.scheduleAfter(r.linkLatency(), func() { i.resolve(&e) })
	case dispatch.CancelAttempt:
		r.scheduleAfter(r.linkLatency(), func() { r.cancelAttempt(e.Attempt, e.Target) })
	case dispatch.RequestSlots:
		i.send(e.Peer, dispatch.SlotsRequested{
			Peer: i.name, Class: e.Class, Count: e.Count, MinCores: e.MinCores, MinMB: e.MinMB, Waited: e.Waited,
		})
		r.result.Messages.Requests++
	case dispatch.GrantSlots:
		i.send(e.Peer, dispatch.SlotsGranted{Peer: i.name, Class: e.Class, Slots: e.Slots})
	case dispatch.ReturnSlot:
		i.send(e.Peer, dispatch.SlotReturned{
			Peer: i.name, TargetID: e.TargetID, Failed: e.Failed, RunMS: e.RunMS, Busy: e.Busy, Class: e.Class,
		})
		// A loan without a run time or a failure counts as unused.
		r.result.Messages.countReturn(e.RunMS == 0 && !e.Failed)
	case dispatch.TargetEjected:
		r.result.Ejections++
	}
}

// send delivers an event to a peer unless either of them is partitioned.
func (i *instance) send(peer string, ev dispatch.Event) {
	to := i.run.instances[peer]
	i.run.scheduleAfter(i.run.linkLatency(), func() {
		if !i.partitioned && !to.partitioned {
			to.step(ev)
		}
	})
}

// startTimeout is how long after its arrival a start to an unresponsive target is
// reported as unresponsive.
const startTimeout = structs.StartAckTimeout

// sendStart sends a start to its target and delivers the target's reports to the
// instance as events.
func (i *instance) sendStart(e *dispatch.StartAttempt) {
	r := i.run
	t := r.targets[e.Target.TargetID]
	r.scheduleAfter(r.linkLatency(), func() {
		switch {
		case t.unresponsive:
			r.scheduleAfter(startTimeout, func() { i.step(dispatch.AttemptUnresponsive{Attempt: e.Attempt}) })
			return
		case t.connectionsRefused:
			i.reportRefusal(e.Attempt, dispatch.RefusedNotSent)
			return
		}
		if cause := t.refusalCause(e); cause != "" {
			i.reportRefusal(e.Attempt, cause)
			return
		}
		r.runAttempt(i, t, e)
	})
}

func (i *instance) reportRefusal(id structs.AttemptID, cause dispatch.RefusalCause) {
	i.run.result.Messages.Refused++
	i.run.result.Messages.addWasted(2) // the start or query, and its refusal
	i.run.scheduleAfter(i.run.linkLatency(), func() { i.step(dispatch.AttemptRefused{Attempt: id, Cause: cause}) })
}

// runAttempt runs an attempt in a slot of the target and reports to i, the owner of
// the job.
func (r *run) runAttempt(i *instance, t *modelTarget, e *dispatch.StartAttempt) {
	incarnationNumber := t.incarnationNumber
	t.running++
	job := r.jobs[e.Attempt.Job]
	r.countStart(job, e.Attempt)
	state := &attemptState{runTime: time.Duration(float64(job.runTimes[e.Attempt.Task]) * t.slowdown), failed: t.failing}
	if t.failing {
		state.runTime = failAfter
	}
	t.attempts[e.Attempt] = state
	r.scheduleAfter(r.linkLatency(), func() { i.step(dispatch.AttemptAccepted{Attempt: e.Attempt}) })
	r.scheduleAfter(state.runTime, func() {
		if t.incarnationNumber != incarnationNumber || state.ended {
			return
		}
		state.ended = true
		t.running--
		if !t.up() {
			return
		}
		r.scheduleAfter(r.linkLatency(), func() { i.reportEnd(e.Attempt, state) })
	})
	r.watchAttempt(i, t, e.Attempt, incarnationNumber, state)
}

// failAfter is how long a failing target takes to fail a task.
const failAfter = 5 * time.Millisecond

// watchAttempt reports an accepted attempt as unresponsive if its target is down or
// has restarted, once the time of three running reports has passed.
func (r *run) watchAttempt(i *instance, t *modelTarget, id structs.AttemptID, incarnationNumber int, state *attemptState) {
	r.scheduleAfter(3*structs.RunningInterval, func() {
		if t.up() && t.incarnationNumber == incarnationNumber {
			if !state.ended {
				r.watchAttempt(i, t, id, incarnationNumber, state)
			}
			return
		}
		i.step(dispatch.AttemptUnresponsive{Attempt: id})
	})
}

func (i *instance) reportEnd(id structs.AttemptID, s *attemptState) {
	if s.failed {
		i.step(dispatch.AttemptFailed{Attempt: id, Message: "failed", RunMS: s.runTime.Milliseconds()})
		return
	}
	i.step(dispatch.AttemptDone{Attempt: id, RunMS: s.runTime.Milliseconds()})
}

// resolvePollInterval is the interval between queries for an unresponsive attempt.
const resolvePollInterval = 100 * time.Millisecond

// resolve queries a target for the state of an unresponsive attempt.
func (i *instance) resolve(e *dispatch.ResolveAttempt) {
	r := i.run
	t := r.targets[e.Target.TargetID]
	state := t.attempts[e.Attempt]
	switch {
	case t.up() && t.incarnation() != e.Target.Incarnation:
		i.reportRefusal(e.Attempt, dispatch.RefusedIncarnation)
	case t.up() && state == nil:
		t.tombstones[e.Attempt] = true
		i.reportRefusal(e.Attempt, dispatch.RefusedTombstone)
	case t.up() && state.ended:
		r.scheduleAfter(r.linkLatency(), func() { i.reportEnd(e.Attempt, state) })
	case r.now.After(e.Deadline):
		i.step(dispatch.AttemptUnresolved{Attempt: e.Attempt})
	default:
		r.scheduleAfter(resolvePollInterval, func() { i.resolve(e) })
	}
}
