package dispatch_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"hawthornshore.example/dispatch"
	"hawthornshore.example/structs"
)

// world is a model of targets and transports around some cores. It keeps the
// start records of the targets, which the cores' outcomes are checked against.
type world struct {
	rng      *rand.Rand
	now      time.Time
	cores    []*dispatch.Core
	lease    []bool
	targets  []*modelTarget
	jobs     map[structs.JobID]*modelJob
	order    []*modelJob
	pending  pendingHeap
	seq      int
	faults   bool
	problems []string
}

type modelTarget struct {
	id, incarnation string
	generation      int
	manager         int // index of the core
	state           structs.TargetState
	silentUntil     time.Time // neither answers nor announces itself before
	slots           int
	failing         bool
	running         map[structs.AttemptID]bool
	ended           map[structs.AttemptID]bool // attempt and whether it failed
	tombstones      map[structs.AttemptID]bool
	lastSeen        time.Time // last announcement that a core got
	leftAt          time.Time
}

type modelJob struct {
	spec     structs.Job
	core     int
	released bool
	answers  []structs.Answer
	answered time.Time
	starts   []int           // attempts that a target began, per task
	open     map[string]bool // attempts sent and not proven unstarted
}

type pendingItem struct {
	at  time.Time
	seq int
	run func()
}

type pendingHeap []pendingItem

