package dispatch_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornshore.example/dispatch"
	"hawthornshore.example/structs"
)

// loop runs a core against targets that run every task for a fixed time.
type loop struct {
	*bench
	run     time.Duration
	ends    []ending
	starts  map[string]int // per tenant or class, whatever label says
	label   map[structs.JobID]string
	targets []string
	slots   int
	refused []structs.Answer
	failing string // target that fails everything
	failed  int
	// patience is the time to the deadline if it is not that of bench.job.
	patience time.Duration
}

type ending struct {
	at     time.Time
	id     structs.AttemptID
	target string
}

func newLoop(targets, slots int, run time.Duration) *loop {
	l := &loop{bench: newBench(dispatch.PolicyHawthorn), run: run, slots: slots, starts: map[string]int{}, label: map[structs.JobID]string{}}
	for n := range targets {
		l.targets = append(l.targets, fmt.Sprint("w", n))
	}
	l.announceAll()
	return l
}

func (l *loop) announceAll() {
	for _, id := range l.targets {
		l.take(l.target(id, l.slots))
	}
}

func (l *loop) take(effects []dispatch.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case dispatch.JobAdmitted:
			l.take(l.step(dispatch.ReleaseJob(e)))
		case dispatch.StartAttempt:
			l.starts[l.label[e.Attempt.Job]]++
			l.ends = append(l.ends, ending{at: l.now.Add(l.run), id: e.Attempt, target: e.Target.TargetID})
		case dispatch.JobFinished:
			if e.Answer.Outcome == structs.OutcomeNotRun {
				l.refused = append(l.refused, e.Answer)
			}
		}
	}
}

// offer submits a job of n tasks.
func (l *loop) offer(class, tenant, label string, n int) {
	j := l.job(class, n)
	j.Tenant = tenant
	if l.patience > 0 {
		j.DeadlineUnixMS = l.now.Add(l.patience).UnixMilli()
	}
	l.label[j.ID] = label
	l.take(l.step(dispatch.AdmitJob{Job: j}))
}

// advance lets time pass in steps of 10 ms, calling each before every step.
func (l *loop) advance(d time.Duration, each func(step int)) {
	for step := range int(d / (10 * time.Millisecond)) {
		if step%100 == 0 {
			l.announceAll()
		}
		if each != nil {
			each(step)
		}
		l.now = l.now.Add(10 * time.Millisecond)
		l.take(l.step(dispatch.Tick{}))
		for len(l.ends) > 0 && !l.ends[0].at.After(l.now) {
			e := l.ends[0]
			l.ends = l.ends[1:]
			if e.target == l.failing {
				l.failed++
				l.take(l.step(dispatch.AttemptFailed{Attempt: e.id, RunMS: l.run.Milliseconds()}))
				continue
			}
			l.take(l.step(dispatch.AttemptDone{Attempt: e.id, RunMS: l.run.Milliseconds()}))
		}
	}
}

