package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornshore.example/dispatch"
	"hawthornshore.example/structs"
)

const (
	randomSeeds = 25
	randomJobs  = 400
	// maxModelSlots is the most slots of a model target.
	maxModelSlots = 4
)

func newWorld(seed uint64, instances, targets int, policy dispatch.Policy) *world {
	w := &world{
		rng: rand.New(rand.NewPCG(seed, 1)), now: start, faults: true,
		jobs: make(map[structs.JobID]*modelJob), lease: make([]bool, instances),
	}
	for i := range instances {
		w.cores = append(w.cores, dispatch.New(dispatch.Options{Instance: w.name(i), Seed: seed, Policy: policy}))
		w.step(i, dispatch.ConfigChanged{Config: structs.SystemConfig{
			Version: 1,
			Classes: map[string]structs.Class{"a": {Rank: 0, MaxQueue: 300}, "b": {Rank: 1, SharePercent: 20, MaxQueue: 300}},
			Tenants: map[string]structs.Tenant{"t1": {Weight: 1}, "t2": {Weight: 3}, "t3": {QuotaSlots: 3}},
		}})
		w.lease[i] = true
		w.step(i, dispatch.LeaseChanged{Held: true})
	}
	for n := range targets {
		t := &modelTarget{id: fmt.Sprintf("w%d", n), manager: n % instances, slots: 1 + n%maxModelSlots, state: structs.TargetReady, failing: n == 1}
		t.restart()
		w.targets = append(w.targets, t)
		w.announce(t)
	}
	w.advertise()
	return w
}

func (t *modelTarget) restart() {
	t.generation++
	t.incarnation = fmt.Sprint(t.generation)
	t.running = make(map[structs.AttemptID]bool)
	t.ended = make(map[structs.AttemptID]bool)
	t.tombstones = make(map[structs.AttemptID]bool)
}

// announce repeats the target's announcement to its manager.
func (w *world) announce(t *modelTarget) {
	if !w.now.Before(t.silentUntil) {
		a := announcement(t.id, t.incarnation, t.slots)
		a.State, a.Running = t.state, len(t.running)
		t.lastSeen = w.now
		w.step(t.manager, dispatch.TargetAnnounced{Announcement: a})
	}
	w.later(structs.TargetHeartbeatInterval, func() { w.announce(t) })
}

// advertise tells the cores about each other's slots.
func (w *world) advertise() {
	for i, c := range w.cores {
		for k := range w.cores {
			if o := c.Capacity(); k != i {
				w.step(k, dispatch.PeerCapacityUpdated{Peer: w.name(i), Free: o.Free, Total: o.Total, Targets: o.Targets, Ejected: o.Ejected})
			}
		}
	}
	w.later(structs.LinkHeartbeatInterval, w.advertise)
}

func (w *world) submit(n int) {
	i := w.rng.IntN(len(w.cores))
	j := &modelJob{core: i, open: make(map[string]bool)}
	j.spec = structs.Job{
		ID:     structs.JobIDAt(w.now, uint64(n)),
		Tenant: []string{"t1", "t2", "t3"}[w.rng.IntN(3)], Class: []string{"a", "b"}[w.rng.IntN(2)],
		DeadlineUnixMS: w.now.Add(time.Duration(300+w.rng.IntN(3000)) * time.Millisecond).UnixMilli(),
	}
	for range 1 + w.rng.IntN(6) {
		j.spec.Tasks = append(j.spec.Tasks, structs.Task{DeclaredMS: int64(w.rng.IntN(300))})
		j.starts = append(j.starts, 0)
	}
	w.jobs[j.spec.ID] = j
	w.order = append(w.order, j)
	w.step(i, dispatch.AdmitJob{Job: j.spec})
	if w.chance(0.1) {
		w.later(time.Duration(w.rng.IntN(300))*time.Millisecond, func() { w.step(i, dispatch.CancelJob{JobID: j.spec.ID}) })
	}
}

