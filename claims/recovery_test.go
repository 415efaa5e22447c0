package claims_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornshore.example/claims"
	"hawthornshore.example/structs"
)

var _ = Describe("The copies at a backup", func() {
	copyOf := func(j structs.Job, a *structs.Answer) claims.CopyReceived {
		return claims.CopyReceived{Peer: "o", Copy: claims.Copy{JobID: j.ID, Digest: 1, DeadlineUnixMS: j.DeadlineUnixMS, Answer: a}}
	}

	// backup returns "a" as the backup of "o", and a job that it owns without "o".
	backup := func() (*fixture, structs.Job) {
		f := newFixture("a")
		return f, jobAt(f.now, "a")
	}

	// Guards against a second start of a job that the lost owner admitted.
	It("answer resubmissions after a takeover and never start a job", func() {
		f, j := backup()
		done := complete(j.ID)
		f.step(copyOf(j, nil))
		Expect(onlyReply(f.step(claims.Submit{Request: 1, Job: j, Digest: 1})).Reason).To(Equal(structs.ReasonOwnerLost))
		f.step(copyOf(j, &done))
		Expect(onlyReply(f.step(claims.Submit{Request: 2, Job: j, Digest: 1}))).To(Equal(done))
		Expect(onlyReply(f.step(claims.Submit{Request: 3, Job: j, Digest: 2})).Reason).To(Equal(structs.ReasonBodyMismatch))
	})

	// Guards against records that do not survive two takeovers in a row.
	It("still answer when the next owner is lost right after it copied them", func() {
		// o admitted and finished the job, a took over and copied to c, a is lost.
		f, j := backup()
		done := complete(j.ID)
		f.step(copyOf(j, &done))
		unfinished := jobAt(f.now.Add(time.Millisecond), "a")
		f.step(copyOf(unfinished, nil))
		effects := f.step(claims.MembersChanged{Epoch: 2, Members: []string{"a", "c"}})
		effects = append(effects, f.after(time.Millisecond)...)

		c := claims.New(claims.Options{Instance: "c", Start: f.now})
		c.Step(f.now, claims.MembersChanged{Epoch: 2, Members: []string{"a", "c"}})
		for _, e := range effects {
			if s, ok := e.(claims.SendCopy); ok {
				Expect(s.Peer).To(Equal("c"))
				c.Step(f.now, claims.CopyReceived{Peer: "a", Copy: s.Copy})
			}
		}
		c.Step(f.now, claims.MembersChanged{Epoch: 3, Members: []string{"c"}})
		c.Step(f.now, claims.LeaseChanged{Held: true, Epoch: 3, Confirmed: true})
		uncopied := jobAt(f.now.Add(500*time.Millisecond), "a")
		c.Ready()
		c.Step(f.now, claims.Submit{Request: 1, Job: j, Digest: 1})
		c.Step(f.now, claims.Submit{Request: 2, Job: unfinished, Digest: 1})
		c.Step(f.now, claims.Submit{Request: 3, Job: uncopied, Digest: 1})
		answers := replies(c.Ready())
		Expect(answers).To(HaveLen(3))
		Expect(answers[0].Answer).To(Equal(done))
		Expect(answers[1].Answer.Reason).To(Equal(structs.ReasonOwnerLost))
		Expect(answers[2].Answer.Reason).To(Equal(structs.ReasonHorizon))
	})

	// Guards against a second admission by an owner that lost its records in a restart.
	It("are sent back to a restarted owner, which answers unknown for its earlier jobs", func() {
		f := newFixture("a", "o")
		j := jobAt(f.now, "a", "o")
		for low := uint64(1); claims.Owner([]string{"a", "o"}, claims.Partition(j.ID)) != "o"; low++ {
			j.ID = structs.JobIDAt(f.now, low)
		}
		f.step(copyOf(j, nil))
		f.step(claims.Submit{Request: 1, Job: j, Digest: 1})
		effects := f.step(claims.PeerRestarted{Peer: "o"})
		Expect(effects).To(HaveLen(2))
		Expect(onlyReply(effects).Reason).To(Equal(structs.ReasonOwnerLost))
		sent := effects[1].(claims.SendCopy)
		o := claims.New(claims.Options{Instance: "o", Start: f.now})
		o.Step(f.now, claims.MembersChanged{Epoch: 1, Members: []string{"a", "o"}})
		o.Step(f.now, claims.CopyReceived{Peer: "a", Copy: sent.Copy})
		o.Step(f.now, claims.Submit{Request: 1, Job: j, Digest: 1})
		Expect(onlyReply(o.Ready()).Reason).To(Equal(structs.ReasonOwnerLost))
	})
})

var _ = Describe("An owner", func() {
	// Guards against a second admission of jobs that another instance admitted in
	// the meantime.
	It("recovers its partitions again after an interrupted membership", func() {
		f := newFixture("a")
		f.step(claims.MembersChanged{Epoch: 3, Members: []string{"a"}, MembershipInterrupted: true})
		Expect(onlyReply(f.step(claims.Submit{Request: 1, Job: jobAt(f.now, "a")})).Reason).To(Equal(structs.ReasonHorizon))
	})

	// Guards against a second admission of an ID whose record expired too early
	// because of a wrong clock.
	It("with a skewed clock refuses new jobs, and admits no earlier ID afterwards", func() {
		f := newFixture("a")
		f.step(claims.ClockSkewChanged{Skewed: true})
		a := onlyReply(f.step(claims.Submit{Request: 1, Job: jobAt(f.now, "a")}))
		Expect(a.Outcome).To(Equal(structs.OutcomeNotRun))
		Expect(a.Reason).To(Equal(structs.ReasonClockSkew))
		f.step(claims.ClockSkewChanged{})
		fresh := jobAt(f.now.Add(time.Second), "a")
		Expect(onlyReply(f.step(claims.Submit{Request: 2, Job: fresh})).Reason).To(Equal(structs.ReasonHorizon))
	})

	// Guards against unbounded memory, and a second admission once the limits are
	// reached.
	It("limits its records and results without admitting a job again", func() {
		f := &fixture{now: start, Core: claims.New(claims.Options{
			Instance: "a", Start: start, MaxRecords: 2, MaxAnswerBytes: 40,
		})}
		f.step(claims.MembersChanged{Epoch: 1, Members: []string{"a"}})
		f.step(claims.LeaseChanged{Held: true})
		f.now = start.Add(recoveryTime)
		var jobs []structs.Job
		for i := range claims.RequestID(3) {
			j := jobAt(f.now.Add(time.Duration(i)*time.Millisecond), "a")
			jobs = append(jobs, j)
			f.step(claims.Submit{Request: i, Job: j})
			f.step(claims.JobAdmitted{JobID: j.ID})
			f.step(claims.JobFinished{Answer: complete(j.ID)})
		}
		Expect(onlyReply(f.step(claims.Submit{Request: 9, Job: jobs[0]})).Outcome).To(Equal(structs.OutcomeUnknown))
		Expect(onlyReply(f.step(claims.Submit{Request: 9, Job: jobs[1]})).Outcome).To(Equal(structs.OutcomeComplete))
		Expect(onlyReply(f.step(claims.Submit{Request: 9, Job: jobs[2]})).Reason).To(Equal(structs.ReasonNoCapacity))
	})
})
