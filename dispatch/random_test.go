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
	// maxModelSlots is the maximum number of slots of a model target.
	maxModelSlots = 4
)

func newClusterModel(seed uint64, instances, targets int, policy dispatch.Policy) *clusterModel {
	m := &clusterModel{
		rng: rand.New(rand.NewPCG(seed, 1)), now: startTime, faults: true,
		jobs: make(map[structs.JobID]*modelJob), lease: make([]bool, instances),
	}
	for i := range instances {
		m.cores = append(m.cores, dispatch.New(dispatch.Options{Instance: m.name(i), Seed: seed, Policy: policy}))
		m.step(i, dispatch.ConfigChanged{Config: structs.SystemConfig{
			Version: 1,
			Classes: map[string]structs.Class{"a": {Rank: 0, MaxQueue: 300}, "b": {Rank: 1, SharePercent: 20, MaxQueue: 300}},
			Tenants: map[string]structs.Tenant{"t1": {Weight: 1}, "t2": {Weight: 3}, "t3": {QuotaSlots: 3}},
		}})
		m.lease[i] = true
		m.step(i, dispatch.LeaseChanged{Held: true})
	}
	for n := range targets {
		t := &modelTarget{id: fmt.Sprintf("w%d", n), manager: n % instances, slots: 1 + n%maxModelSlots, state: structs.TargetReady, failing: n == 1}
		t.restart()
		m.targets = append(m.targets, t)
		m.announce(t)
	}
	m.shareCapacity()
	return m
}

func (t *modelTarget) restart() {
	t.generation++
	t.incarnation = fmt.Sprint(t.generation)
	t.running = make(map[structs.AttemptID]bool)
	t.ended = make(map[structs.AttemptID]bool)
	t.tombstones = make(map[structs.AttemptID]bool)
}

// announce sends the target's announcements to its manager.
func (m *clusterModel) announce(t *modelTarget) {
	if !m.now.Before(t.unresponsiveUntil) {
		a := announcement(t.id, t.incarnation, t.slots)
		a.State, a.Running = t.state, len(t.running)
		t.lastAnnounced = m.now
		m.step(t.manager, dispatch.TargetAnnounced{Announcement: a})
	}
	m.schedule(structs.TargetHeartbeatInterval, func() { m.announce(t) })
}

// shareCapacity sends each core's capacity to the others.
func (m *clusterModel) shareCapacity() {
	for i, c := range m.cores {
		for k := range m.cores {
			if capacity := c.Capacity(); k != i {
				m.step(k, dispatch.PeerCapacityUpdated{Peer: m.name(i), Free: capacity.Free, Total: capacity.Total, Targets: capacity.Targets, Ejected: capacity.Ejected})
			}
		}
	}
	m.schedule(structs.LinkHeartbeatInterval, m.shareCapacity)
}

func (m *clusterModel) submit(n int) {
	i := m.rng.IntN(len(m.cores))
	j := &modelJob{core: i, maybeStarted: make(map[string]bool)}
	j.spec = structs.Job{
		ID:     structs.JobIDAt(m.now, uint64(n)),
		Tenant: []string{"t1", "t2", "t3"}[m.rng.IntN(3)], Class: []string{"a", "b"}[m.rng.IntN(2)],
		DeadlineUnixMS: m.now.Add(time.Duration(300+m.rng.IntN(3000)) * time.Millisecond).UnixMilli(),
	}
	for range 1 + m.rng.IntN(6) {
		j.spec.Tasks = append(j.spec.Tasks, structs.Task{DeclaredMS: int64(m.rng.IntN(300))})
		j.starts = append(j.starts, 0)
	}
	m.jobs[j.spec.ID] = j
	m.submitted = append(m.submitted, j)
	m.step(i, dispatch.AdmitJob{Job: j.spec})
	if m.chance(0.1) {
		m.schedule(time.Duration(m.rng.IntN(300))*time.Millisecond, func() { m.step(i, dispatch.CancelJob{JobID: j.spec.ID}) })
	}
}