func (h pendingHeap) Len() int { return len(h) }
func (h pendingHeap) Less(i, j int) bool {
	return h[i].at.Before(h[j].at) || h[i].at.Equal(h[j].at) && h[i].seq < h[j].seq
}
func (h pendingHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *pendingHeap) Push(x any)   { *h = append(*h, x.(pendingItem)) }
func (h *pendingHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

func (w *world) later(d time.Duration, run func()) {
	w.seq++
	heap.Push(&w.pending, pendingItem{at: w.now.Add(d), seq: w.seq, run: run})
}

func (w *world) chance(p float64) bool { return w.faults && w.rng.Float64() < p }

func (w *world) delay() time.Duration { return time.Duration(200+w.rng.IntN(2000)) * time.Microsecond }

func (w *world) problem(format string, args ...any) {
	w.problems = append(w.problems, fmt.Sprintf(format, args...))
}

// step hands an event to a core and carries out its effects.
func (w *world) step(i int, ev dispatch.Event) {
	w.cores[i].Step(w.now, ev)
	for _, e := range w.cores[i].Ready() {
		w.effect(i, e)
	}
}

// next runs the next pending item or core timer and reports the new time.
func (w *world) next() {
	wake, who := w.now.Add(time.Hour), -1
	for i, c := range w.cores {
		if at, ok := c.NextWake(); ok && at.Before(wake) {
			wake, who = at, i
		}
	}
	if len(w.pending) > 0 && !wake.Before(w.pending[0].at) {
		item := heap.Pop(&w.pending).(pendingItem)
		w.now = item.at
		item.run()
		return
	}
	if wake.After(w.now) {
		w.now = wake
	}
	w.step(who, dispatch.Tick{})
}

func (w *world) effect(i int, e dispatch.Effect) {
	switch e := e.(type) {
	case dispatch.JobAdmitted:
		w.later(w.delay(), func() {
			w.jobs[e.JobID].released = true
			w.step(i, dispatch.ReleaseJob(e))
		})
	case dispatch.JobFinished:
		j := w.jobs[e.Answer.JobID]
		j.answers = append(j.answers, e.Answer)
		j.answered = w.now
	case dispatch.StartAttempt:
		w.checkStart(i, &e)
		w.send(i, e.Attempt, e.Target)
	case dispatch.ResolveAttempt:
		w.resolve(i, e)
	case dispatch.CancelAttempt:
		w.later(w.delay(), func() {
			if t := w.target(e.Target); t != nil && t.running[e.Attempt] {
				t.end(e.Attempt, true)
			}
		})
	case dispatch.RequestSlots:
		w.later(w.delay(), func() {
			w.step(w.index(e.Peer), dispatch.SlotsRequested{Peer: w.name(i), Class: e.Class, Count: e.Count})
		})
	case dispatch.GrantSlots:
		w.later(w.delay(), func() {
			w.step(w.index(e.Peer), dispatch.SlotsGranted{Peer: w.name(i), Class: e.Class, Slots: e.Slots})
		})
	case dispatch.ReturnSlot:
		w.later(w.delay(), func() {
			w.step(w.index(e.Peer), dispatch.SlotReturned{
				Peer: w.name(i), TargetID: e.TargetID, Failed: e.Failed, RunMS: e.RunMS, Class: e.Class,
			})
		})
	}
}

func (w *world) name(i int) string { return fmt.Sprintf("i%d", i) }

func (w *world) index(name string) int { return int(name[1] - '0') }

// checkStart checks what must hold whenever a core sends a start.
func (w *world) checkStart(i int, e *dispatch.StartAttempt) {
	j := w.jobs[e.Attempt.Job]
	if len(j.answers) > 0 {
		w.problem("start %s after the answer", e.Attempt)
	}
	if !j.released {
		w.problem("start %s before the release", e.Attempt)
	}
	if !w.lease[i] {
		w.problem("start %s without the lease", e.Attempt)
	}
	for number := 1; number < e.Attempt.Number; number++ {
		if j.open[key(e.Attempt.Task, number)] {
			w.problem("start %s while attempt %d may have started", e.Attempt, number)
		}
	}
	j.open[key(e.Attempt.Task, e.Attempt.Number)] = true
	for _, t := range w.targets {
		if t.id != e.Target.TargetID {
			continue
		}
		if w.now.Sub(t.lastSeen) > structs.TargetTimeout+structs.SlotLease {
			w.problem("start %s on the silent target %s", e.Attempt, t.id)
		}
		if t.state == structs.TargetLeaving && w.now.Sub(t.leftAt) > structs.TargetTimeout {
			w.problem("start %s on the leaving target %s", e.Attempt, t.id)
		}
	}
}

func key(task, number int) string { return fmt.Sprintf("%d.%d", task, number) }

func (w *world) target(ref structs.TargetRef) *modelTarget {
	for _, t := range w.targets {
		if t.id == ref.TargetID && t.incarnation == ref.Incarnation && !w.now.Before(t.silentUntil) {
			return t
		}
	}
	return nil
}

// send delivers a start, or loses it, and reports back once.
func (w *world) send(i int, id structs.AttemptID, ref structs.TargetRef) {
	if w.chance(0.02) {
		w.later(w.delay(), func() { w.refuse(i, id, dispatch.RefusedNotSent, true) })
		return
	}
	lostReply := w.chance(0.03)
	travel := w.delay()
	if w.chance(0.03) {
		travel = time.Duration(w.rng.IntN(600)) * time.Millisecond // may arrive after the tombstone
	}
	silent := false
	heard := false
	w.later(structs.StartAckTimeout, func() {
		if !heard {
			silent = true
			w.step(i, dispatch.AttemptUnresponsive{Attempt: id})
		}
	})
	w.later(travel, func() {
		cause, accepted := w.arrive(id, ref)
		if lostReply || silent || !accepted && cause == "" {
			return
		}
		w.later(w.delay(), func() {
			if silent {
				return
			}
			heard = true
			if !accepted {
				w.refuse(i, id, cause, true)
				return
			}
			w.step(i, dispatch.AttemptAccepted{Attempt: id})
			w.watch(i, id, ref, true, w.now.Add(time.Hour))
		})
	})
}

// arrive lets the target decide on a start. An empty cause without acceptance
// means that nothing answers.
func (w *world) arrive(id structs.AttemptID, ref structs.TargetRef) (cause dispatch.RefusalCause, accepted bool) {
	t := w.target(ref)
	if t == nil {
		for _, other := range w.targets {
			if other.id == ref.TargetID && !w.now.Before(other.silentUntil) {
				return dispatch.RefusedIncarnation, false
			}
		}
		return "", false
	}
	switch {
	case t.tombstones[id]:
		return dispatch.RefusedTombstone, false
	case t.state == structs.TargetLeaving:
		return dispatch.RefusedLeaving, false
	case len(t.running) >= t.slots:
		return dispatch.RefusedBusy, false
	}
	t.running[id] = true
	w.jobs[id.Job].starts[id.Task]++
	generation := t.generation
	failed := w.chance(0.02) || t.failing
	w.later(time.Duration(20+w.rng.IntN(200))*time.Millisecond, func() {
		if t.generation == generation && t.running[id] {
			t.end(id, failed)
		}
	})
	return "", true
}

func (t *modelTarget) end(id structs.AttemptID, failed bool) {
	delete(t.running, id)
	t.ended[id] = failed
}

// watch reports the end of an accepted attempt, or its silence.
func (w *world) watch(i int, id structs.AttemptID, ref structs.TargetRef, stream bool, giveUp time.Time) {
	w.later(5*time.Millisecond, func() {
		t := w.target(ref)
		broken := t == nil || stream && w.chance(0.001)
		if stream && broken {
			w.step(i, dispatch.AttemptUnresponsive{Attempt: id})
			return
		}
		if !stream && w.now.After(giveUp) {
			w.step(i, dispatch.AttemptUnresolved{Attempt: id})
			return
		}
		if t != nil {
			if failed, ended := t.ended[id]; ended {
				w.report(i, id, failed)
				return
			}
		}
		w.watch(i, id, ref, stream, giveUp)
	})
}

func (w *world) report(i int, id structs.AttemptID, failed bool) {
	if failed {
		w.step(i, dispatch.AttemptFailed{Attempt: id, Message: "failed", RunMS: 100})
		return
	}
	w.step(i, dispatch.AttemptDone{Attempt: id, RunMS: 100})
}

// refuse reports a refusal; proof says whether it proves that the attempt has
// not started and never will.
func (w *world) refuse(i int, id structs.AttemptID, cause dispatch.RefusalCause, proof bool) {
	if proof {
		delete(w.jobs[id.Job].open, key(id.Task, id.Number))
	}
	w.step(i, dispatch.AttemptRefused{Attempt: id, Cause: cause})
}

// resolve asks the target about a silent attempt with a tombstone.
func (w *world) resolve(i int, e dispatch.ResolveAttempt) {
	w.later(w.delay(), func() {
		t := w.target(e.Target)
		switch {
		case t == nil && w.now.After(e.Deadline):
			w.step(i, dispatch.AttemptUnresolved{Attempt: e.Attempt})
		case t == nil:
			for _, other := range w.targets {
				if other.id == e.Target.TargetID && other.incarnation != e.Target.Incarnation {
					w.refuse(i, e.Attempt, dispatch.RefusedIncarnation, false)
					return
				}
			}
			w.later(50*time.Millisecond, func() { w.resolve(i, e) })
		case !t.running[e.Attempt] && !hasKey(t.ended, e.Attempt):
			t.tombstones[e.Attempt] = true
			w.refuse(i, e.Attempt, dispatch.RefusedTombstone, true)
		default:
			w.watch(i, e.Attempt, e.Target, false, e.Deadline)
		}
	})
}

func hasKey(m map[structs.AttemptID]bool, id structs.AttemptID) bool {
	_, ok := m[id]
	return ok
}
