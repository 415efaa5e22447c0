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
	var h *harness
	BeforeEach(func() { h = newHarness(dispatch.PolicyHawthorn) })

	// Guards against a job that waits for its deadline though no target can ever run it.
	It("refuses a job that fits no target", func() {
		j := h.job("urgent", 1)
		small := announcement("w1", "a", 1)
		small.MB = 100
		h.step(dispatch.TargetAnnounced{Announcement: small})
		j.Tasks[0].DeclaredMB = 101
		finished := effectsOf[dispatch.JobFinished](h.step(dispatch.AdmitJob{Job: j}))
		Expect(finished[0].Answer.Reason).To(Equal(structs.ReasonNeverFits))
		Expect(finished[0].Answer.Outcome).To(Equal(structs.OutcomeNotRun))
	})

	// Guards against a task that runs without a claim, so that a second owner of the
	// job ID could run it again.
	It("starts nothing before the claim is held", func() {
		h.target("w1", 2)
		Expect(effectsOf[dispatch.StartAttempt](h.step(dispatch.AdmitJob{Job: h.job("urgent", 1)}))).To(BeEmpty())
	})

	// Guards against an answer before all tasks are done, and against lost results.
	It("completes with the results of all tasks", func() {
		h.target("w1", 2)
		starts := effectsOf[dispatch.StartAttempt](h.submit(h.job("urgent", 2)))
		Expect(starts).To(HaveLen(2))
		Expect(h.step(dispatch.AttemptDone{Attempt: starts[0].Attempt, Output: json.RawMessage("1")})).To(BeEmpty())
		finished := effectsOf[dispatch.JobFinished](h.step(dispatch.AttemptDone{Attempt: starts[1].Attempt, Output: json.RawMessage("2")}))
		Expect(finished).To(HaveLen(1))
		Expect(finished[0].Answer.Outcome).To(Equal(structs.OutcomeComplete))
		Expect(finished[0].Answer.Results).To(HaveLen(2))
	})

	// Guards against tasks that run on for a failed job, and against a second answer.
	It("fails the job with its first failed task and stops the rest", func() {
		h.target("w1", 2)
		starts := effectsOf[dispatch.StartAttempt](h.submit(h.job("urgent", 3)))
		effects := h.step(dispatch.AttemptFailed{Attempt: starts[0].Attempt, Message: "boom"})
		Expect(outcomes(effects)).To(Equal([]structs.Outcome{structs.OutcomeFailed}))
		Expect(effectsOf[dispatch.CancelAttempt](effects)).To(HaveLen(1))
		Expect(effectsOf[dispatch.StartAttempt](effects)).To(BeEmpty())
		Expect(h.step(dispatch.AttemptFailed{Attempt: starts[1].Attempt})).To(BeEmpty(), "an answered job is not answered again")
	})

	// Guards against not-run for a job that may have run: its caller would submit it
	// again.
	It("answers not-run at the deadline only when no start may have happened", func() {
		Expect(h.target("w1", 1)).To(BeEmpty(), "no job waits")
		running, waiting := h.job("urgent", 1), h.job("urgent", 1)
		h.submit(running)
		h.submit(waiting)
		finished := effectsOf[dispatch.JobFinished](h.stepAfter(10*time.Second, dispatch.Tick{}))
		Expect(finished).To(HaveLen(2))
		for _, f := range finished {
			if f.Answer.JobID == running.ID {
				Expect(f.Answer.Outcome).To(Equal(structs.OutcomeUnknown))
			} else {
				Expect(f.Answer.Outcome).To(Equal(structs.OutcomeNotRun))
			}
		}
	})

	// Guards against a task that runs twice: the start without a response may have
	// arrived.
	It("does not retry an unresponsive attempt on another target without proof that it has not started", func() {
		h.target("w1", 1)
		starts := effectsOf[dispatch.StartAttempt](h.submit(h.job("urgent", 1)))
		h.target("w2", 1)
		// 250 ms is structs.StartAckTimeout, after which a start is unresponsive.
		effects := h.stepAfter(250*time.Millisecond, dispatch.AttemptUnresponsive{Attempt: starts[0].Attempt})
		Expect(effectsOf[dispatch.StartAttempt](effects)).To(BeEmpty())
		Expect(effectsOf[dispatch.ResolveAttempt](effects)).To(HaveLen(1))
		effects = h.step(dispatch.AttemptRefused{Attempt: starts[0].Attempt, Cause: dispatch.RefusedTombstone})
		again := effectsOf[dispatch.StartAttempt](effects)
		Expect(again).To(HaveLen(1))
		Expect(again[0].Target.TargetID).To(Equal("w2"), "the unresponsive target gets no work until its next announcement")
		Expect(again[0].Attempt.Number).To(Equal(2))
	})

	// Guards against a task that runs twice. After an unresponsive start, such a refusal
	// may concern the later request that resolves the attempt, and not the start.
	DescribeTable("answers unknown after a refusal that proves nothing about an unresponsive start", func(cause dispatch.RefusalCause) {
		h.target("w1", 1)
		h.target("w2", 1)
		starts := effectsOf[dispatch.StartAttempt](h.submit(h.job("urgent", 1)))
		h.step(dispatch.AttemptUnresponsive{Attempt: starts[0].Attempt})
		effects := h.step(dispatch.AttemptRefused{Attempt: starts[0].Attempt, Cause: cause})
		Expect(effectsOf[dispatch.StartAttempt](effects)).To(BeEmpty())
		Expect(outcomes(effects)).To(Equal([]structs.Outcome{structs.OutcomeUnknown}))
	}, Entry("another incarnation", dispatch.RefusedIncarnation), Entry("not sent", dispatch.RefusedNotSent))

	// Guards against a job that waits for an attempt that ended with its target, and
	// against a second run of a task that may have finished.
	It("answers unknown when the target of an acknowledged task restarts", func() {
		h.target("w1", 1)
		starts := effectsOf[dispatch.StartAttempt](h.submit(h.job("urgent", 1)))
		h.step(dispatch.AttemptAccepted{Attempt: starts[0].Attempt})
		effects := h.step(dispatch.TargetAnnounced{Announcement: announcement("w1", "b", 1)})
		Expect(outcomes(effects)).To(Equal([]structs.Outcome{structs.OutcomeUnknown}))
	})

	// Guards against a cancelled job that stays queued or is answered as if it had run.
	It("answers a cancelled waiting job with not-run", func() {
		j := h.job("urgent", 2)
		h.target("w1", 1)
		h.submit(h.job("urgent", 1))
		h.submit(j)
		Expect(outcomes(h.step(dispatch.CancelJob{JobID: j.ID}))).To(Equal([]structs.Outcome{structs.OutcomeNotRun}))
	})

	// Guards against a start without the lease, when another owner may start the same
	// task, and against a job without an answer.
	It("keeps jobs queued without the lease and answers them at the deadline", func() {
		j := h.job("urgent", 1)
		h.target("w1", 1)
		h.step(dispatch.AdmitJob{Job: j})
		h.step(dispatch.LeaseChanged{Held: false})
		Expect(h.step(dispatch.ReleaseJob{JobID: j.ID})).To(BeEmpty())
		finished := effectsOf[dispatch.JobFinished](h.stepAfter(10*time.Second, dispatch.Tick{}))
		Expect(finished).To(HaveLen(1))
		Expect(finished[0].Answer.Reason).To(Equal(structs.ReasonNoLease))
		Expect(finished[0].Answer.Outcome).To(Equal(structs.OutcomeNotRun))
	})

	// Guards against admitted jobs that are lost in a drain, and against new ones that
	// would delay its end.
	It("finishes admitted jobs and refuses new ones while draining", func() {
		h.target("w1", 1)
		j := h.job("urgent", 1)
		h.step(dispatch.AdmitJob{Job: j})
		h.step(dispatch.Drain{})
		Expect(effectsOf[dispatch.StartAttempt](h.step(dispatch.ReleaseJob{JobID: j.ID}))).To(HaveLen(1))
		finished := effectsOf[dispatch.JobFinished](h.step(dispatch.AdmitJob{Job: h.job("urgent", 1)}))
		Expect(finished[0].Answer.Reason).To(Equal(structs.ReasonDraining))
	})
})

