package sysstate_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornshore.example/consensus/sysstate"
)

// log applies commands of one leader at a time to a machine.
type log struct {
	machine *sysstate.Machine
	ctx     sysstate.Context
}

func newLog() *log {
	return &log{machine: sysstate.NewMachine(), ctx: sysstate.Context{Term: 1, UnixMS: 77}}
}

func (l *log) apply(command *sysstate.Command) *sysstate.Answer {
	data, err := sysstate.EncodeCommand(command)
	Expect(err).NotTo(HaveOccurred())
	return l.machine.Apply(l.ctx, data)
}

func (l *log) wait(d time.Duration) { l.ctx.Clock += d }

func (l *log) newLeader() { l.ctx.Term, l.ctx.Clock = l.ctx.Term+1, 0 }

func (l *log) config(base uint64, id, author, config string) *sysstate.Answer {
	return l.apply(&sysstate.Command{OperationId: id, Body: &sysstate.Command_ApplyConfig{
		ApplyConfig: &sysstate.ApplyConfig{BaseVersion: base, Config: []byte(config), Author: author, Summary: "by " + author},
	}})
}

const leaseMS = 3000

func (l *log) join(name string) *sysstate.Answer { return l.joinAs(name, "1") }

func (l *log) joinAs(name, incarnation string) *sysstate.Answer {
	return l.apply(&sysstate.Command{Body: &sysstate.Command_JoinMember{JoinMember: &sysstate.JoinMember{
		DataCentre: "dc", Instance: name, Incarnation: incarnation, LeaseMs: leaseMS,
	}}})
}

func (l *log) renew(name string, epoch uint64, known ...string) *sysstate.Answer {
	return l.apply(&sysstate.Command{Body: &sysstate.Command_RenewLease{RenewLease: &sysstate.RenewLease{
		DataCentre: "dc", Instance: name, Incarnation: "1", Epoch: epoch, LeaseMs: leaseMS, KnownMembers: known,
	}}})
}

func (l *log) takeOver(owner, by string) *sysstate.Answer {
	return l.apply(&sysstate.Command{Body: &sysstate.Command_TakeOver{TakeOver: &sysstate.TakeOver{
		DataCentre: "dc", Owner: owner, OwnerIncarnation: "1", By: by, ByIncarnation: "1",
	}}})
}

// centre makes the given instances agreed members.
func (l *log) centre(names ...string) uint64 {
	for i, name := range names {
		answer := l.join(name)
		for _, member := range names[:i] {
			answer = l.renew(member, answer.DataCentre.Epoch, name)
		}
	}
	answer := l.join(names[0])
	Expect(answer.DataCentre.Members).To(HaveLen(len(names)))
	return answer.DataCentre.Epoch
}

func haveStatus(status sysstate.Status) OmegaMatcher {
	return WithTransform(func(a *sysstate.Answer) sysstate.Status { return a.Status }, Equal(status))
}

var ok = sysstate.Status_STATUS_OK