// disturb injects one random fault.
func (w *world) disturb() {
	t := w.targets[w.rng.IntN(len(w.targets))]
	i := w.rng.IntN(len(w.cores))
	switch w.rng.IntN(7) {
	case 0:
		t.restart()
	case 1:
		t.silentUntil = w.now.Add(time.Duration(w.rng.IntN(5000)) * time.Millisecond)
	case 2:
		t.state, t.leftAt = structs.TargetLeaving, w.now
		w.later(4*time.Second, func() { t.state = structs.TargetReady })
	case 3:
		w.step(t.manager, dispatch.TargetReassigned{TargetID: t.id})
		t.manager = i
	case 4:
		w.lease[i] = false
		w.step(i, dispatch.LeaseChanged{Held: false})
		w.later(time.Duration(w.rng.IntN(1000))*time.Millisecond, func() {
			w.lease[i] = true
			w.step(i, dispatch.LeaseChanged{Held: true})
		})
	case 5:
		if len(w.cores) > 1 {
			w.step(i, dispatch.PeerLost{Peer: w.name((i + 1) % len(w.cores))})
		}
	case 6:
		t.failing = true
		w.later(2*time.Second, func() { t.failing = false })
	}
}

// verify checks the outcomes against the targets' start records.
func (w *world) verify() {
	for _, j := range w.order {
		started := 0
		for task, n := range j.starts {
			started += n
			if n > 1 {
				w.problem("task %s.%d started %d times", j.spec.ID, task, n)
			}
		}
		if len(j.answers) != 1 {
			w.problem("job %s has %d answers", j.spec.ID, len(j.answers))
			continue
		}
		a := j.answers[0]
		if j.answered.After(j.spec.Deadline()) {
			w.problem("job %s was answered after its deadline", j.spec.ID)
		}
		if a.Outcome == structs.OutcomeNotRun && started > 0 {
			w.problem("job %s is not-run (%s) and started %d tasks", j.spec.ID, a.Reason, started)
		}
		if a.Outcome == structs.OutcomeComplete && (started != len(j.starts) || len(a.Results) != len(j.starts)) {
			w.problem("job %s is complete with %d of %d tasks", j.spec.ID, started, len(j.starts))
		}
		if a.Outcome == structs.OutcomeFailed && started == 0 {
			w.problem("job %s failed without a start", j.spec.ID)
		}
	}
}

var _ = Describe("random schedules", func() {
	run := func(policy dispatch.Policy, instances int) {
		for seed := uint64(1); seed <= randomSeeds; seed++ {
			w := newWorld(seed, instances, 7, policy)
			for n := range randomJobs {
				for end := w.now.Add(time.Duration(w.rng.IntN(90)) * time.Millisecond); w.now.Before(end); {
					w.next()
				}
				w.submit(n)
				if w.rng.IntN(15) == 0 {
					w.disturb()
				}
			}
			w.faults = false
			for _, t := range w.targets {
				t.failing = false
			}
			for end := w.now.Add(20 * time.Second); w.now.Before(end); {
				w.next()
			}
			w.verify()
			Expect(w.problems).To(BeEmpty(), "policy %s, %d instances, seed %d", policy, instances, seed)
			complete := 0
			results := make(map[string]int)
			for _, j := range w.order {
				a := j.answers[0]
				results[string(a.Outcome)+" "+string(a.Reason)]++
				if a.Outcome == structs.OutcomeComplete {
					complete++
				}
			}
			GinkgoWriter.Printf("policy %s, %d instances, seed %d: %v\n", policy, instances, seed, results)
			Expect(complete).To(BeNumerically(">", randomJobs/4), "the schedule must leave work to check")
			for i, c := range w.cores {
				total := 0
				for _, t := range w.targets {
					if t.manager == i {
						total += t.slots
					}
				}
				o := c.Capacity()
				Expect(o.Free).To(BeNumerically("<=", total), "seed %d, instance %d: slots counted twice", seed, i)
				Expect(o.Free).To(BeNumerically(">=", o.Total), "seed %d, instance %d: slots leaked", seed, i)
				Expect(o.Total+maxModelSlots*o.Ejected).To(BeNumerically(">=", total), "seed %d, instance %d: targets lost for good", seed, i)
			}
		}
	}
	DescribeTable("keep the invariants against the targets' start records", run,
		Entry("one instance", dispatch.PolicyHawthorn, 1),
		Entry("three instances that borrow slots", dispatch.PolicyHawthorn, 3),
		Entry("random targets", dispatch.PolicyRandom, 1),
		Entry("less loaded of two targets", dispatch.PolicyTwoChoices, 1),
	)
})
