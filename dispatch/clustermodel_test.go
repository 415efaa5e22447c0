package dispatch_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"hawthornshore.example/dispatch"
	"hawthornshore.example/structs"
)

// clusterModel simulates the targets and transports of some cores. It keeps the
// targets' start records, which the cores' outcomes are checked against.
type clusterModel struct {
	rng       *rand.Rand
	now       time.Time
	cores     []*dispatch.Core
	lease     []bool
	targets   []*modelTarget
	jobs      map[structs.JobID]*modelJob
	submitted []*modelJob
	pending   pendingHeap
	seq       int
	faults    bool
	problems  []string
}

type modelTarget struct {
	id, incarnation   string
	generation        int
	manager           int // index of the core
	state             structs.TargetState
	unresponsiveUntil time.Time // no replies or announcements before
	slots             int
	failing           bool
	running           map[structs.AttemptID]bool
	ended             map[structs.AttemptID]bool // attempt and whether it failed
	tombstones        map[structs.AttemptID]bool
	lastAnnounced     time.Time // last announcement sent to a core
	leftAt            time.Time
}

type modelJob struct {
	spec         structs.Job
	core         int
	released     bool
	answers      []structs.Answer
	answered     time.Time
	starts       []int           // attempts that a target started, per task
	maybeStarted map[string]bool // attempts that were sent and may have started
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

func (m *clusterModel) schedule(d time.Duration, run func()) {
	m.seq++
	heap.Push(&m.pending, pendingItem{at: m.now.Add(d), seq: m.seq, run: run})
}

func (m *clusterModel) chance(p float64) bool { return m.faults && m.rng.Float64() < p }

func (m *clusterModel) delay() time.Duration {
	return time.Duration(200+m.rng.IntN(2000)) * time.Microsecond
}

func (m *clusterModel) problem(format string, args ...any) {
	m.problems = append(m.problems, fmt.Sprintf(format, args...))
}

// step passes an event to a core and executes the effects.
func (m *clusterModel) step(i int, ev dispatch.Event) {
	m.cores[i].Step(m.now, ev)
	for _, e := range m.cores[i].Ready() {
		m.effect(i, e)
	}
}

// next advances time to the next pending item or core timer and runs it.
func (m *clusterModel) next() {
	wake, core := m.now.Add(time.Hour), -1
	for i, c := range m.cores {
		if at, ok := c.NextWake(); ok && at.Before(wake) {
			wake, core = at, i
		}
	}
	if len(m.pending) > 0 && !wake.Before(m.pending[0].at) {
		item := heap.Pop(&m.pending).(pendingItem)
		m.now = item.at
		item.run()
		return
	}
	if wake.After(m.now) {
		m.now = wake
	}
	m.step(core, dispatch.Tick{})
}

func (m *clusterModel) effect(i int, e dispatch.Effect) {
	switch e := e.(type) {
	case dispatch.JobAdmitted:
		m.schedule(m.delay(), func() {
			m.jobs[e.JobID].released = true
			m.step(i, dispatch.ReleaseJob(e))
		})
	case dispatch.JobFinished:
		j := m.jobs[e.Answer.JobID]
		j.answers = append(j.answers, e.Answer)
		j.answered = m.now
	case dispatch.StartAttempt:
		m.checkStart(i, &e)
		m.send(i, e.Attempt, e.Target)
	case dispatch.ResolveAttempt:
		m.resolve(i, e)
	case dispatch.CancelAttempt:
		m.schedule(m.delay(), func() {
			if t := m.target(e.Target); t != nil && t.running[e.Attempt] {
				t.end(e.Attempt, true)
			}
		})
	case dispatch.RequestSlots:
		m.schedule(m.delay(), func() {
			m.step(m.index(e.Peer), dispatch.SlotsRequested{Peer: m.name(i), Class: e.Class, Count: e.Count})
		})
	case dispatch.GrantSlots:
		m.schedule(m.delay(), func() {
			m.step(m.index(e.Peer), dispatch.SlotsGranted{Peer: m.name(i), Class: e.Class, Slots: e.Slots})
		})
	case dispatch.ReturnSlot:
		m.schedule(m.delay(), func() {
			m.step(m.index(e.Peer), dispatch.SlotReturned{
				Peer: m.name(i), TargetID: e.TargetID, Failed: e.Failed, RunMS: e.RunMS, Class: e.Class,
			})
		})
	}
}

func (m *clusterModel) name(i int) string { return fmt.Sprintf("i%d", i) }

func (m *clusterModel) index(name string) int { return int(name[1] - '0') }

// checkStart checks the invariants of a start.
func (m *clusterModel) checkStart(i int, e *dispatch.StartAttempt) {
	j := m.jobs[e.Attempt.Job]
	if len(j.answers) > 0 {
		m.problem("start %s after the answer", e.Attempt)
	}
	if !j.released {
		m.problem("start %s before the release", e.Attempt)
	}
	if !m.lease[i] {
		m.problem("start %s without the lease", e.Attempt)
	}
	for number := 1; number < e.Attempt.Number; number++ {
		if j.maybeStarted[attemptKey(e.Attempt.Task, number)] {
			m.problem("start %s while attempt %d may have started", e.Attempt, number)
		}
	}
	j.maybeStarted[attemptKey(e.Attempt.Task, e.Attempt.Number)] = true
	for _, t := range m.targets {
		if t.id != e.Target.TargetID {
			continue
		}
		if m.now.Sub(t.lastAnnounced) > structs.TargetTimeout+structs.SlotLease {
			m.problem("start %s on the unresponsive target %s", e.Attempt, t.id)
		}
		if t.state == structs.TargetLeaving && m.now.Sub(t.leftAt) > structs.TargetTimeout {
			m.problem("start %s on the leaving target %s", e.Attempt, t.id)
		}
	}
}

func attemptKey(task, number int) string { return fmt.Sprintf("%d.%d", task, number) }

func (m *clusterModel) target(ref structs.TargetRef) *modelTarget {
	for _, t := range m.targets {
		if t.id == ref.TargetID && t.incarnation == ref.Incarnation && !m.now.Before(t.unresponsiveUntil) {
			return t
		}
	}
	return nil
}

// send delivers or loses a start and reports the result once.
func (m *clusterModel) send(i int, id structs.AttemptID, ref structs.TargetRef) {
	if m.chance(0.02) {
		m.schedule(m.delay(), func() { m.attemptRefused(i, id, dispatch.RefusedNotSent, true) })
		return
	}
	lostReply := m.chance(0.03)
	latency := m.delay()
	if m.chance(0.03) {
		latency = time.Duration(m.rng.IntN(600)) * time.Millisecond // may arrive after the tombstone
	}
	timedOut := false
	replied := false
	m.schedule(structs.StartAckTimeout, func() {
		if !replied {
			timedOut = true
			m.step(i, dispatch.AttemptUnresponsive{Attempt: id})
		}
	})
	m.schedule(latency, func() {
		cause, accepted := m.receiveStart(id, ref)
		if lostReply || timedOut || !accepted && cause == "" {
			return
		}
		m.schedule(m.delay(), func() {
			if timedOut {
				return
			}
			replied = true
			if !accepted {
				m.attemptRefused(i, id, cause, true)
				return
			}
			m.step(i, dispatch.AttemptAccepted{Attempt: id})
			m.watch(i, id, ref, true, m.now.Add(time.Hour))
		})
	})
}

// receiveStart accepts or refuses a start at its target. An empty cause without
// acceptance means that there is no reply.
func (m *clusterModel) receiveStart(id structs.AttemptID, ref structs.TargetRef) (cause dispatch.RefusalCause, accepted bool) {
	t := m.target(ref)
	if t == nil {
		for _, other := range m.targets {
			if other.id == ref.TargetID && !m.now.Before(other.unresponsiveUntil) {
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
	m.jobs[id.Job].starts[id.Task]++
	generation := t.generation
	failed := m.chance(0.02) || t.failing
	m.schedule(time.Duration(20+m.rng.IntN(200))*time.Millisecond, func() {
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

// watch polls an attempt until it ends. With an open stream, a loss of contact makes
// it unresponsive; without one, it is unresolved after the deadline.
func (m *clusterModel) watch(i int, id structs.AttemptID, ref structs.TargetRef, streamOpen bool, deadline time.Time) {
	m.schedule(5*time.Millisecond, func() {
		t := m.target(ref)
		broken := t == nil || streamOpen && m.chance(0.001)
		if streamOpen && broken {
			m.step(i, dispatch.AttemptUnresponsive{Attempt: id})
			return
		}
		if !streamOpen && m.now.After(deadline) {
			m.step(i, dispatch.AttemptUnresolved{Attempt: id})
			return
		}
		if t != nil {
			if failed, ended := t.ended[id]; ended {
				m.report(i, id, failed)
				return
			}
		}
		m.watch(i, id, ref, streamOpen, deadline)
	})
}

func (m *clusterModel) report(i int, id structs.AttemptID, failed bool) {
	if failed {
		m.step(i, dispatch.AttemptFailed{Attempt: id, Message: "failed", RunMS: 100})
		return
	}
	m.step(i, dispatch.AttemptDone{Attempt: id, RunMS: 100})
}

// attemptRefused passes a refusal to the core. With neverStarted, the refusal proves
// that the attempt has not started and never will.
func (m *clusterModel) attemptRefused(i int, id structs.AttemptID, cause dispatch.RefusalCause, neverStarted bool) {
	if neverStarted {
		delete(m.jobs[id.Job].maybeStarted, attemptKey(id.Task, id.Number))
	}
	m.step(i, dispatch.AttemptRefused{Attempt: id, Cause: cause})
}

// resolve queries the target of an unresponsive attempt and places a tombstone.
func (m *clusterModel) resolve(i int, e dispatch.ResolveAttempt) {
	m.schedule(m.delay(), func() {
		t := m.target(e.Target)
		switch {
		case t == nil && m.now.After(e.Deadline):
			m.step(i, dispatch.AttemptUnresolved{Attempt: e.Attempt})
		case t == nil:
			for _, other := range m.targets {
				if other.id == e.Target.TargetID && other.incarnation != e.Target.Incarnation {
					m.attemptRefused(i, e.Attempt, dispatch.RefusedIncarnation, false)
					return
				}
			}
			m.schedule(50*time.Millisecond, func() { m.resolve(i, e) })
		case !t.running[e.Attempt] && !hasKey(t.ended, e.Attempt):
			t.tombstones[e.Attempt] = true
			m.attemptRefused(i, e.Attempt, dispatch.RefusedTombstone, true)
		default:
			m.watch(i, e.Attempt, e.Target, false, e.Deadline)
		}
	})
}

func hasKey(m map[structs.AttemptID]bool, id structs.AttemptID) bool {
	_, ok := m[id]
	return ok
}
