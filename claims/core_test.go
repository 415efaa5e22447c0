package claims_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornshore.example/claims"
	"hawthornshore.example/structs"
)

var start = time.UnixMilli(1_800_000_000_000)

// recoveryTime is the time after start from which a core with a lease admits fresh IDs.
const recoveryTime = 3 * time.Second

// fixture is one core with its clock.
type fixture struct {
	*claims.Core
	now time.Time
}

// newFixture returns core "a" with members and a lease, after the recovery horizon.
func newFixture(members ...string) *fixture {
	f := &fixture{Core: claims.New(claims.Options{Instance: "a", DataCentre: "dc", Start: start}), now: start}
	f.step(claims.MembersChanged{Epoch: 1, Members: members})
	f.step(claims.LeaseChanged{Held: true})
	f.now = start.Add(recoveryTime)
	return f
}

func (f *fixture) step(ev claims.Event) []claims.Effect {
	f.Step(f.now, ev)
	return f.Ready()
}

func (f *fixture) after(d time.Duration) []claims.Effect {
	f.now = f.now.Add(d)
	return f.step(claims.Tick{})
}

// jobAt returns a job of a partition that a owns among members.
func jobAt(t time.Time, members ...string) structs.Job {
	for low := uint64(0); ; low++ {
		id := structs.JobIDAt(t, low<<8)
		if claims.Owner(members, claims.Partition(id)) == "a" {
			return structs.Job{ID: id, DeadlineUnixMS: t.Add(5 * time.Second).UnixMilli()}
		}
	}
}

func complete(id structs.JobID) structs.Answer {
	return structs.Answer{JobID: id, Outcome: structs.OutcomeComplete, Results: []structs.TaskResult{{RunMS: 1}}}
}

func replies(effects []claims.Effect) (out []claims.Reply) {
	for _, e := range effects {
		if r, ok := e.(claims.Reply); ok {
			out = append(out, r)
		}
	}
	return out
}

func onlyReply(effects []claims.Effect) structs.Answer {
	GinkgoHelper()
	r := replies(effects)
	Expect(r).To(HaveLen(1))
	return r[0].Answer
}

var _ = Describe("A claim", func() {
	// Guards against a job that runs while no other instance has its claim, and a
	// request with no answer or with two.
	It("is copied before its release and answers every request once", func() {
		f := newFixture("a", "b")
		j := jobAt(f.now, "a", "b")
		Expect(f.step(claims.Submit{Request: 1, Job: j, Digest: 7})).To(Equal([]claims.Effect{claims.Admit{Job: j}}))
		Expect(f.step(claims.Submit{Request: 2, Job: j, Digest: 7})).To(BeEmpty())
		Expect(f.step(claims.JobAdmitted{JobID: j.ID})).To(HaveExactElements(BeAssignableToTypeOf(claims.SendCopy{})))
		Expect(f.step(claims.CopyAcked{Peer: "b", JobID: j.ID})).To(Equal([]claims.Effect{claims.Release{JobID: j.ID}}))
		Expect(replies(f.step(claims.JobFinished{Answer: complete(j.ID)}))).To(HaveLen(2))
		Expect(onlyReply(f.step(claims.Submit{Request: 3, Job: j, Digest: 7})).Outcome).To(Equal(structs.OutcomeComplete))
		Expect(onlyReply(f.step(claims.Submit{Request: 4, Job: j, Digest: 8})).Reason).To(Equal(structs.ReasonBodyMismatch))
	})

	// Guards against a job that is never released because its backup is unreachable.
	It("is released and counted when the backup does not acknowledge it", func() {
		f := newFixture("a", "b")
		j := jobAt(f.now, "a", "b")
		f.step(claims.Submit{Request: 1, Job: j})
		f.step(claims.JobAdmitted{JobID: j.ID})
		at, ok := f.NextWake()
		Expect(ok).To(BeTrue())
		Expect(at).To(Equal(f.now.Add(structs.ClaimCopyTimeout)))
		Expect(f.after(structs.ClaimCopyTimeout)).To(Equal([]claims.Effect{
			claims.CopyTimedOut{JobID: j.ID, Peer: "b"}, claims.Release{JobID: j.ID},
		}))
		Expect(f.step(claims.CopyAcked{Peer: "b", JobID: j.ID})).To(BeEmpty())
	})

	// Guards against a start by an instance whose partitions another may own by now.
	It("is not released without the lease, and is answered not-run at the deadline", func() {
		f := newFixture("a")
		j := jobAt(f.now, "a")
		f.step(claims.Submit{Request: 1, Job: j})
		f.step(claims.LeaseChanged{Held: false})
		Expect(f.step(claims.JobAdmitted{JobID: j.ID})).To(BeEmpty())
		effects := f.after(6 * time.Second)
		Expect(effects).To(ContainElement(claims.CancelJob{JobID: j.ID}))
		Expect(onlyReply(effects).Outcome).To(Equal(structs.OutcomeNotRun))
		Expect(f.step(claims.LeaseChanged{Held: true})).To(BeEmpty())
	})

	// Guards against the answer not-run for a job that may have run.
	It("is unknown at the deadline once a task may have started", func() {
		f := newFixture("a")
		j := jobAt(f.now, "a")
		f.step(claims.Submit{Request: 1, Job: j})
		Expect(f.step(claims.JobAdmitted{JobID: j.ID})).To(ContainElement(claims.Release{JobID: j.ID}))
		Expect(onlyReply(f.after(6 * time.Second)).Outcome).To(Equal(structs.OutcomeUnknown))
		Expect(f.step(claims.JobFinished{Answer: complete(j.ID)})).To(BeEmpty())
		Expect(onlyReply(f.step(claims.Query{Request: 2, JobID: j.ID})).Outcome).To(Equal(structs.OutcomeComplete))
	})

	// Guards against an owner that was paused and admits a job that the next owner
	// admits, too.
	It("is not admitted after a pause that was longer than the lease", func() {
		f := newFixture("a")
		f.step(claims.LeaseChanged{Held: true, Until: f.now.Add(time.Second)})
		f.now = f.now.Add(2 * time.Second)
		Expect(onlyReply(f.step(claims.Submit{Request: 1, Job: jobAt(f.now, "a")})).Reason).To(Equal(structs.ReasonNoLease))
	})
})

