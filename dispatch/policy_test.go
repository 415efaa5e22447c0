package dispatch_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornshore.example/dispatch"
	"hawthornshore.example/structs"
)

// loadModel runs a core against targets that run every task for a fixed time.
type loadModel struct {
	*harness
	run           time.Duration
	ends          []taskEnd
	starts        map[string]int // by label
	labels        map[structs.JobID]string
	targets       []string
	slots         int
	refused       []structs.Answer
	failingTarget string // target that fails every task
	failures      int
	// deadlineAfter replaces the deadline of harness.job if it is set.
	deadlineAfter time.Duration
}

type taskEnd struct {
	at     time.Time
	id     structs.AttemptID
	target string
}

func newLoadModel(targets, slots int, run time.Duration) *loadModel {
	m := &loadModel{harness: newHarness(dispatch.PolicyHawthorn), run: run, slots: slots, starts: map[string]int{}, labels: map[structs.JobID]string{}}
	for n := range targets {
		m.targets = append(m.targets, fmt.Sprint("w", n))
	}
	m.announceAll()
	return m
}

func (m *loadModel) announceAll() {
	for _, id := range m.targets {
		m.apply(m.target(id, m.slots))
	}
}

func (m *loadModel) apply(effects []dispatch.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case dispatch.JobAdmitted:
			m.apply(m.step(dispatch.ReleaseJob(e)))
		case dispatch.StartAttempt:
			m.starts[m.labels[e.Attempt.Job]]++
			m.ends = append(m.ends, taskEnd{at: m.now.Add(m.run), id: e.Attempt, target: e.Target.TargetID})
		case dispatch.JobFinished:
			if e.Answer.Outcome == structs.OutcomeNotRun {
				m.refused = append(m.refused, e.Answer)
			}
		}
	}
}

// submitAs submits a job of n tasks and counts its starts under the label.
func (m *loadModel) submitAs(class, tenant, label string, n int) {
	j := m.job(class, n)
	j.Tenant = tenant
	if m.deadlineAfter > 0 {
		j.DeadlineUnixMS = m.now.Add(m.deadlineAfter).UnixMilli()
	}
	m.labels[j.ID] = label
	m.apply(m.step(dispatch.AdmitJob{Job: j}))
}

// advance moves time forward in steps of 10 ms and calls each before every step.
func (m *loadModel) advance(d time.Duration, each func(step int)) {
	for step := range int(d / (10 * time.Millisecond)) {
		if step%100 == 0 {
			m.announceAll()
		}
		if each != nil {
			each(step)
		}
		m.now = m.now.Add(10 * time.Millisecond)
		m.apply(m.step(dispatch.Tick{}))
		for len(m.ends) > 0 && !m.ends[0].at.After(m.now) {
			e := m.ends[0]
			m.ends = m.ends[1:]
			if e.target == m.failingTarget {
				m.failures++
				m.apply(m.step(dispatch.AttemptFailed{Attempt: e.id, RunMS: m.run.Milliseconds()}))
				continue
			}
			m.apply(m.step(dispatch.AttemptDone{Attempt: e.id, RunMS: m.run.Milliseconds()}))
		}
	}
}

