package dispatch_test

import (
	"encoding/json"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornshore.example/dispatch"
	"hawthornshore.example/structs"
)

var _ = Describe("outcomes of jobs", func() {
	var b *bench
	BeforeEach(func() { b = newBench(dispatch.PolicyHawthorn) })

	It("refuses a job that fits no target", func() {
		j := b.job("urgent", 1)
		small := announcement("w1", "a", 1)
		small.MB = 100
		b.step(dispatch.TargetAnnounced{Announcement: small})
		j.Tasks[0].DeclaredMB = 101
		finished := pick[dispatch.JobFinished](b.step(dispatch.AdmitJob{Job: j}))
		Expect(finished[0].Answer.Reason).To(Equal(structs.ReasonNeverFits))
		Expect(finished[0].Answer.Outcome).To(Equal(structs.OutcomeNotRun))
	})

	It("starts nothing before the claim is held", func() {
		b.target("w1", 2)
		Expect(pick[dispatch.StartAttempt](b.step(dispatch.AdmitJob{Job: b.job("urgent", 1)}))).To(BeEmpty())
	})

	It("completes with the results of all tasks", func() {
		b.target("w1", 2)
		starts := pick[dispatch.StartAttempt](b.submit(b.job("urgent", 2)))
		Expect(starts).To(HaveLen(2))
		Expect(b.step(dispatch.AttemptDone{Attempt: starts[0].Attempt, Output: json.RawMessage("1")})).To(BeEmpty())
		finished := pick[dispatch.JobFinished](b.step(dispatch.AttemptDone{Attempt: starts[1].Attempt, Output: json.RawMessage("2")}))
		Expect(finished).To(HaveLen(1))
		Expect(finished[0].Answer.Outcome).To(Equal(structs.OutcomeComplete))
		Expect(finished[0].Answer.Results).To(HaveLen(2))
	})

	It("fails the job with its first failed task and stops the rest", func() {
		b.target("w1", 2)
		starts := pick[dispatch.StartAttempt](b.submit(b.job("urgent", 3)))
		effects := b.step(dispatch.AttemptFailed{Attempt: starts[0].Attempt, Message: "boom"})
		Expect(outcomes(effects)).To(Equal([]structs.Outcome{structs.OutcomeFailed}))
		Expect(pick[dispatch.CancelAttempt](effects)).To(HaveLen(1))
		Expect(pick[dispatch.StartAttempt](effects)).To(BeEmpty())
		Expect(b.step(dispatch.AttemptFailed{Attempt: starts[1].Attempt})).To(BeEmpty(), "an answered job is not answered again")
	})

	It("answers not-run at the deadline only when no start may have happened", func() {
		Expect(b.target("w1", 1)).To(BeEmpty())
		running, waiting := b.job("urgent", 1), b.job("urgent", 1)
		b.submit(running)
		b.submit(waiting)
		finished := pick[dispatch.JobFinished](b.after(10*time.Second, dispatch.Tick{}))
		Expect(finished).To(HaveLen(2))
		for _, f := range finished {
			if f.Answer.JobID == running.ID {
				Expect(f.Answer.Outcome).To(Equal(structs.OutcomeUnknown))
			} else {
				Expect(f.Answer.Outcome).To(Equal(structs.OutcomeNotRun))
			}
		}
	})

	It("does not give a silent task to another target without proof", func() {
		b.target("w1", 1)
		starts := pick[dispatch.StartAttempt](b.submit(b.job("urgent", 1)))
		b.target("w2", 1)
		effects := b.after(250*time.Millisecond, dispatch.AttemptUnresponsive{Attempt: starts[0].Attempt})
		Expect(pick[dispatch.StartAttempt](effects)).To(BeEmpty())
		Expect(pick[dispatch.ResolveAttempt](effects)).To(HaveLen(1))
		effects = b.step(dispatch.AttemptRefused{Attempt: starts[0].Attempt, Cause: dispatch.RefusedTombstone})
		again := pick[dispatch.StartAttempt](effects)
		Expect(again).To(HaveLen(1))
		Expect(again[0].Target.TargetID).To(Equal("w2"), "the silent target waits for its next announcement")
		Expect(again[0].Attempt.Number).To(Equal(2))
	})

	DescribeTable("treats a weak refusal of a silent start as unknown", func(cause dispatch.RefusalCause) {
		b.target("w1", 1)
		b.target("w2", 1)
		starts := pick[dispatch.StartAttempt](b.submit(b.job("urgent", 1)))
		b.step(dispatch.AttemptUnresponsive{Attempt: starts[0].Attempt})
		effects := b.step(dispatch.AttemptRefused{Attempt: starts[0].Attempt, Cause: cause})
		Expect(pick[dispatch.StartAttempt](effects)).To(BeEmpty())
		Expect(outcomes(effects)).To(Equal([]structs.Outcome{structs.OutcomeUnknown}))
	}, Entry("another incarnation", dispatch.RefusedIncarnation), Entry("not sent", dispatch.RefusedNotSent))

	It("answers unknown when the target of an acknowledged task restarts", func() {
		b.target("w1", 1)
		starts := pick[dispatch.StartAttempt](b.submit(b.job("urgent", 1)))
		b.step(dispatch.AttemptAccepted{Attempt: starts[0].Attempt})
		effects := b.step(dispatch.TargetAnnounced{Announcement: announcement("w1", "b", 1)})
		Expect(outcomes(effects)).To(Equal([]structs.Outcome{structs.OutcomeUnknown}))
	})

	It("cancels a waiting job as not-run", func() {
		j := b.job("urgent", 2)
		b.target("w1", 1)
		b.submit(b.job("urgent", 1))
		b.submit(j)
		Expect(outcomes(b.step(dispatch.CancelJob{JobID: j.ID}))).To(Equal([]structs.Outcome{structs.OutcomeNotRun}))
	})

	It("keeps jobs queued without the lease and answers them at the deadline", func() {
		j := b.job("urgent", 1)
		b.target("w1", 1)
		b.step(dispatch.AdmitJob{Job: j})
		b.step(dispatch.LeaseChanged{Held: false})
		Expect(b.step(dispatch.ReleaseJob{JobID: j.ID})).To(BeEmpty())
		finished := pick[dispatch.JobFinished](b.after(10*time.Second, dispatch.Tick{}))
		Expect(finished).To(HaveLen(1))
		Expect(finished[0].Answer.Reason).To(Equal(structs.ReasonNoLease))
		Expect(finished[0].Answer.Outcome).To(Equal(structs.OutcomeNotRun))
	})

	It("finishes admitted jobs and refuses new ones while draining", func() {
		b.target("w1", 1)
		j := b.job("urgent", 1)
		b.step(dispatch.AdmitJob{Job: j})
		b.step(dispatch.Drain{})
		Expect(pick[dispatch.StartAttempt](b.step(dispatch.ReleaseJob{JobID: j.ID}))).To(HaveLen(1))
		finished := pick[dispatch.JobFinished](b.step(dispatch.AdmitJob{Job: b.job("urgent", 1)}))
		Expect(finished[0].Answer.Reason).To(Equal(structs.ReasonDraining))
	})
})