var _ = Describe("The system configuration", func() {
	It("lets one of two racing operators win and tells the other who did", func() {
		l := newLog()
		Expect(l.config(0, "op-1", "ada", `{}`).Version).To(Equal(uint64(1)))
		loser := l.config(0, "op-2", "ben", `{}`)
		Expect(loser).To(haveStatus(sysstate.Status_STATUS_VERSION_CONFLICT))
		Expect(loser.Change.Author).To(Equal("ada"))
		Expect(loser.Change.Summary).To(Equal("by ada"))
		l.config(1, "op-3", "eve", `{}`)
		Expect(l.config(0, "op-4", "ben", `{}`).Change.Author).To(Equal("ada"), "the change that won the race")
	})

	It("answers a resend with the first answer, later changes and restores included", func() {
		l := newLog()
		first := l.config(0, "op-1", "ada", `{}`)
		l.config(1, "op-2", "ben", `{}`)
		data, err := l.machine.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		l.machine = sysstate.NewMachine()
		Expect(l.machine.Restore(data)).To(Succeed())
		again := l.config(0, "op-1", "ada", `{}`)
		Expect(again.Repeated).To(BeTrue())
		Expect(again.Version).To(Equal(first.Version))
		Expect(l.machine.Version()).To(Equal(uint64(2)))
		Expect(l.config(0, "op-1", "ada", `{"tenants":{}}`)).To(haveStatus(sysstate.Status_STATUS_REUSED_OPERATION_ID))
	})

	It("bounds history and operation IDs", func() {
		l := newLog()
		for i := range uint64(sysstate.MaxOperations + 10) {
			l.config(i, fmt.Sprint("op-", i), "ada", `{}`)
		}
		Expect(l.machine.History()).To(HaveLen(sysstate.MaxHistory))
		Expect(l.config(0, "op-0", "ada", `{}`)).To(haveStatus(sysstate.Status_STATUS_VERSION_CONFLICT))
	})

	It("sets the version itself and refuses what it cannot read", func() {
		l := newLog()
		l.config(0, "", "ada", `{"version":99,"classes":{"prints":{"name":"prints","rank":1}}}`)
		config, err := l.machine.Config()
		Expect(err).NotTo(HaveOccurred())
		Expect(config.Version).To(Equal(uint64(1)))
		Expect(config.Classes["prints"].Rank).To(Equal(1))
		Expect(l.config(1, "", "ada", `{"classes":7}`)).To(haveStatus(sysstate.Status_STATUS_BAD_COMMAND))
		Expect(l.machine.Apply(l.ctx, []byte{0xff})).To(haveStatus(sysstate.Status_STATUS_BAD_COMMAND))
		Expect(l.machine.Version()).To(Equal(uint64(1)))
	})

	It("refuses a snapshot with an older version", func() {
		l := newLog()
		old, err := l.machine.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		l.config(0, "", "ada", `{}`)
		Expect(l.machine.Restore(old)).To(MatchError(ContainSubstring("older")))
		Expect(l.machine.Version()).To(Equal(uint64(1)))
	})
})

