package experiment

import (
	"time"

	"hawthornshore.example/dispatch"
	"hawthornshore.example/structs"
)

// node drives the core of one entry instance.
type node struct {
	name string
	core *dispatch.Core
	run  *run
	wake time.Time // planned Tick
	cut  bool      // does not reach its peers
}

// step hands an event to the core, carries out its effects and plans its next
// Tick.
func (n *node) step(ev dispatch.Event) {
	now := n.run.now
	n.core.Step(now, ev)
	effects := n.core.Ready()
	if g, ok := ev.(dispatch.SlotsGranted); ok {
		n.run.result.Messages.granted(len(g.Slots))
	}
	for _, e := range effects {
		n.effect(e)
	}
	next, ok := n.core.NextWake()
	if !ok || !n.wake.IsZero() && !n.wake.After(next) {
		return
	}
	n.wake = next
	n.run.at(next, func() {
		if n.wake.Equal(next) {
			n.wake = time.Time{}
			n.step(dispatch.Tick{})
		}
	})
}

func (n *node) effect(e dispatch.Effect) {
	r := n.run
	switch e := e.(type) {
	case dispatch.JobAdmitted:
		// The claim is copied to the backup: one round trip.
		r.after(2*r.scenario.Workload.LinkLatency, func() { n.step(dispatch.ReleaseJob(e)) })
	case dispatch.JobFinished:
		r.finished(&e.Answer)
	case dispatch.StartAttempt:
		r.result.Messages.Starts++
		n.start(&e)
	case dispatch.ResolveAttempt:
		r.result.Messages.wasted(1)
		r.after(r.link(), func() { n.resolve(&e) })
	case dispatch.CancelAttempt:
		r.after(r.link(), func() { r.cancelAttempt(e.Attempt, e.Target) })
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
		r.result.Messages.returned(e.RunMS == 0 && !e.Failed)
	case dispatch.TargetEjected:
		r.result.Ejections++
	}
}

// send delivers an event to a peer unless the link is cut.
func (n *node) send(peer string, ev dispatch.Event) {
	to := n.run.nodes[peer]
	n.run.after(n.run.link(), func() {
		if !n.cut && !to.cut {
			to.step(ev)
		}
	})
}

// connectTimeout is how long a start to a dead target takes to be noticed.
const connectTimeout = structs.StartAckTimeout

// start carries a start to its target and the target's reports back.
func (n *node) start(e *dispatch.StartAttempt) {
	r := n.run
	t := r.targets[e.Target.TargetID]
	r.after(r.link(), func() {
		switch {
		case t.dead:
			r.after(connectTimeout, func() { n.step(dispatch.AttemptUnresponsive{Attempt: e.Attempt}) })
			return
		case t.refusing:
			n.refused(e.Attempt, dispatch.RefusedNotSent)
			return
		}
		if cause := t.decide(e); cause != "" {
			n.refused(e.Attempt, cause)
			return
		}
		r.begin(n, t, e)
	})
}

func (n *node) refused(id structs.AttemptID, cause dispatch.RefusalCause) {
	n.run.result.Messages.Refused++
	n.run.result.Messages.wasted(2)
	n.run.after(n.run.link(), func() { n.step(dispatch.AttemptRefused{Attempt: id, Cause: cause}) })
}

// begin runs an attempt in a slot of the target and reports to its owner.
func (r *run) begin(n *node, t *modelTarget, e *dispatch.StartAttempt) {
	generation := t.generation
	t.running++
	a := r.arrivals[e.Attempt.Job]
	r.recordStart(a, e.Attempt)
	state := &attemptState{run: time.Duration(float64(a.runs[e.Attempt.Task]) * t.slowness), failed: t.failing}
	if t.failing {
		state.run = failAfter
	}
	t.known[e.Attempt] = state
	r.after(r.link(), func() { n.step(dispatch.AttemptAccepted{Attempt: e.Attempt}) })
	r.after(state.run, func() {
		if t.generation != generation || state.ended {
			return
		}
		state.ended = true
		t.running--
		if !t.up() {
			return
		}
		r.after(r.link(), func() { n.report(e.Attempt, state) })
	})
	r.watch(n, t, e.Attempt, generation, state)
}

// failAfter is how long a failing target takes to fail a task.
const failAfter = 5 * time.Millisecond

// watch reports an accepted attempt as silent when its target died.
func (r *run) watch(n *node, t *modelTarget, id structs.AttemptID, generation int, state *attemptState) {
	r.after(3*structs.RunningInterval, func() {
		if t.up() && t.generation == generation {
			if !state.ended {
				r.watch(n, t, id, generation, state)
			}
			return
		}
		n.step(dispatch.AttemptUnresponsive{Attempt: id})
	})
}

func (n *node) report(id structs.AttemptID, s *attemptState) {
	if s.failed {
		n.step(dispatch.AttemptFailed{Attempt: id, Message: "failed", RunMS: s.run.Milliseconds()})
		return
	}
	n.step(dispatch.AttemptDone{Attempt: id, RunMS: s.run.Milliseconds()})
}

// resolvePoll is how often a target is asked again about a running attempt.
const resolvePoll = 100 * time.Millisecond

// resolve asks a target about a silent attempt.
func (n *node) resolve(e *dispatch.ResolveAttempt) {
	r := n.run
	t := r.targets[e.Target.TargetID]
	state := t.known[e.Attempt]
	switch {
	case t.up() && t.incarnation() != e.Target.Incarnation:
		n.refused(e.Attempt, dispatch.RefusedIncarnation)
	case t.up() && state == nil:
		t.tombstones[e.Attempt] = true
		n.refused(e.Attempt, dispatch.RefusedTombstone)
	case t.up() && state.ended:
		r.after(r.link(), func() { n.report(e.Attempt, state) })
	case r.now.After(e.Deadline):
		n.step(dispatch.AttemptUnresolved{Attempt: e.Attempt})
	default:
		r.after(resolvePoll, func() { n.resolve(e) })
	}
}
