package experiment

import (
	"time"

	"hawthornshore.example/dispatch"
	"hawthornshore.example/structs"
)

// node drives the dispatch core of one entry instance.
type node struct {
	name        string
	core        *dispatch.Core
	run         *run
	nextTick    time.Time // scheduled time; zero: none
	partitioned bool      // cannot reach its peers
}

// step passes an event to the core, applies its effects and schedules its next
// Tick.
func (n *node) step(ev dispatch.Event) {
	now := n.run.now
	n.core.Step(now, ev)
	effects := n.core.Ready()
	if g, ok := ev.(dispatch.SlotsGranted); ok {
		n.run.result.Messages.countGrant(len(g.Slots))
	}
	for _, e := range effects {
		n.applyEffect(e)
	}
	next, ok := n.core.NextWake()
	if !ok || !n.nextTick.IsZero() && !n.nextTick.After(next) {
		return
	}
	n.nextTick = next
	n.run.at(next, func() {
		if n.nextTick.Equal(next) {
			n.nextTick = time.Time{}
			n.step(dispatch.Tick{})
		}
	})
}

func (n *node) applyEffect(e dispatch.Effect) {
	r := n.run
	switch e := e.(type) {
	case dispatch.JobAdmitted:
		// The claim is copied to the backup: one round trip.
		r.after(2*r.scenario.Workload.LinkLatency, func() { n.step(dispatch.ReleaseJob(e)) })
	case dispatch.JobFinished:
		r.deliverAnswer(&e.Answer)
	case dispatch.StartAttempt:
		r.result.Messages.Starts++
		n.sendStart(&e)
	case dispatch.ResolveAttempt:
		r.result.Messages.addWasted(1)
		r.after(r.linkLatency(), func() { n.resolve(&e) })
	case dispatch.CancelAttempt:
		r.after(r.linkLatency(), func() { r.cancelAttempt(e.Attempt, e.Target) })
	case dispatch.RequestSlots:
		n.send(e.Peer, dispatch.SlotsRequested{
			Peer: n.name, Class: e.Class, Count: e.Count, MinCores: e.MinCores, MinMB: e.MinMB, Waited: e.Waited,
		})
		r.result.Messages.Requests++
	case dispatch.GrantSlots:
		n.send(e.Peer, dispatch.SlotsGranted{Peer: n.name, Class: e.Class, Slots: e.Slots})
	case dispatch.ReturnSlot:
		n.send(e.Peer, dispatch.SlotReturned{
			Peer: n.name, TargetID: e.TargetID, Failed: e.Failed, RunMS: e.RunMS, Busy: e.Busy, Class: e.Class,
		})
		r.result.Messages.countReturn(e.RunMS == 0 && !e.Failed)
	case dispatch.TargetEjected:
		r.result.Ejections++
	}
}

// send delivers an event to a peer unless either of them is partitioned.
func (n *node) send(peer string, ev dispatch.Event) {
	to := n.run.nodes[peer]
	n.run.after(n.run.linkLatency(), func() {
		if !n.partitioned && !to.partitioned {
			to.step(ev)
		}
	})
}

// startTimeout is how long it takes to detect that a start got no response.
const startTimeout = structs.StartAckTimeout

// sendStart sends a start to its target and returns the target's reports.
func (n *node) sendStart(e *dispatch.StartAttempt) {
	r := n.run
	t := r.targets[e.Target.TargetID]
	r.after(r.linkLatency(), func() {
		switch {
		case t.unresponsive:
			r.after(startTimeout, func() { n.step(dispatch.AttemptUnresponsive{Attempt: e.Attempt}) })
			return
		case t.refusing:
			n.reportRefusal(e.Attempt, dispatch.RefusedNotSent)
			return
		}
		if cause := t.refusalCause(e); cause != "" {
			n.reportRefusal(e.Attempt, cause)
			return
		}
		r.runAttempt(n, t, e)
	})
}

func (n *node) reportRefusal(id structs.AttemptID, cause dispatch.RefusalCause) {
	n.run.result.Messages.Refused++
	n.run.result.Messages.addWasted(2)
	n.run.after(n.run.linkLatency(), func() { n.step(dispatch.AttemptRefused{Attempt: id, Cause: cause}) })
}

// runAttempt runs an attempt in a slot of the target and reports to its owner.
func (r *run) runAttempt(n *node, t *modelTarget, e *dispatch.StartAttempt) {
	generation := t.generation
	t.running++
	a := r.jobs[e.Attempt.Job]
	r.countStart(a, e.Attempt)
	state := &attemptState{runTime: time.Duration(float64(a.runTimes[e.Attempt.Task]) * t.slowdown), failed: t.failing}
	if t.failing {
		state.runTime = failAfter
	}
	t.attempts[e.Attempt] = state
	r.after(r.linkLatency(), func() { n.step(dispatch.AttemptAccepted{Attempt: e.Attempt}) })
	r.after(state.runTime, func() {
		if t.generation != generation || state.ended {
			return
		}
		state.ended = true
		t.running--
		if !t.up() {
			return
		}
		r.after(r.linkLatency(), func() { n.reportEnd(e.Attempt, state) })
	})
	r.watchAttempt(n, t, e.Attempt, generation, state)
}

// failAfter is how long a failing target takes to fail a task.
const failAfter = 5 * time.Millisecond

// watchAttempt reports an accepted attempt as unresponsive if its target has failed.
func (r *run) watchAttempt(n *node, t *modelTarget, id structs.AttemptID, generation int, state *attemptState) {
	r.after(3*structs.RunningInterval, func() {
		if t.up() && t.generation == generation {
			if !state.ended {
				r.watchAttempt(n, t, id, generation, state)
			}
			return
		}
		n.step(dispatch.AttemptUnresponsive{Attempt: id})
	})
}

func (n *node) reportEnd(id structs.AttemptID, s *attemptState) {
	if s.failed {
		n.step(dispatch.AttemptFailed{Attempt: id, Message: "failed", RunMS: s.runTime.Milliseconds()})
		return
	}
	n.step(dispatch.AttemptDone{Attempt: id, RunMS: s.runTime.Milliseconds()})
}

// resolvePollInterval is the interval between queries for an unresponsive attempt.
const resolvePollInterval = 100 * time.Millisecond

// resolve queries a target for the state of an unresponsive attempt.
func (n *node) resolve(e *dispatch.ResolveAttempt) {
	r := n.run
	t := r.targets[e.Target.TargetID]
	state := t.attempts[e.Attempt]
	switch {
	case t.up() && t.incarnation() != e.Target.Incarnation:
		n.reportRefusal(e.Attempt, dispatch.RefusedIncarnation)
	case t.up() && state == nil:
		t.tombstones[e.Attempt] = true
		n.reportRefusal(e.Attempt, dispatch.RefusedTombstone)
	case t.up() && state.ended:
		r.after(r.linkLatency(), func() { n.reportEnd(e.Attempt, state) })
	case r.now.After(e.Deadline):
		n.step(dispatch.AttemptUnresolved{Attempt: e.Attempt})
	default:
		r.after(resolvePollInterval, func() { n.resolve(e) })
	}
}