var _ = Describe("the queue policy", func() {
	It("serves the lower rank its baseline while the most urgent class floods", func() {
		l := newLoop(4, 8, 100*time.Millisecond)
		usual := func(int) { l.offer("later", "t1", "later", 1) }
		l.advance(20*time.Second, usual)
		before := l.starts["later"]
		l.advance(5*time.Second, func(step int) {
			usual(step)
			for range 10 {
				l.offer("urgent", "t1", "urgent", 3)
			}
		})
		Expect(l.starts["later"]-before).To(BeNumerically(">=", 475), "95% of 500 tasks in 5 s")
		Expect(l.refused).NotTo(BeEmpty(), "the flood is refused instead of queued beyond its deadlines")
		for _, a := range l.refused {
			Expect(a.Reason).To(BeElementOf(structs.ReasonWaitTooLong, structs.ReasonQueueFull))
		}
	})

	It("serves the lower rank its baseline when the urgent class grows beyond the capacity without flooding", func() {
		l := newLoop(4, 8, 100*time.Millisecond)
		l.advance(20*time.Second, func(step int) {
			l.offer("later", "t1", "later", 1)
			l.offer("urgent", "t1", "urgent", 1+(step%3)/2)
		})
		before := l.starts["later"]
		l.advance(5*time.Second, func(step int) {
			l.offer("later", "t1", "later", 1)
			l.offer("urgent", "t1", "urgent", 3+step%2)
		})
		Expect(l.starts["later"]-before).To(BeNumerically(">=", 475), "95% of 500 tasks in 5 s")
	})

	It("serves the urgent class first when work of both waits", func() {
		l := newLoop(1, 2, 100*time.Millisecond)
		l.offer("later", "t1", "later", 12)
		l.offer("urgent", "t1", "urgent", 6)
		l.advance(310*time.Millisecond, nil)
		Expect(l.starts["urgent"]).To(Equal(6))
	})

	It("shares a class between tenants in proportion to their weights", func() {
		l := newLoop(1, 8, 50*time.Millisecond)
		l.step(dispatch.ConfigChanged{Config: structs.SystemConfig{
			Version: 2,
			Classes: map[string]structs.Class{"urgent": {MaxQueue: 100_000}},
			Tenants: map[string]structs.Tenant{"t1": {Weight: 1}, "t2": {Weight: 3}},
		}})
		// Deadlines far enough for all jobs, so that both tenants have work
		// waiting to the end.
		l.patience = 10 * time.Minute
		for range 200 {
			l.offer("urgent", "t1", "t1", 4)
			l.offer("urgent", "t2", "t2", 4)
		}
		Expect(l.refused).To(BeEmpty())
		l.advance(2*time.Second, nil)
		ratio := float64(l.starts["t2"]) / float64(l.starts["t1"])
		Expect(ratio).To(BeNumerically("~", 3, 0.4))
	})

	It("keeps a tenant within its quota and refuses what would wait too long for it", func() {
		l := newLoop(2, 8, 100*time.Millisecond)
		for range 20 {
			l.offer("urgent", "small", "small", 5)
		}
		Expect(l.starts["small"]).To(Equal(2))
		l.advance(100*time.Millisecond, nil)
		Expect(l.starts["small"]).To(Equal(4))
		for range 200 {
			l.offer("urgent", "small", "small", 5)
		}
		Expect(l.refused).NotTo(BeEmpty())
		Expect(l.refused[0].Reason).To(Equal(structs.ReasonQuota))
	})

	It("refuses by the learned instead of the declared run time", func() {
		l := newLoop(1, 8, 2*time.Second)
		for range 30 {
			l.offer("urgent", "t1", "", 1)
			l.advance(500*time.Millisecond, nil)
		}
		j := l.job("urgent", 1)
		j.DeadlineUnixMS = l.now.Add(time.Second).UnixMilli()
		l.take(l.step(dispatch.AdmitJob{Job: j}))
		Expect(l.refused).To(HaveLen(1))
		Expect(l.refused[0].Reason).To(Equal(structs.ReasonWaitTooLong))
	})

	It("retries at most a tenth of the starts, and at least ten in ten seconds", func() {
		b := newBench(dispatch.PolicyHawthorn)
		for n := range 50 {
			b.target(fmt.Sprint("w", n), 1)
		}
		starts := pick[dispatch.StartAttempt](b.submit(b.job("urgent", 30)))
		Expect(starts).To(HaveLen(30))
		retries := 0
		for _, s := range starts {
			retries += len(pick[dispatch.StartAttempt](b.step(dispatch.AttemptRefused{Attempt: s.Attempt, Cause: dispatch.RefusedBusy})))
		}
		Expect(retries).To(Equal(10))
	})
})

var _ = Describe("target health", func() {
	It("ejects a target that fails everything, probes it, and restores it", func() {
		l := newLoop(4, 2, 20*time.Millisecond)
		l.failing = "w1"
		work := func(int) { l.offer("urgent", "t1", "", 1) }
		l.advance(3*time.Second, work)
		Expect(l.core.Capacity().Ejected).To(Equal(1))
		before := l.failed
		l.advance(10*time.Second, work)
		Expect(l.failed-before).To(BeNumerically("<=", 5), "an ejected target gets single probes with growing pauses")
		l.failing = ""
		l.advance(40*time.Second, work)
		Expect(l.core.Capacity().Ejected).To(Equal(0))
	})

	It("ejects at most 30% of the targets", func() {
		b := newBench(dispatch.PolicyHawthorn)
		for n := range 10 {
			b.target(fmt.Sprint("w", n), 4)
		}
		ejected := 0
		for n := range 300 {
			starts := pick[dispatch.StartAttempt](b.submit(b.job("urgent", 1)))
			for _, s := range starts {
				if s.Target.TargetID < "w6" || n < 100 {
					ejected += len(pick[dispatch.TargetEjected](b.step(dispatch.AttemptFailed{Attempt: s.Attempt, RunMS: 1})))
				} else {
					b.step(dispatch.AttemptDone{Attempt: s.Attempt, RunMS: 1})
				}
			}
		}
		Expect(ejected).To(BeNumerically("<=", 3))
	})
})