var _ = Describe("targets", func() {
	It("gives no work to a target that leaves or stops announcing itself", func() {
		b := newBench(dispatch.PolicyHawthorn)
		b.target("w1", 1)
		b.target("w2", 1)
		leaving := announcement("w1", "a", 1)
		leaving.State = structs.TargetLeaving
		b.step(dispatch.TargetAnnounced{Announcement: leaving})
		starts := pick[dispatch.StartAttempt](b.submit(b.job("urgent", 2)))
		Expect(starts).To(HaveLen(1))
		Expect(starts[0].Target.TargetID).To(Equal("w2"))
		b.after(structs.TargetTimeout, dispatch.Tick{})
		effects := b.step(dispatch.AttemptDone{Attempt: starts[0].Attempt})
		Expect(pick[dispatch.StartAttempt](effects)).To(BeEmpty())
	})
})

var _ = Describe("A job that comes while targets change their manager", func() {
	// Guards against not-run during a planned stop: the new manager's targets are
	// known a heartbeat after the old manager gave them up.
	It("waits for the targets a moment, but not for ones that stay away", func() {
		start := time.Unix(1_700_000_000, 0)
		core := dispatch.New(dispatch.Options{Instance: "a", DataCentre: "dc", Seed: 1})
		now := start
		step := func(after time.Duration, ev dispatch.Event) []dispatch.Effect {
			now = now.Add(after)
			core.Step(now, ev)
			return core.Ready()
		}
		step(0, dispatch.ConfigChanged{Config: structs.SystemConfig{
			Classes: map[string]structs.Class{"c": {Name: "c"}},
			Tenants: map[string]structs.Tenant{"t": {Name: "t", Weight: 1}},
		}})
		step(0, dispatch.LeaseChanged{Held: true})
		step(0, dispatch.PeerCapacityUpdated{Peer: "b", Free: 8, Total: 8, Targets: 1})
		for range 3 {
			step(200*time.Millisecond, dispatch.Tick{})
		}
		step(0, dispatch.PeerCapacityUpdated{Peer: "b"})
		submit := func(low uint64) dispatch.Effect {
			effects := step(structs.LinkHeartbeatInterval, dispatch.AdmitJob{Job: structs.Job{
				ID: structs.JobIDAt(now, low), DataCentre: "dc", Tenant: "t", Class: "c",
				DeadlineUnixMS: now.Add(10 * time.Second).UnixMilli(), Tasks: []structs.Task{{DeclaredMS: 100}},
			}})
			Expect(effects).To(HaveLen(1))
			return effects[0]
		}
		Expect(submit(1)).To(BeAssignableToTypeOf(dispatch.JobAdmitted{}))
		step(structs.LinkHeartbeatInterval, dispatch.Tick{})
		refused, ok := submit(2).(dispatch.JobFinished)
		Expect(ok).To(BeTrue())
		Expect(refused.Answer.Outcome).To(Equal(structs.OutcomeNotRun))
		Expect(refused.Answer.Reason).To(Equal(structs.ReasonNoCapacity))
	})
})