var _ = Describe("A refusal", func() {
	// Guards against a job that runs after its caller received not-run.
	It("keeps a late duplicate from running", func() {
		f := newFixture("a")
		j := jobAt(f.now, "a")
		f.step(claims.Submit{Request: 1, Job: j})
		refused := structs.Answer{JobID: j.ID, Outcome: structs.OutcomeNotRun, Reason: structs.ReasonQueueFull}
		Expect(onlyReply(f.step(claims.JobFinished{Answer: refused}))).To(Equal(refused))
		Expect(f.step(claims.Submit{Request: 2, Job: j})).To(Equal([]claims.Effect{claims.Reply{Request: 2, Answer: refused}}))
	})

	// Guards against a refused job that a resubmission starts later, because its
	// record is gone.
	It("of an ID with a future timestamp stays in force once that time has passed", func() {
		f := newFixture("a")
		j := jobAt(f.now.Add(2*time.Second), "a")
		Expect(onlyReply(f.step(claims.Submit{Request: 1, Job: j})).Reason).To(Equal(structs.ReasonFutureJobID))
		f.after(2 * time.Second)
		a := onlyReply(f.step(claims.Submit{Request: 2, Job: j}))
		Expect(a.Outcome).To(Equal(structs.OutcomeNotRun))
		Expect(a.StatusCode()).To(Equal(400))
	})

	// Guards against a job that starts after its caller received that it is cancelled.
	It("by a cancellation that overtook its submission stays in force", func() {
		f := newFixture("a")
		j := jobAt(f.now, "a")
		Expect(onlyReply(f.step(claims.Cancel{Request: 1, JobID: j.ID})).Outcome).To(Equal(structs.OutcomeNotRun))
		Expect(onlyReply(f.step(claims.Submit{Request: 2, Job: j, Digest: 9})).Reason).To(Equal(structs.ReasonCancelled))
	})
})

var _ = Describe("An ID without a record", func() {
	// Guards against a second admission of an ID whose record is lost or dropped.
	It("is unknown below the horizon, when too old, and after its record was dropped", func() {
		f := newFixture("a")
		old := jobAt(start.Add(time.Second), "a")
		Expect(onlyReply(f.step(claims.Submit{Request: 1, Job: old})).Reason).To(Equal(structs.ReasonHorizon))
		j := jobAt(f.now, "a")
		f.step(claims.Submit{Request: 2, Job: j})
		f.step(claims.JobFinished{Answer: complete(j.ID)})
		f.after(structs.AnswerRetention)
		Expect(onlyReply(f.step(claims.Submit{Request: 3, Job: j})).Reason).To(Equal(structs.ReasonExpiredJobID))
		f.now = f.now.Add(-structs.AnswerRetention) // the wall clock is set back
		Expect(onlyReply(f.step(claims.Submit{Request: 4, Job: j})).Reason).To(Equal(structs.ReasonExpiredJobID))
	})
})