var _ = Describe("slots between instances", func() {
	var lender, borrower *bench
	BeforeEach(func() {
		lender, borrower = newBench(dispatch.PolicyHawthorn), newBench(dispatch.PolicyHawthorn)
		lender.target("w1", 2)
		borrower.step(dispatch.PeerCapacityUpdated{Peer: "lender", Free: 2, Total: 2})
	})

	borrow := func() ([]dispatch.StartAttempt, dispatch.GrantSlots) {
		requests := pick[dispatch.RequestSlots](borrower.submit(borrower.job("urgent", 1)))
		Expect(requests).To(HaveLen(1))
		grants := pick[dispatch.GrantSlots](lender.step(dispatch.SlotsRequested{Peer: "borrower", Class: "urgent", Count: requests[0].Count}))
		Expect(grants).To(HaveLen(1))
		return pick[dispatch.StartAttempt](borrower.step(dispatch.SlotsGranted{Peer: "lender", Class: "urgent", Slots: grants[0].Slots})), grants[0]
	}

	It("starts waiting work on a loan and returns the slot", func() {
		starts, _ := borrow()
		Expect(starts).To(HaveLen(1))
		Expect(lender.core.Capacity().Free).To(Equal(1))
		returns := pick[dispatch.ReturnSlot](borrower.step(dispatch.AttemptDone{Attempt: starts[0].Attempt, RunMS: 7}))
		Expect(returns).To(Equal([]dispatch.ReturnSlot{{Peer: "lender", TargetID: "w1", RunMS: 7, Class: "urgent"}}))
		lender.step(dispatch.SlotReturned{Peer: "borrower", TargetID: "w1", RunMS: 7, Class: "urgent"})
		Expect(lender.core.Capacity().Free).To(Equal(2))
	})

	It("begins no start on an expired loan", func() {
		requests := pick[dispatch.RequestSlots](borrower.submit(borrower.job("urgent", 1)))
		grants := pick[dispatch.GrantSlots](lender.step(dispatch.SlotsRequested{Peer: "borrower", Class: "urgent", Count: requests[0].Count}))
		effects := borrower.after(structs.SlotLease, dispatch.SlotsGranted{Peer: "lender", Class: "urgent", Slots: grants[0].Slots})
		Expect(pick[dispatch.StartAttempt](effects)).To(BeEmpty())
		Expect(pick[dispatch.ReturnSlot](effects)).To(HaveLen(1))
	})

	It("keeps a late loan for the next task for a short time only", func() {
		loan := dispatch.SlotLoan{Target: structs.TargetRef{TargetID: "w1"}, Expires: borrower.now.Add(structs.SlotLease)}
		Expect(borrower.step(dispatch.SlotsGranted{Peer: "lender", Class: "urgent", Slots: []dispatch.SlotLoan{loan}})).To(BeEmpty())
		Expect(pick[dispatch.ReturnSlot](borrower.after(100*time.Millisecond, dispatch.Tick{}))).To(HaveLen(1))
	})

	It("starts on the same targets in every run after the loss of a peer", func() {
		run := func() []string {
			b := newBench(dispatch.PolicyHawthorn)
			for n := range 20 {
				b.target(fmt.Sprint("w", n), 2)
			}
			b.step(dispatch.SlotsRequested{Peer: "borrower", Class: "urgent", Count: 20})
			b.step(dispatch.PeerLost{Peer: "borrower"})
			var ids []string
			for _, s := range pick[dispatch.StartAttempt](b.submit(b.job("urgent", 10))) {
				ids = append(ids, s.Target.TargetID)
			}
			return ids
		}
		first := run()
		for range 5 {
			Expect(run()).To(Equal(first), "the core must not depend on map order")
		}
	})

	It("takes the loans of a lost peer back", func() {
		borrow()
		lender.step(dispatch.PeerLost{Peer: "borrower"})
		Expect(lender.core.Capacity().Free).To(Equal(2))
	})
})
