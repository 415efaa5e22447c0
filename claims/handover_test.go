package claims_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornshore.example/claims"
	"hawthornshore.example/structs"
)

// ownerPair is an owner "a" and its successor "b", connected by a lossless link.
type ownerPair struct {
	now  time.Time
	a, b *claims.Core
	out  map[*claims.Core][]claims.Effect // effects that are not messages
	drop func(claims.Effect) bool
}

func newPair() *ownerPair {
	p := &ownerPair{
		now:  start,
		a:    claims.New(claims.Options{Instance: "a", Start: start}),
		b:    claims.New(claims.Options{Instance: "b", Start: start}),
		drop: func(claims.Effect) bool { return false },
	}
	for _, core := range []*claims.Core{p.a, p.b} {
		p.step(core, claims.MembersChanged{Epoch: 1, Members: []string{"a", "b"}})
		p.step(core, claims.LeaseChanged{Held: true, Epoch: 1, Confirmed: true})
	}
	p.now = start.Add(recoveryTime)
	return p
}

// step steps one core, delivers all messages and returns the other effects.
func (p *ownerPair) step(core *claims.Core, ev claims.Event) []claims.Effect {
	p.out = make(map[*claims.Core][]claims.Effect)
	core.Step(p.now, ev)
	for range 20 {
		p.now = p.now.Add(10 * time.Millisecond)
		p.a.Step(p.now, claims.Tick{})
		p.deliver(p.a, "a", p.b)
		p.b.Step(p.now, claims.Tick{})
		p.deliver(p.b, "b", p.a)
	}
	return p.out[core]
}

func (p *ownerPair) deliver(from *claims.Core, name string, to *claims.Core) {
	for _, e := range from.Ready() {
		switch m := e.(type) {
		case claims.SendCopy:
			if !p.drop(e) {
				to.Step(p.now, claims.CopyReceived{Peer: name, Copy: m.Copy})
			}
		case claims.SendHandOver:
			to.Step(p.now, claims.HandOverReceived{Peer: name, HandOver: m.HandOver})
		case claims.AckHandOver:
			to.Step(p.now, claims.HandOverAcked{Peer: name, Token: m.Token})
		default:
			p.out[from] = append(p.out[from], e)
		}
	}
}

// addRefusal records a refused job at a, which is not copied.
func (p *ownerPair) addRefusal(request claims.RequestID) structs.Job {
	j := jobAt(p.now, "a", "b")
	p.step(p.a, claims.Submit{Request: request, Job: j})
	p.step(p.a, claims.JobFinished{Answer: structs.Answer{JobID: j.ID, Outcome: structs.OutcomeNotRun}})
	return j
}

func (p *ownerPair) takeOver(token uint64) {
	p.step(p.b, claims.MembersChanged{Epoch: 2, Members: []string{"b"}, Left: "a", Token: token})
	p.step(p.b, claims.LeaseChanged{Held: true, Epoch: 2, Confirmed: true})
}

func handOverCompleted(effects []claims.Effect) claims.HandOverCompleted {
	GinkgoHelper()
	for _, e := range effects {
		if h, ok := e.(claims.HandOverCompleted); ok {
			return h
		}
	}
	Fail("no HandOverCompleted")
	return claims.HandOverCompleted{}
}

var _ = Describe("Draining", func() {
	// Guards against a graceful stop after which the new owner answers unknown for
	// fresh jobs, as after a failure.
	It("lets the new owner admit fresh IDs at once and answer the refused ones", func() {
		p := newPair()
		refused := p.addRefusal(1)
		token := handOverCompleted(p.step(p.a, claims.Drain{})).Token
		fresh := jobAt(p.now, "a", "b")
		Expect(p.step(p.a, claims.Submit{Request: 2, Job: fresh})).To(BeEmpty(), "must wait for the new owner")
		p.takeOver(token)
		Expect(onlyReply(p.step(p.b, claims.Submit{Request: 1, Job: refused})).Outcome).To(Equal(structs.OutcomeNotRun))
		Expect(p.step(p.b, claims.Submit{Request: 2, Job: fresh})).To(Equal([]claims.Effect{claims.Admit{Job: fresh}}))
		moved := claims.MembersChanged{Epoch: 2, Members: []string{"b"}}
		Expect(p.step(p.a, moved)).To(HaveExactElements(BeAssignableToTypeOf(claims.Forward{})))
	})

	// Guards against a new owner that applies the seals of another hand-over.
	It("does not lower the horizon for a hand-over whose token is not in the agreed view", func() {
		p := newPair()
		token := handOverCompleted(p.step(p.a, claims.Drain{})).Token
		fresh := jobAt(p.now, "a", "b")
		p.takeOver(token + 2)
		Expect(onlyReply(p.step(p.b, claims.Submit{Request: 1, Job: fresh})).Reason).To(Equal(structs.ReasonHorizon))
	})

	// Guards against a second admission of a job whose record was lost in the transfer.
	It("is not complete while a record is missing at the new owner", func() {
		p := newPair()
		p.addRefusal(1)
		p.drop = func(claims.Effect) bool { return true }
		Expect(p.step(p.a, claims.Drain{})).To(BeEmpty())
		p.drop = func(claims.Effect) bool { return false }
		p.now = p.now.Add(2 * time.Second)
		handOverCompleted(p.step(p.a, claims.Tick{}))
	})

	// Guards against a cancellation that only the draining owner has a record of.
	It("records nothing new once the records are handed over", func() {
		p := newPair()
		handOverCompleted(p.step(p.a, claims.Drain{}))
		cancelled := onlyReply(p.step(p.a, claims.Cancel{Request: 1, JobID: jobAt(p.now, "a", "b").ID}))
		Expect(cancelled.Outcome).To(Equal(structs.OutcomeUnknown))
	})

	// Guards against a hand-over that leaves out the answers of jobs that are still
	// running.
	It("waits for the running jobs", func() {
		p := newPair()
		j := jobAt(p.now, "a", "b")
		p.step(p.a, claims.Submit{Request: 1, Job: j})
		p.step(p.a, claims.JobAdmitted{JobID: j.ID})
		Expect(p.step(p.a, claims.Drain{})).To(BeEmpty())
		handOverCompleted(p.step(p.a, claims.JobFinished{Answer: complete(j.ID)}))
	})
})
