package sysstate_test

import (
	"fmt"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornshore.example/claims/lease"
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

func (l *log) config(base uint64, id, author, config string) *sysstate.Answer {
	return l.apply(&sysstate.Command{OperationId: id, Body: &sysstate.Command_ApplyConfig{
		ApplyConfig: &sysstate.ApplyConfig{BaseVersion: base, Config: []byte(config), Author: author, Summary: "by " + author},
	}})
}

func (l *log) lease(kind lease.CommandKind, instance string, epoch uint64) lease.Result {
	command := lease.Command{Kind: kind, Instance: instance, Epoch: epoch, Settled: true}
	answer := l.apply(&sysstate.Command{Body: &sysstate.Command_Lease{Lease: sysstate.CommandToProto("dc", &command)}})
	return sysstate.ResultFromProto(answer.GetLease())
}

func haveStatus(status sysstate.Status) OmegaMatcher {
	return WithTransform(func(a *sysstate.Answer) sysstate.Status { return a.Status }, Equal(status))
}

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

	It("bounds the texts of history and answers, so that a snapshot fits into a frame", func() {
		l := newLog()
		author := strings.Repeat("x", 100<<10)
		for i := range uint64(100) {
			l.config(i, fmt.Sprint("op-", i), author, `{}`)
		}
		Expect(l.config(99, "op-99", author, `{}`).Repeated).To(BeTrue())
		size := func() int {
			data, err := l.machine.Snapshot()
			Expect(err).NotTo(HaveOccurred())
			return len(data)
		}
		Expect(size()).To(BeNumerically("<", 3<<20))
		data, err := l.machine.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		l.machine = sysstate.NewMachine()
		Expect(l.machine.Restore(data)).To(Succeed())
		Expect(size()).To(Equal(len(data)))
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
	// Guards against a member that renews in an old epoch and never hears of
	// the new one, because the answer leaves out what others know already.
	It("answer with the members whoever does not know the epoch", func() {
		l := newLog()
		joined := l.lease(lease.CommandJoin, "a", 0)
		Expect(joined.View.Names()).To(Equal([]string{"a"}))
		known := l.lease(lease.CommandRenew, "a", 1)
		Expect(known.Granted).To(BeTrue())
		Expect(known.View.Epoch).To(Equal(uint64(1)))
		Expect(known.View.Members).To(BeEmpty())
		l.lease(lease.CommandJoin, "b", 0)
		old := l.lease(lease.CommandRenew, "a", 1)
		Expect(old.View.Epoch).To(Equal(uint64(2)))
		Expect(old.View.Names()).To(Equal([]string{"a", "b"}))
		restarted := l.lease(lease.CommandJoin, "b", 0)
		Expect(restarted.View.Names()).To(Equal([]string{"a", "b"}), "a restarted member knows no epoch")
	})

	// Guards against members, counts of renewals or hand-overs that are lost
	// with a snapshot.
	It("survive a snapshot", func() {
		l := newLog()
		Expect(l.lease(lease.CommandJoin, "a", 0).Granted).To(BeTrue())
		first := l.lease(lease.CommandRenew, "a", 1)
		Expect(first.Confirmed).To(BeTrue())
		both := l.lease(lease.CommandJoin, "b", 0)
		Expect(both.View.Names()).To(Equal([]string{"a", "b"}))
		data, err := l.machine.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		restored := newLog()
		Expect(restored.machine.Restore(data)).To(Succeed())
		for _, log := range []*log{l, restored} {
			Expect(log.lease(lease.CommandRenew, "b", 2).Confirmed).To(BeFalse())
			result := log.lease(lease.CommandRenew, "a", 2)
			Expect(result.Confirmed).To(BeTrue())
			Expect(result.Renewals).To(BeNumerically(">", first.Renewals))
		}
		again, err := restored.machine.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		want, err := l.machine.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		Expect(again).To(Equal(want))
	})
})

var _ = Describe("Voters", func() {
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