// injectFault injects one random fault.
func (m *clusterModel) injectFault() {
	t := m.targets[m.rng.IntN(len(m.targets))]
	i := m.rng.IntN(len(m.cores))
	switch m.rng.IntN(7) {
	case 0:
		t.restart()
	case 1:
		t.unresponsiveUntil = m.now.Add(time.Duration(m.rng.IntN(5000)) * time.Millisecond)
	case 2:
		t.state, t.leftAt = structs.TargetLeaving, m.now
		m.schedule(4*time.Second, func() { t.state = structs.TargetReady })
	case 3:
		m.step(t.manager, dispatch.TargetReassigned{TargetID: t.id})
		t.manager = i
	case 4:
		m.lease[i] = false
		m.step(i, dispatch.LeaseChanged{Held: false})
		m.schedule(time.Duration(m.rng.IntN(1000))*time.Millisecond, func() {
			m.lease[i] = true
			m.step(i, dispatch.LeaseChanged{Held: true})
		})
	case 5:
		if len(m.cores) > 1 {
			m.step(i, dispatch.PeerLost{Peer: m.name((i + 1) % len(m.cores))})
		}
	case 6:
		t.failing = true
		m.schedule(2*time.Second, func() { t.failing = false })
	}
}

// verify checks the outcomes against the targets' start records.
func (m *clusterModel) verify() {
	for _, j := range m.submitted {
		started := 0
		for task, n := range j.starts {
			started += n
			if n > 1 {
				m.problem("task %s.%d started %d times", j.spec.ID, task, n)
			}
		}
		if len(j.answers) != 1 {
			m.problem("job %s has %d answers", j.spec.ID, len(j.answers))
			continue
		}
		a := j.answers[0]
		if j.answered.After(j.spec.Deadline()) {
			m.problem("job %s was answered after its deadline", j.spec.ID)
		}
		if a.Outcome == structs.OutcomeNotRun && started > 0 {
			m.problem("job %s is not-run (%s) and started %d tasks", j.spec.ID, a.Reason, started)
		}
		if a.Outcome == structs.OutcomeComplete && (started != len(j.starts) || len(a.Results) != len(j.starts)) {
			m.problem("job %s is complete with %d of %d tasks", j.spec.ID, started, len(j.starts))
		}
		if a.Outcome == structs.OutcomeFailed && started == 0 {
			m.problem("job %s failed without a start", j.spec.ID)
		}
	}
}

var _ = Describe("random schedules", func() {
	run := func(policy dispatch.Policy, instances int) {
		for seed := uint64(1); seed <= randomSeeds; seed++ {
			m := newClusterModel(seed, instances, 7, policy)
			for n := range randomJobs {
				for end := m.now.Add(time.Duration(m.rng.IntN(90)) * time.Millisecond); m.now.Before(end); {
					m.next()
				}
				m.submit(n)
				if m.rng.IntN(15) == 0 {
					m.injectFault()
				}
			}
			m.faults = false
			for _, t := range m.targets {
				t.failing = false
			}
			for end := m.now.Add(20 * time.Second); m.now.Before(end); {
				m.next()
			}
			m.verify()
			Expect(m.problems).To(BeEmpty(), "policy %s, %d instances, seed %d", policy, instances, seed)
			complete := 0
			results := make(map[string]int)
			for _, j := range m.submitted {
				a := j.answers[0]
				results[string(a.Outcome)+" "+string(a.Reason)]++
				if a.Outcome == structs.OutcomeComplete {
					complete++
				}
			}
			GinkgoWriter.Printf("policy %s, %d instances, seed %d: %v\n", policy, instances, seed, results)
			Expect(complete).To(BeNumerically(">", randomJobs/4), "the schedule must leave work to check")
			for i, c := range m.cores {
				total := 0
				for _, t := range m.targets {
					if t.manager == i {
						total += t.slots
					}
				}
				capacity := c.Capacity()
				Expect(capacity.Free).To(BeNumerically("<=", total), "seed %d, instance %d: slots counted twice", seed, i)
				Expect(capacity.Free).To(BeNumerically(">=", capacity.Total), "seed %d, instance %d: slots leaked", seed, i)
				Expect(capacity.Total+maxModelSlots*capacity.Ejected).To(BeNumerically(">=", total), "seed %d, instance %d: targets lost permanently", seed, i)
			}
		}
	}
	// Guards against tasks that start twice, answers that the start records contradict,
	// and slots that are counted twice or never freed.
	DescribeTable("keep the invariants against the targets' start records", run,
		Entry("one instance", dispatch.PolicyHawthorn, 1),
		Entry("three instances that borrow slots", dispatch.PolicyHawthorn, 3),
		Entry("random targets", dispatch.PolicyRandom, 1),
		Entry("less loaded of two targets", dispatch.PolicyTwoChoices, 1),
	)
})
