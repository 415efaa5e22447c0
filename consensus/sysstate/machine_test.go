package sysstate_test

import (
	"fmt"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornshore.example/claims/lease"
	"hawthornshore.example/consensus/sysstate"
)

// testLog applies the commands of one leader to a machine.
type testLog struct {
	machine *sysstate.Machine
	ctx     sysstate.Context
}

func newTestLog() *testLog {
	return &testLog{machine: sysstate.NewMachine(), ctx: sysstate.Context{Term: 1, UnixMS: 77}}
}

func (l *testLog) apply(command *sysstate.Command) *sysstate.Answer {
	data, err := sysstate.EncodeCommand(command)
	Expect(err).NotTo(HaveOccurred())
	return l.machine.Apply(l.ctx, data)
}

func (l *testLog) config(base uint64, id, author, config string) *sysstate.Answer {
	return l.apply(&sysstate.Command{OperationId: id, Body: &sysstate.Command_ApplyConfig{
		ApplyConfig: &sysstate.ApplyConfig{BaseVersion: base, Config: []byte(config), Author: author, Summary: "by " + author},
	}})
}

func (l *testLog) lease(kind lease.CommandKind, instance string, epoch uint64) lease.Result {
	command := lease.Command{Kind: kind, Instance: instance, Epoch: epoch, Settled: true}
	answer := l.apply(&sysstate.Command{Body: &sysstate.Command_Lease{Lease: sysstate.CommandToProto("dc", &command)}})
	return sysstate.ResultFromProto(answer.GetLease())
}

func haveStatus(status sysstate.Status) OmegaMatcher {
	return WithTransform(func(a *sysstate.Answer) sysstate.Status { return a.Status }, Equal(status))
}

var _ = Describe("The system configuration", func() {
	// Guards against a change that silently overwrites that of another operator.
	It("accepts one of two concurrent changes and returns it with the conflict", func() {
		l := newTestLog()
		Expect(l.config(0, "op-1", "ada", `{}`).Version).To(Equal(uint64(1)))
		second := l.config(0, "op-2", "ben", `{}`)
		Expect(second).To(haveStatus(sysstate.Status_STATUS_VERSION_CONFLICT))
		Expect(second.Change.Author).To(Equal("ada"))
		Expect(second.Change.Summary).To(Equal("by ada"))
		l.config(1, "op-3", "eve", `{}`)
		Expect(l.config(0, "op-4", "ben", `{}`).Change.Author).To(Equal("ada"), "the change that replaced the base version")
	})

	// Guards against a resent command that is applied twice or reported as a conflict.
	It("returns the first answer for a resent command, also after later changes and a restore", func() {
		l := newTestLog()
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

	// Guards against a state that grows with every change.
	It("bounds history and operation IDs", func() {
		l := newTestLog()
		for i := range uint64(sysstate.MaxOperations + 10) {
			l.config(i, fmt.Sprint("op-", i), "ada", `{}`)
		}
		Expect(l.machine.History()).To(HaveLen(sysstate.MaxHistory))
		Expect(l.config(0, "op-0", "ada", `{}`)).To(haveStatus(sysstate.Status_STATUS_VERSION_CONFLICT))
	})

	// Guards against a snapshot that is too large to be sent.
	It("bounds the texts of history and answers, so that a snapshot fits into a frame", func() {
		l := newTestLog()
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

	// Guards against a version chosen by the client, and input that makes every
	// voter fail.
	It("sets the version itself and refuses input that cannot be decoded", func() {
		l := newTestLog()
		l.config(0, "", "ada", `{"version":99,"classes":{"prints":{"name":"prints","rank":1}}}`)
		config, err := l.machine.Config()
		Expect(err).NotTo(HaveOccurred())
		Expect(config.Version).To(Equal(uint64(1)))
		Expect(config.Classes["prints"].Rank).To(Equal(1))
		Expect(l.config(1, "", "ada", `{"classes":7}`)).To(haveStatus(sysstate.Status_STATUS_BAD_COMMAND))
		Expect(l.machine.Apply(l.ctx, []byte{0xff})).To(haveStatus(sysstate.Status_STATUS_BAD_COMMAND))
		Expect(l.machine.Version()).To(Equal(uint64(1)))
	})

	// Guards against a restore that reverts applied changes.
	It("refuses a snapshot with an older version", func() {
		l := newTestLog()
		old, err := l.machine.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		l.config(0, "", "ada", `{}`)
		Expect(l.machine.Restore(old)).To(MatchError(ContainSubstring("older")))
		Expect(l.machine.Version()).To(Equal(uint64(1)))
	})
})

var _ = Describe("Members and leases", func() {
	// Guards against a member that renews in an old epoch and never gets the
	// new one, because the answer omits the members.
	It("include the members in the answer unless the instance sent the current epoch", func() {
		l := newTestLog()
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
		Expect(restarted.View.Names()).To(Equal([]string{"a", "b"}), "a restarted member sends no epoch")
	})

	// Guards against the loss of members, renewal counts or hand-overs in a
	// snapshot.
	It("survive a snapshot", func() {
		l := newTestLog()
		Expect(l.lease(lease.CommandJoin, "a", 0).Granted).To(BeTrue())
		first := l.lease(lease.CommandRenew, "a", 1)
		Expect(first.Confirmed).To(BeTrue())
		both := l.lease(lease.CommandJoin, "b", 0)
		Expect(both.View.Names()).To(Equal([]string{"a", "b"}))
		data, err := l.machine.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		restored := newTestLog()
		Expect(restored.machine.Restore(data)).To(Succeed())
		for _, log := range []*testLog{l, restored} {
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
	// Guards against a running voter that is no longer recorded as one.
	It("keep a voter when the removal of its earlier incarnation is applied later", func() {
		l := newTestLog()
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
