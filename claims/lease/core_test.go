package lease_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornshore.example/claims/lease"
	"hawthornshore.example/structs"
)

var start = time.UnixMilli(1_800_000_000_000)

// fixture is the core of instance "a" with its clock and the effects of its last step.
type fixture struct {
	*lease.Core
	now     time.Time
	effects []lease.Effect
}

func newFixture() *fixture {
	return &fixture{Core: lease.New(lease.Options{Instance: "a", Start: start}), now: start}
}

func (f *fixture) step(ev lease.Event) {
	f.Step(f.now, ev)
	f.effects = f.Ready()
}

// at sets the time to d after the start and ticks.
func (f *fixture) at(d time.Duration) {
	f.now = start.Add(d)
	f.step(lease.Tick{})
}

// emitted returns the last effect of a type in the last step.
func emitted[E lease.Effect](f *fixture) (last E, found bool) {
	for _, e := range f.effects {
		if e, ok := e.(E); ok {
			last, found = e, true
		}
	}
	return last, found
}

func mustEmit[E lease.Effect](f *fixture) E {
	GinkgoHelper()
	e, found := emitted[E](f)
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

// grant returns the voters' positive answer to a proposal in a view.
func grant(p lease.Propose, v lease.View) lease.ProposalApplied {
	return lease.ProposalApplied{
		Sequence: p.Sequence,
		Result:   lease.Result{Granted: true, Confirmed: true, Renewals: 1, View: v},
	}
}

func promiseFrom(peer, incarnation string, sequence uint64) lease.PromiseReplyReceived {
	return lease.PromiseReplyReceived{Peer: peer, Incarnation: incarnation, Sequence: sequence, Granted: true, Epoch: 1}
}

const second = time.Second

var _ = Describe("A lease", func() {
	// Guards against an owner that acts after the voters count its lease as expired.
	It("lasts from the beginning of its renewal, not from the answer", func() {
		f := newFixture()
		f.step(lease.ViewReceived{View: view(1, "a", "b")})
		p := mustEmit[lease.Propose](f)
		f.now = start.Add(second / 2)
		f.step(grant(p, view(1, "a", "b")))
		Expect(mustEmit[lease.LeaseChanged](f).Until).To(Equal(start.Add(structs.OwnerLease)))
		f.at(structs.OwnerLease)
		Expect(mustEmit[lease.LeaseChanged](f).Held).To(BeFalse())
	})

	// Guards against a lease without the promise of a member that may take over.
	It("is extended by the promises of all other members, and by none for a sole member", func() {
		f := newFixture()
		f.step(lease.ViewReceived{View: view(1, "a", "b", "c")})
		p := mustEmit[lease.Propose](f)
		f.step(grant(p, view(1, "a", "b", "c")))
		f.at(second)
		round := mustEmit[lease.SendPromiseRequest](f).Sequence
		f.step(promiseFrom("b", "b1", round))
		_, extended := emitted[lease.LeaseChanged](f)
		Expect(extended).To(BeFalse())
		f.step(promiseFrom("c", "c1", round))
		Expect(mustEmit[lease.LeaseChanged](f).Until).To(Equal(start.Add(second + structs.OwnerLease)))

		sole := newFixture()
		sole.step(lease.ViewReceived{View: view(1, "a")})
		sole.at(second)
		_, held := emitted[lease.LeaseChanged](sole)
		Expect(held).To(BeFalse())
	})

	// Guards against a lease extended by a new process whose predecessor may have
	// let another instance take over.
	It("is not resumed after its end on the promise of a restarted process", func() {
		for _, gap := range []bool{false, true} {
			f := newFixture()
			f.step(lease.ViewReceived{View: view(1, "a", "b")})
			f.step(grant(mustEmit[lease.Propose](f), view(1, "a", "b")))
			f.step(promiseFrom("b", "b1", currentRound(f)))
			if gap {
				f.at(4 * second)
			} else {
				f.at(2 * second)
			}
			f.step(promiseFrom("b", "b2", currentRound(f)))
			l, _ := emitted[lease.LeaseChanged](f)
			Expect(l.Held).To(Equal(!gap))
		}
	})

	// Guards against an instance that still acts as owner after its removal.
	It("is given up before the instance proposes its removal", func() {
		f := newFixture()
		f.step(lease.ViewReceived{View: view(1, "a", "b")})
		f.step(grant(mustEmit[lease.Propose](f), view(1, "a", "b")))
		f.step(lease.Leave{Token: 7, Epoch: 1})
		Expect(mustEmit[lease.LeaseChanged](f).Held).To(BeFalse())
		Expect(mustEmit[lease.Propose](f).Command).To(Equal(lease.Command{
			Kind: lease.CommandLeave, Instance: "a", Epoch: 1, Renewals: 1, Token: 7,
		}))
		f.step(lease.ViewReceived{View: view(2, "a", "b", "c")})
		Expect(mustEmit[lease.Propose](f).Command.Token).To(BeZero(), "a hand-over of an earlier epoch")
		f.step(lease.ViewReceived{View: view(3, "b", "c")})
		mustEmit[lease.LeaveCompleted](f)
	})
})

// currentRound begins a round if none was begun at this time and returns its sequence.
func currentRound(f *fixture) uint64 {
	GinkgoHelper()
	if _, ok := emitted[lease.SendPromiseRequest](f); !ok {
		f.now = f.now.Add(second)
		f.step(lease.Tick{})
	}
	return mustEmit[lease.SendPromiseRequest](f).Sequence
}

var _ = Describe("A promise", func() {
	request := func(epoch uint64) lease.PromiseRequestReceived {
		return lease.PromiseRequestReceived{Peer: "o", Epoch: epoch, Duration: structs.OwnerLease, Sequence: 5}
	}

	// Guards against a lease that is extended in an epoch that has been replaced.
	It("is refused to a member with an older epoch", func() {
		f := newFixture()
		f.step(lease.ViewReceived{View: view(2, "a", "b")})
		f.step(request(1))
		Expect(mustEmit[lease.SendPromiseReply](f)).To(Equal(lease.SendPromiseReply{Peer: "o", Sequence: 5, Epoch: 2}))
	})

	// Guards against a takeover while the removed member still acts under the promise.
	It("to a removed member is waited out before the instance settles", func() {
		f := newFixture()
		f.step(lease.ViewReceived{View: view(1, "a", "o")})
		f.at(10 * second)
		f.step(request(1))
		f.step(lease.ViewReceived{View: view(2, "a")})
		Expect(mustEmit[lease.Propose](f).Command.Settled).To(BeFalse())
		f.at(10*second + lease.ExpiryDelay - 1)
		Expect(mustEmit[lease.Propose](f).Command.Settled).To(BeFalse())
		f.at(10*second + lease.ExpiryDelay + second)
		Expect(mustEmit[lease.Propose](f).Command.Settled).To(BeTrue())
	})

	// Guards against a takeover from a member that still acts under a promise lost
	// in the restart.
	It("of an earlier process is waited out after a restart", func() {
		f := newFixture()
		f.step(lease.ViewReceived{View: view(1, "a", "b")})
		Expect(mustEmit[lease.Propose](f).Command.Settled).To(BeFalse())
		f.step(grant(mustEmit[lease.Propose](f), view(1, "a", "b")))
		Expect(mustEmit[lease.LeaseChanged](f).Confirmed).To(BeFalse())
		f.at(lease.ExpiryDelay)
		Expect(mustEmit[lease.Propose](f).Command.Settled).To(BeTrue())
	})
})

var _ = Describe("A view", func() {
	// Guards against an instance that keeps partitions ready which others owned in
	// the meantime.
	It("reports a membership that was interrupted", func() {
		f := newFixture()
		f.step(lease.ViewReceived{View: view(1, "a", "b")})
		again := view(5, "a", "b")
		f.step(lease.ViewReceived{View: again})
		Expect(mustEmit[lease.MembersChanged](f).MembershipInterrupted).To(BeFalse())
		again.Epoch, again.Members[0].Joined = 9, 7
		f.step(lease.ViewReceived{View: again})
		Expect(mustEmit[lease.MembersChanged](f).MembershipInterrupted).To(BeTrue())
	})
})