var _ = Describe("a job whose starts are refused as busy", func() {
	// refuse takes a job's only task through as many busy refusals as the retry
	// budget allows, and then releases the targets to another instance.
	refuse := func(b *bench) []dispatch.Effect {
		const targets = 11 // one more than the retries
		for n := range targets {
			b.target(fmt.Sprint("w", n), 1)
		}
		j := b.job("urgent", 1)
		j.DeadlineUnixMS = b.now.Add(30 * time.Second).UnixMilli()
		effects := b.submit(j)
		for range targets {
			started := pick[dispatch.StartAttempt](effects)
			Expect(started).To(HaveLen(1))
			effects = b.after(20*time.Millisecond, dispatch.AttemptRefused{Attempt: started[0].Attempt, Cause: dispatch.RefusedBusy})
		}
		for n := range targets {
			b.step(dispatch.TargetReassigned{TargetID: fmt.Sprint("w", n)})
		}
		return append(effects, b.step(dispatch.PeerCapacityUpdated{Peer: "i2", Free: 4, Total: 4})...)
	}
	// startsWithin grants each request for slots, and reports whether a start follows in time.
	startsWithin := func(b *bench, effects []dispatch.Effect, limit time.Duration) bool {
		for end := b.now.Add(limit); b.now.Before(end); {
			effects = append(effects, b.after(100*time.Millisecond, dispatch.Tick{})...)
			for _, request := range pick[dispatch.RequestSlots](effects) {
				effects = b.step(dispatch.SlotsGranted{Peer: "i2", Class: request.Class, Slots: []dispatch.SlotLoan{{
					Target: structs.TargetRef{TargetID: "v", Incarnation: "a", Address: "127.0.0.1:2"}, Expires: b.now.Add(time.Second),
				}}})
			}
			if len(pick[dispatch.StartAttempt](effects)) > 0 {
				return true
			}
		}
		return false
	}

	// Guards against a job that waits for its deadline although slots are free.
	It("starts again once the retry budget allows it", func() {
		b := newBench(dispatch.PolicyHawthorn)
		effects := refuse(b)
		Expect(startsWithin(b, effects, 2*time.Second)).To(BeFalse())
		Expect(startsWithin(b, nil, 10*time.Second)).To(BeTrue())
	})

	// Guards against jobs of an instance that drains: when targets change their
	// manager they refuse more starts than the budget has retries, and the jobs
	// waited longer than their deadline.
	It("starts again at once while its instance drains", func() {
		b := newBench(dispatch.PolicyHawthorn)
		effects := append(refuse(b), b.step(dispatch.Drain{})...)
		Expect(startsWithin(b, effects, time.Second)).To(BeTrue())
	})

	// Guards against a slot that is lent again and again while something else runs
	// there, until the borrower's retry budget is used up.
	It("keeps the slot from being lent until the target says that it is free", func() {
		lender := newBench(dispatch.PolicyHawthorn)
		lender.target("w1", 1)
		lend := func() int {
			grants := pick[dispatch.GrantSlots](append(
				lender.step(dispatch.SlotsRequested{Peer: "borrower", Class: "urgent", Count: 1}),
				lender.after(250*time.Millisecond, dispatch.Tick{})...))
			Expect(grants).To(HaveLen(1))
			return len(grants[0].Slots)
		}
		Expect(lend()).To(Equal(1))
		lender.step(dispatch.SlotReturned{Peer: "borrower", TargetID: "w1", Class: "urgent", Busy: true})
		Expect(lend()).To(BeZero())
		lender.target("w1", 1) // announces that nothing runs
		Expect(lend()).To(Equal(1))
	})
})