var _ = Describe("a target without new work", func() {
	// Guards against starts on a target that shuts down or is unreachable.
	It("starts nothing on a target that is leaving or whose announcements stop", func() {
		h := newHarness(dispatch.PolicyHawthorn)
		h.target("w1", 1)
		h.target("w2", 1)
		leaving := announcement("w1", "a", 1)
		leaving.State = structs.TargetLeaving
		h.step(dispatch.TargetAnnounced{Announcement: leaving})
		starts := effectsOf[dispatch.StartAttempt](h.submit(h.job("urgent", 2)))
		Expect(starts).To(HaveLen(1))
		Expect(starts[0].Target.TargetID).To(Equal("w2"))
		h.stepAfter(structs.TargetTimeout, dispatch.Tick{})
		effects := h.step(dispatch.AttemptDone{Attempt: starts[0].Attempt})
		Expect(effectsOf[dispatch.StartAttempt](effects)).To(BeEmpty())
	})
})

var _ = Describe("a job that arrives while targets move to another manager", func() {
	// Guards against not-run during a planned stop: the new manager's capacity
	// arrives one heartbeat after the old manager released the targets.
	It("is admitted for a short time without targets and refused afterwards", func() {
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
		// Ticks during which the core records that a peer has a usable target.
		for range 3 {
			step(200*time.Millisecond, dispatch.Tick{})
		}
		step(0, dispatch.PeerCapacityUpdated{Peer: "b"})
		submit := func(seq uint64) dispatch.Effect {
			effects := step(structs.LinkHeartbeatInterval, dispatch.AdmitJob{Job: structs.Job{
				ID: structs.JobIDAt(now, seq), DataCentre: "dc", Tenant: "t", Class: "c",
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
	// exhaustRetryBudgetAndReassign refuses a job's only task as busy until the retry
	// budget is used up, and then reassigns the targets to another instance.
	exhaustRetryBudgetAndReassign := func(h *harness) []dispatch.Effect {
		const targets = 11 // one start and the minRetries (10) retries of the budget
		for n := range targets {
			h.target(fmt.Sprint("w", n), 1)
		}
		j := h.job("urgent", 1)
		j.DeadlineUnixMS = h.now.Add(30 * time.Second).UnixMilli()
		effects := h.submit(j)
		for range targets {
			started := effectsOf[dispatch.StartAttempt](effects)
			Expect(started).To(HaveLen(1))
			effects = h.stepAfter(20*time.Millisecond, dispatch.AttemptRefused{Attempt: started[0].Attempt, Cause: dispatch.RefusedBusy})
		}
		for n := range targets {
			h.step(dispatch.TargetReassigned{TargetID: fmt.Sprint("w", n)})
		}
		return append(effects, h.step(dispatch.PeerCapacityUpdated{Peer: "i2", Free: 4, Total: 4})...)
	}
	// startsWithin grants each request for slots and reports a start within the limit.
	startsWithin := func(h *harness, effects []dispatch.Effect, limit time.Duration) bool {
		for end := h.now.Add(limit); h.now.Before(end); {
			effects = append(effects, h.stepAfter(100*time.Millisecond, dispatch.Tick{})...)
			for _, request := range effectsOf[dispatch.RequestSlots](effects) {
				effects = h.step(dispatch.SlotsGranted{Peer: "i2", Class: request.Class, Slots: []dispatch.SlotLoan{{
					Target: structs.TargetRef{TargetID: "v", Incarnation: "a", Address: "127.0.0.1:2"}, Expires: h.now.Add(time.Second),
				}}})
			}
			if len(effectsOf[dispatch.StartAttempt](effects)) > 0 {
				return true
			}
		}
		return false
	}

	// Guards against a deferred job that waits for its deadline while slots are free.
	// The budget's window is 10 s: it allows no retry within the first 2 s, and one
	// within the 10 s after them.
	It("starts again once the retry budget allows it", func() {
		h := newHarness(dispatch.PolicyHawthorn)
		effects := exhaustRetryBudgetAndReassign(h)
		Expect(startsWithin(h, effects, 2*time.Second)).To(BeFalse())
		Expect(startsWithin(h, nil, 10*time.Second)).To(BeTrue())
	})

	// Guards against jobs of a draining instance that wait past their deadline:
	// targets that move to another manager refuse more starts than the budget has
	// retries.
	It("starts again at once while its instance drains", func() {
		h := newHarness(dispatch.PolicyHawthorn)
		effects := append(exhaustRetryBudgetAndReassign(h), h.step(dispatch.Drain{})...)
		Expect(startsWithin(h, effects, time.Second)).To(BeTrue())
	})
})

var _ = Describe("a lender whose target refused a start as busy", func() {
	// Guards against lending a slot repeatedly while another attempt uses it, until
	// the borrower's retry budget is used up.
	It("lends the slot again only after an announcement that it is free", func() {
		lender := newHarness(dispatch.PolicyHawthorn)
		lender.target("w1", 1)
		lend := func() int {
			grants := effectsOf[dispatch.GrantSlots](append(
				lender.step(dispatch.SlotsRequested{Peer: "borrower", Class: "urgent", Count: 1}),
				// 250 ms exceeds maxRequestHold (200 ms), so the request is answered.
				lender.stepAfter(250*time.Millisecond, dispatch.Tick{})...))
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