var _ = Describe("Members and leases", func() {
	It("grants a takeover only after the lease and its margin", func() {
		l := newLog()
		epoch := l.centre("a", "b")
		l.wait(time.Second)
		Expect(l.renew("a", epoch, "b")).To(haveStatus(ok))
		l.wait(3299 * time.Millisecond)
		held := l.takeOver("a", "b")
		Expect(held).To(haveStatus(sysstate.Status_STATUS_LEASE_HELD))
		Expect(held.WaitMs).To(Equal(int64(2)))
		l.wait(time.Millisecond)
		answer := l.takeOver("a", "b")
		Expect(answer).To(haveStatus(ok))
		Expect(answer.DataCentre.Epoch).To(Equal(epoch + 1))
		Expect(l.renew("a", epoch, "b")).To(haveStatus(sysstate.Status_STATUS_NOT_MEMBER))
	})

	It("counts every lease as renewed when a new leader begins", func() {
		l := newLog()
		l.centre("a", "b")
		l.wait(time.Hour)
		l.newLeader()
		l.wait(3299 * time.Millisecond)
		Expect(l.takeOver("a", "b")).To(haveStatus(sysstate.Status_STATUS_LEASE_HELD))
		l.wait(time.Millisecond)
		Expect(l.takeOver("a", "b")).To(haveStatus(ok))
	})

	It("makes an instance a member only when every owner knows it", func() {
		l := newLog()
		epoch := l.centre("a", "b")
		Expect(l.join("c")).To(haveStatus(sysstate.Status_STATUS_PENDING))
		Expect(l.renew("a", epoch, "c").DataCentre.Epoch).To(Equal(epoch))
		Expect(l.takeOver("a", "c")).To(haveStatus(sysstate.Status_STATUS_NOT_MEMBER))
		Expect(l.renew("c", epoch)).To(haveStatus(sysstate.Status_STATUS_PENDING))
		Expect(l.renew("b", epoch, "c").DataCentre.Epoch).To(Equal(epoch + 1))
		Expect(l.renew("a", epoch, "c")).To(haveStatus(sysstate.Status_STATUS_STALE_EPOCH))
		Expect(l.renew("c", epoch+1)).To(haveStatus(ok))
	})

	It("blocks a joining instance on an isolated owner until that one is taken over", func() {
		l := newLog()
		epoch := l.centre("a", "b")
		l.join("c")
		l.wait(time.Hour)
		Expect(l.renew("b", epoch, "c").DataCentre.Members).To(HaveLen(2), "a does not know c and may act under promises")
		answer := l.takeOver("a", "b")
		Expect(answer).To(haveStatus(ok))
		Expect(answer.DataCentre.Members).To(HaveLen(2))
		Expect(answer.DataCentre.Members[1].Instance).To(Equal("c"))
	})

	It("lets a member that left be unknown to the others until they renew", func() {
		l := newLog()
		epoch := l.centre("a", "b", "c")
		leave := &sysstate.LeaveMember{DataCentre: "dc", Instance: "c", Incarnation: "1"}
		answer := l.apply(&sysstate.Command{Body: &sysstate.Command_LeaveMember{LeaveMember: leave}})
		Expect(answer.DataCentre.Epoch).To(Equal(epoch + 1))
		Expect(l.join("c")).To(haveStatus(sysstate.Status_STATUS_PENDING))
	})

	It("replaces an earlier incarnation after its lease", func() {
		l := newLog()
		epoch := l.centre("a")
		Expect(l.joinAs("a", "2")).To(haveStatus(sysstate.Status_STATUS_LEASE_HELD))
		l.wait(3300 * time.Millisecond)
		Expect(l.joinAs("a", "2").DataCentre.Epoch).To(Equal(epoch + 1))
		Expect(l.renew("a", epoch+1)).To(haveStatus(sysstate.Status_STATUS_NOT_MEMBER), "the earlier incarnation")
	})

	// Guards the rule on which the ownership of partitions rests: an owner that
	// may still act knows every instance that could take over from it.
	It("keeps every agreed member known to every owner, and epochs growing", func() {
		random := rand.New(rand.NewPCG(1, 1))
		l := newLog()
		names := []string{"a", "b", "c", "d", "e"}
		pick := func() string { return names[random.IntN(len(names))] }
		last, changes := uint64(0), 0
		for range 20000 {
			l.wait(time.Duration(random.IntN(500)) * time.Millisecond)
			if random.IntN(200) == 0 {
				l.newLeader()
			}
			answer := l.join(pick())
			switch random.IntN(3) {
			case 0:
				answer = l.renew(pick(), answer.DataCentre.Epoch, pick(), pick(), pick())
			case 1:
				answer = l.takeOver(pick(), pick())
			}
			if answer.DataCentre == nil {
				continue
			}
			Expect(answer.DataCentre.Epoch).To(BeNumerically(">=", last))
			if answer.DataCentre.Epoch > last {
				changes++
			}
			last = answer.DataCentre.Epoch
			for _, owner := range answer.DataCentre.Members {
				for _, member := range answer.DataCentre.Members {
					Expect(owner.KnownMembers).To(ContainElement(member.Instance), owner.Instance)
				}
			}
		}
		Expect(changes).To(BeNumerically(">", 100))
	})

	It("records voters", func() {
		l := newLog()
		mark := func(id string, removed bool) {
			l.apply(&sysstate.Command{Body: &sysstate.Command_MarkVoter{
				MarkVoter: &sysstate.MarkVoter{Instance: "a", MemberId: id, Removed: removed},
			}})
		}
		mark("a@1", false)
		mark("a@2", false)
		mark("a@1", true)
		data, err := l.machine.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		Expect(string(data)).To(ContainSubstring("a@2"), "the removal of an earlier voter removed the later one")
	})
})
