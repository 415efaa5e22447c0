package lease_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornshore.example/claims/lease"
	"hawthornshore.example/structs"
)

var start = time.UnixMilli(1_800_000_000_000)

// bench is instance "a" with the time it is stepped at and what it emitted last.
type bench struct {
	*lease.Core
	now     time.Time
	effects []lease.Effect
}

func newBench() *bench {
	return &bench{Core: lease.New(lease.Options{Instance: "a", Start: start}), now: start}
}

func (b *bench) step(ev lease.Event) {
	b.Step(b.now, ev)
	b.effects = b.Ready()
}

// at moves the time to d after the start and ticks.
func (b *bench) at(d time.Duration) {
	b.now = start.Add(d)
	b.step(lease.Tick{})
}

// emitted returns the last emitted effect of a type.
func emitted[E lease.Effect](b *bench) (last E, found bool) {
	for _, e := range b.effects {
		if e, ok := e.(E); ok {
			last, found = e, true
		}
	}
	return last, found
}

func must[E lease.Effect](b *bench) E {
	GinkgoHelper()
	e, found := emitted[E](b)
	Expect(found).To(BeTrue())
	return e
}

func view(epoch uint64, names ...string) lease.View {
	v := lease.View{Epoch: epoch}
	for _, n := range names {
		v.Members = append(v.Members, lease.Member{Name: n, Joined: 1})
	}
	return v
}

// grant answers a proposal as voters in that view would.
func grant(p lease.Propose, v lease.View) lease.ProposalApplied {
	return lease.ProposalApplied{
		Sequence: p.Sequence,
		Result:   lease.Result{Granted: true, Confirmed: true, Renewals: 1, View: v},
	}
}

func promised(peer, process string, sequence uint64) lease.PromiseAnswered {
	return lease.PromiseAnswered{Peer: peer, Incarnation: process, Sequence: sequence, Granted: true, Epoch: 1}
}

const second = time.Second

var _ = Describe("A lease", func() {
	It("lasts from the beginning of its renewal, not from the answer", func() {
		b := newBench()
		b.step(lease.ViewReceived{View: view(1, "a", "b")})
		p := must[lease.Propose](b)
		b.now = start.Add(second / 2)
		b.step(grant(p, view(1, "a", "b")))
		Expect(must[lease.LeaseChanged](b).Until).To(Equal(start.Add(structs.OwnerLease)))
		b.at(structs.OwnerLease)
		Expect(must[lease.LeaseChanged](b).Held).To(BeFalse())
	})

	It("needs the promise of every other member and cannot be vouched for by itself", func() {
		b := newBench()
		b.step(lease.ViewReceived{View: view(1, "a", "b", "c")})
		p := must[lease.Propose](b)
		b.step(grant(p, view(1, "a", "b", "c")))
		b.at(second)
		round := must[lease.RequestPromise](b).Sequence
		b.step(promised("b", "b1", round))
		_, extended := emitted[lease.LeaseChanged](b)
		Expect(extended).To(BeFalse())
		b.step(promised("c", "c1", round))
		Expect(must[lease.LeaseChanged](b).Until).To(Equal(start.Add(second + structs.OwnerLease)))

		sole := newBench()
		sole.step(lease.ViewReceived{View: view(1, "a")})
		sole.at(second)
		_, held := emitted[lease.LeaseChanged](sole)
		Expect(held).To(BeFalse())
	})

	It("is not taken up again on the promise of a process that lost its memory", func() {
		for _, gap := range []bool{false, true} {
			b := newBench()
			b.step(lease.ViewReceived{View: view(1, "a", "b")})
			b.step(grant(must[lease.Propose](b), view(1, "a", "b")))
			b.step(promised("b", "b1", must1(b)))
			if gap {
				b.at(4 * second)
			} else {
				b.at(2 * second)
			}
			b.step(promised("b", "b2", must1(b)))
			l, _ := emitted[lease.LeaseChanged](b)
			Expect(l.Held).To(Equal(!gap))
		}
	})

	It("is given up before the voters are asked to remove the instance", func() {
		b := newBench()
		b.step(lease.ViewReceived{View: view(1, "a", "b")})
		b.step(grant(must[lease.Propose](b), view(1, "a", "b")))
		b.step(lease.Leave{Token: 7, Epoch: 1})
		Expect(must[lease.LeaseChanged](b).Held).To(BeFalse())
		Expect(must[lease.Propose](b).Command).To(Equal(lease.Command{
			Kind: lease.CommandLeave, Instance: "a", Epoch: 1, Renewals: 1, Token: 7,
		}))
		b.step(lease.ViewReceived{View: view(2, "a", "b", "c")})
		Expect(must[lease.Propose](b).Command.Token).To(BeZero(), "a hand-over of an earlier epoch")
		b.step(lease.ViewReceived{View: view(3, "b", "c")})
		must[lease.LeaveCompleted](b)
	})
})

// must1 begins a round if none was begun at this time and returns its sequence.
func must1(b *bench) uint64 {
	GinkgoHelper()
	if _, ok := emitted[lease.RequestPromise](b); !ok {
		b.now = b.now.Add(second)
		b.step(lease.Tick{})
	}
	return must[lease.RequestPromise](b).Sequence
}

var _ = Describe("A promise", func() {
	ask := func(epoch uint64) lease.PromiseRequested {
		return lease.PromiseRequested{Peer: "o", Epoch: epoch, Duration: structs.OwnerLease, Sequence: 5}
	}

	It("is refused to a member that does not know the latest epoch", func() {
		b := newBench()
		b.step(lease.ViewReceived{View: view(2, "a", "b")})
		b.step(ask(1))
		Expect(must[lease.AnswerPromise](b)).To(Equal(lease.AnswerPromise{Peer: "o", Sequence: 5, Epoch: 2}))
	})

	It("to a removed member is waited out before the instance settles", func() {
		b := newBench()
		b.step(lease.ViewReceived{View: view(1, "a", "o")})
		b.at(10 * second)
		b.step(ask(1))
		b.step(lease.ViewReceived{View: view(2, "a")})
		Expect(must[lease.Propose](b).Command.Settled).To(BeFalse())
		b.at(10*second + lease.ExpiryDelay - 1)
		Expect(must[lease.Propose](b).Command.Settled).To(BeFalse())
		b.at(10*second + lease.ExpiryDelay + second)
		Expect(must[lease.Propose](b).Command.Settled).To(BeTrue())
	})

	It("that a restart forgot is waited out", func() {
		b := newBench()
		b.step(lease.ViewReceived{View: view(1, "a", "b")})
		Expect(must[lease.Propose](b).Command.Settled).To(BeFalse())
		b.step(grant(must[lease.Propose](b), view(1, "a", "b")))
		Expect(must[lease.LeaseChanged](b).Confirmed).To(BeFalse())
		b.at(lease.ExpiryDelay)
		Expect(must[lease.Propose](b).Command.Settled).To(BeTrue())
	})
})

var _ = Describe("A view", func() {
	It("reports a membership that was interrupted", func() {
		b := newBench()
		b.step(lease.ViewReceived{View: view(1, "a", "b")})
		again := view(5, "a", "b")
		b.step(lease.ViewReceived{View: again})
		Expect(must[lease.MembersChanged](b).Rejoined).To(BeFalse())
		again.Epoch, again.Members[0].Joined = 9, 7
		b.step(lease.ViewReceived{View: again})
		Expect(must[lease.MembersChanged](b).Rejoined).To(BeTrue())
	})
})