var _ = Describe("the queue policy", func() {
	// Guards against a class whose usual work stops while a more urgent class is
	// overloaded, and against queued jobs that cannot meet their deadlines.
	It("serves the lower rank its baseline while the most urgent class is overloaded", func() {
		m := newLoadModel(4, 8, 100*time.Millisecond)
		usual := func(int) { m.submitAs("later", "t1", "later", 1) }
		m.advance(20*time.Second, usual)
		before := m.starts["later"]
		m.advance(5*time.Second, func(step int) {
			usual(step)
			for range 10 {
				m.submitAs("urgent", "t1", "urgent", 3)
			}
		})
		Expect(m.starts["later"]-before).To(BeNumerically(">=", 475), "95% of 500 tasks in 5 s")
		Expect(m.refused).NotTo(BeEmpty(), "excess jobs are refused instead of queued beyond their deadlines")
		for _, a := range m.refused {
			Expect(a.Reason).To(BeElementOf(structs.ReasonWaitTooLong, structs.ReasonQueueFull))
		}
	})

	// Guards against a lower class that loses its usual share of the slots when the
	// urgent class grows beyond the rest without refused jobs.
	It("serves the lower rank its baseline when the urgent class exceeds the capacity without being overloaded", func() {
		m := newLoadModel(4, 8, 100*time.Millisecond)
		m.advance(20*time.Second, func(step int) {
			m.submitAs("later", "t1", "later", 1)
			m.submitAs("urgent", "t1", "urgent", 1+(step%3)/2)
		})
		before := m.starts["later"]
		m.advance(5*time.Second, func(step int) {
			m.submitAs("later", "t1", "later", 1)
			m.submitAs("urgent", "t1", "urgent", 3+step%2)
		})
		Expect(m.starts["later"]-before).To(BeNumerically(">=", 475), "95% of 500 tasks in 5 s")
	})

	// Guards against urgent tasks that wait behind less urgent ones submitted earlier.
	It("serves the urgent class first when work of both waits", func() {
		m := newLoadModel(1, 2, 100*time.Millisecond)
		m.submitAs("later", "t1", "later", 12)
		m.submitAs("urgent", "t1", "urgent", 6)
		m.advance(310*time.Millisecond, nil)
		Expect(m.starts["urgent"]).To(Equal(6))
	})

	// Guards against a tenant that gets more than its share of a class.
	It("shares a class between tenants in proportion to their weights", func() {
		m := newLoadModel(1, 8, 50*time.Millisecond)
		m.step(dispatch.ConfigChanged{Config: structs.SystemConfig{
			Version: 2,
			Classes: map[string]structs.Class{"urgent": {MaxQueue: 100_000}},
			Tenants: map[string]structs.Tenant{"t1": {Weight: 1}, "t2": {Weight: 3}},
		}})
		// Deadlines late enough for all jobs, so that both tenants have work
		// waiting until the end.
		m.deadlineAfter = 10 * time.Minute
		for range 200 {
			m.submitAs("urgent", "t1", "t1", 4)
			m.submitAs("urgent", "t2", "t2", 4)
		}
		Expect(m.refused).To(BeEmpty())
		m.advance(2*time.Second, nil)
		ratio := float64(m.starts["t2"]) / float64(m.starts["t1"])
		Expect(ratio).To(BeNumerically("~", 3, 0.4))
	})

	// Guards against a tenant above its quota, and against its jobs in the queue until
	// they miss their deadlines.
	It("keeps a tenant within its quota and refuses jobs that would wait too long for it", func() {
		m := newLoadModel(2, 8, 100*time.Millisecond)
		for range 20 {
			m.submitAs("urgent", "small", "small", 5)
		}
		Expect(m.starts["small"]).To(Equal(2))
		m.advance(100*time.Millisecond, nil)
		Expect(m.starts["small"]).To(Equal(4))
		for range 200 {
			m.submitAs("urgent", "small", "small", 5)
		}
		Expect(m.refused).NotTo(BeEmpty())
		Expect(m.refused[0].Reason).To(Equal(structs.ReasonQuota))
	})

	// Guards against admission of jobs that declare a shorter run time than their tasks
	// have and so miss their deadlines.
	It("predicts waits by the learned instead of the declared run time", func() {
		m := newLoadModel(1, 8, 2*time.Second)
		for range 30 {
			m.submitAs("urgent", "t1", "", 1)
			m.advance(500*time.Millisecond, nil)
		}
		j := m.job("urgent", 1)
		j.DeadlineUnixMS = m.now.Add(time.Second).UnixMilli()
		m.apply(m.step(dispatch.AdmitJob{Job: j}))
		Expect(m.refused).To(HaveLen(1))
		Expect(m.refused[0].Reason).To(Equal(structs.ReasonWaitTooLong))
	})

	// Guards against retries that multiply the load while targets refuse starts.
	It("retries at most a tenth of the starts, and at least ten in ten seconds", func() {
		h := newHarness(dispatch.PolicyHawthorn)
		for n := range 50 {
			h.target(fmt.Sprint("w", n), 1)
		}
		starts := effectsOf[dispatch.StartAttempt](h.submit(h.job("urgent", 30)))
		Expect(starts).To(HaveLen(30))
		retries := 0
		for _, s := range starts {
			retries += len(effectsOf[dispatch.StartAttempt](h.step(dispatch.AttemptRefused{Attempt: s.Attempt, Cause: dispatch.RefusedBusy})))
		}
		Expect(retries).To(Equal(10))
	})
})

var _ = Describe("target health", func() {
	// Guards against a target that fails every task and still gets work, and against one
	// that gets none after it has recovered.
	It("ejects a target that fails every task, probes it, and restores it", func() {
		m := newLoadModel(4, 2, 20*time.Millisecond)
		m.failingTarget = "w1"
		work := func(int) { m.submitAs("urgent", "t1", "", 1) }
		m.advance(3*time.Second, work)
		Expect(m.core.Capacity().Ejected).To(Equal(1))
		before := m.failures
		m.advance(10*time.Second, work)
		Expect(m.failures-before).To(BeNumerically("<=", 5), "an ejected target gets single probes at growing intervals")
		m.failingTarget = ""
		m.advance(40*time.Second, work)
		Expect(m.core.Capacity().Ejected).To(Equal(0))
	})

	// Guards against the loss of most of the capacity when failures are common.
	It("ejects at most 30% of the targets", func() {
		h := newHarness(dispatch.PolicyHawthorn)
		for n := range 10 {
			h.target(fmt.Sprint("w", n), 4)
		}
		ejected := 0
		for n := range 300 {
			starts := effectsOf[dispatch.StartAttempt](h.submit(h.job("urgent", 1)))
			for _, s := range starts {
				if s.Target.TargetID < "w6" || n < 100 {
					ejected += len(effectsOf[dispatch.TargetEjected](h.step(dispatch.AttemptFailed{Attempt: s.Attempt, RunMS: 1})))
				} else {
					h.step(dispatch.AttemptDone{Attempt: s.Attempt, RunMS: 1})
				}
			}
		}
		Expect(ejected).To(BeNumerically("<=", 3))
	})
})

