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

	It("starts nothing before the claim is held", func() {
		h.target("w1", 2)
		Expect(effectsOf[dispatch.StartAttempt](h.step(dispatch.AdmitJob{Job: h.job("urgent", 1)}))).To(BeEmpty())
	})

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

	It("fails the job with its first failed task and stops the rest", func() {
		h.target("w1", 2)
		starts := effectsOf[dispatch.StartAttempt](h.submit(h.job("urgent", 3)))
		effects := h.step(dispatch.AttemptFailed{Attempt: starts[0].Attempt, Message: "boom"})
		Expect(outcomes(effects)).To(Equal([]structs.Outcome{structs.OutcomeFailed}))
		Expect(effectsOf[dispatch.CancelAttempt](effects)).To(HaveLen(1))
		Expect(effectsOf[dispatch.StartAttempt](effects)).To(BeEmpty())
		Expect(h.step(dispatch.AttemptFailed{Attempt: starts[1].Attempt})).To(BeEmpty(), "an answered job is not answered again")
	})

	It("answers not-run at the deadline only when no start may have happened", func() {
		Expect(h.target("w1", 1)).To(BeEmpty())
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

	It("does not retry an unresponsive attempt on another target without proof that it has not started", func() {
		h.target("w1", 1)
		starts := effectsOf[dispatch.StartAttempt](h.submit(h.job("urgent", 1)))
		h.target("w2", 1)
		effects := h.stepAfter(250*time.Millisecond, dispatch.AttemptUnresponsive{Attempt: starts[0].Attempt})
		Expect(effectsOf[dispatch.StartAttempt](effects)).To(BeEmpty())
		Expect(effectsOf[dispatch.ResolveAttempt](effects)).To(HaveLen(1))
		effects = h.step(dispatch.AttemptRefused{Attempt: starts[0].Attempt, Cause: dispatch.RefusedTombstone})
		again := effectsOf[dispatch.StartAttempt](effects)
		Expect(again).To(HaveLen(1))
		Expect(again[0].Target.TargetID).To(Equal("w2"), "the unresponsive target gets no work until its next announcement")
		Expect(again[0].Attempt.Number).To(Equal(2))
	})

	DescribeTable("answers unknown after a refusal that proves nothing about an unresponsive start", func(cause dispatch.RefusalCause) {
		h.target("w1", 1)
		h.target("w2", 1)
		starts := effectsOf[dispatch.StartAttempt](h.submit(h.job("urgent", 1)))
		h.step(dispatch.AttemptUnresponsive{Attempt: starts[0].Attempt})
		effects := h.step(dispatch.AttemptRefused{Attempt: starts[0].Attempt, Cause: cause})
		Expect(effectsOf[dispatch.StartAttempt](effects)).To(BeEmpty())
		Expect(outcomes(effects)).To(Equal([]structs.Outcome{structs.OutcomeUnknown}))
	}, Entry("another incarnation", dispatch.RefusedIncarnation), Entry("not sent", dispatch.RefusedNotSent))

	It("answers unknown when the target of an acknowledged task restarts", func() {
		h.target("w1", 1)
		starts := effectsOf[dispatch.StartAttempt](h.submit(h.job("urgent", 1)))
		h.step(dispatch.AttemptAccepted{Attempt: starts[0].Attempt})
		effects := h.step(dispatch.TargetAnnounced{Announcement: announcement("w1", "b", 1)})
		Expect(outcomes(effects)).To(Equal([]structs.Outcome{structs.OutcomeUnknown}))
	})

	It("cancels a waiting job as not-run", func() {
		j := h.job("urgent", 2)
		h.target("w1", 1)
		h.submit(h.job("urgent", 1))
		h.submit(j)
		Expect(outcomes(h.step(dispatch.CancelJob{JobID: j.ID}))).To(Equal([]structs.Outcome{structs.OutcomeNotRun}))
	})

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

var _ = Describe("targets", func() {
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
	// refuse refuses a job's only task as busy until the retry budget is used up,
	// and then reassigns the targets to another instance.
	refuse := func(h *harness) []dispatch.Effect {
		const targets = 11 // one more than the retries
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
	It("starts again once the retry budget allows it", func() {
		h := newHarness(dispatch.PolicyHawthorn)
		effects := refuse(h)
		Expect(startsWithin(h, effects, 2*time.Second)).To(BeFalse())
		Expect(startsWithin(h, nil, 10*time.Second)).To(BeTrue())
	})

	// Guards against jobs of a draining instance that wait past their deadline:
	// targets that move to another manager refuse more starts than the budget has
	// retries.
	It("starts again at once while its instance drains", func() {
		h := newHarness(dispatch.PolicyHawthorn)
		effects := append(refuse(h), h.step(dispatch.Drain{})...)
		Expect(startsWithin(h, effects, time.Second)).To(BeTrue())
	})

	// Guards against lending a slot repeatedly while another attempt uses it, until
	// the borrower's retry budget is used up.
	It("lends the slot again only after an announcement that it is free", func() {
		lender := newHarness(dispatch.PolicyHawthorn)
		lender.target("w1", 1)
		lend := func() int {
			grants := effectsOf[dispatch.GrantSlots](append(
				lender.step(dispatch.SlotsRequested{Peer: "borrower", Class: "urgent", Count: 1}),
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