var _ = Describe("slots between instances", func() {
	var lender, borrower *harness
	BeforeEach(func() {
		lender, borrower = newHarness(dispatch.PolicyHawthorn), newHarness(dispatch.PolicyHawthorn)
		lender.target("w1", 2)
		borrower.step(dispatch.PeerCapacityUpdated{Peer: "lender", Free: 2, Total: 2})
	})

	borrow := func() ([]dispatch.StartAttempt, dispatch.GrantSlots) {
		requests := effectsOf[dispatch.RequestSlots](borrower.submit(borrower.job("urgent", 1)))
		Expect(requests).To(HaveLen(1))
		grants := effectsOf[dispatch.GrantSlots](lender.step(dispatch.SlotsRequested{Peer: "borrower", Class: "urgent", Count: requests[0].Count}))
		Expect(grants).To(HaveLen(1))
		return effectsOf[dispatch.StartAttempt](borrower.step(dispatch.SlotsGranted{Peer: "lender", Class: "urgent", Slots: grants[0].Slots})), grants[0]
	}

	// Guards against a waiting job while a peer has free slots, and against slots that
	// stay lent after the task has ended.
	It("starts waiting work on a loan and returns the slot", func() {
		starts, _ := borrow()
		Expect(starts).To(HaveLen(1))
		Expect(lender.core.Capacity().Free).To(Equal(1))
		returns := effectsOf[dispatch.ReturnSlot](borrower.step(dispatch.AttemptDone{Attempt: starts[0].Attempt, RunMS: 7}))
		Expect(returns).To(Equal([]dispatch.ReturnSlot{{Peer: "lender", TargetID: "w1", RunMS: 7, Class: "urgent"}}))
		lender.step(dispatch.SlotReturned{Peer: "borrower", TargetID: "w1", RunMS: 7, Class: "urgent"})
		Expect(lender.core.Capacity().Free).To(Equal(2))
	})

	// Guards against a start on a slot that the lender may have given to other work.
	It("starts nothing on an expired loan", func() {
		requests := effectsOf[dispatch.RequestSlots](borrower.submit(borrower.job("urgent", 1)))
		grants := effectsOf[dispatch.GrantSlots](lender.step(dispatch.SlotsRequested{Peer: "borrower", Class: "urgent", Count: requests[0].Count}))
		effects := borrower.stepAfter(structs.SlotLease, dispatch.SlotsGranted{Peer: "lender", Class: "urgent", Slots: grants[0].Slots})
		Expect(effectsOf[dispatch.StartAttempt](effects)).To(BeEmpty())
		Expect(effectsOf[dispatch.ReturnSlot](effects)).To(HaveLen(1))
	})

	// Guards against a loan that is held until it expires while the lender has work for it.
	It("keeps a late loan for the next task for a short time only", func() {
		loan := dispatch.SlotLoan{Target: structs.TargetRef{TargetID: "w1"}, Expires: borrower.now.Add(structs.SlotLease)}
		Expect(borrower.step(dispatch.SlotsGranted{Peer: "lender", Class: "urgent", Slots: []dispatch.SlotLoan{loan}})).To(BeEmpty())
		Expect(effectsOf[dispatch.ReturnSlot](borrower.stepAfter(100*time.Millisecond, dispatch.Tick{}))).To(HaveLen(1))
	})

	// Guards against runs that a seed does not reproduce.
	It("starts on the same targets in every run after the loss of a peer", func() {
		run := func() []string {
			h := newHarness(dispatch.PolicyHawthorn)
			for n := range 20 {
				h.target(fmt.Sprint("w", n), 2)
			}
			h.step(dispatch.SlotsRequested{Peer: "borrower", Class: "urgent", Count: 20})
			h.step(dispatch.PeerLost{Peer: "borrower"})
			var ids []string
			for _, s := range effectsOf[dispatch.StartAttempt](h.submit(h.job("urgent", 10))) {
				ids = append(ids, s.Target.TargetID)
			}
			return ids
		}
		first := run()
		for range 5 {
			Expect(run()).To(Equal(first), "the core must not depend on map order")
		}
	})

	// Guards against slots that are never returned because their borrower is gone.
	It("ends the loans of a lost peer", func() {
		borrow()
		lender.step(dispatch.PeerLost{Peer: "borrower"})
		Expect(lender.core.Capacity().Free).To(Equal(2))
	})
})
