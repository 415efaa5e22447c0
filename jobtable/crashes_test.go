package jobtable

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"hawthornshore.example/wire"
)

func lost(run int64, crashed bool) *wire.RunLoss {
	return &wire.RunLoss{Run: run, Target: "t", Loss: &wire.TargetLoss{Address: "a", BornUnixMs: 7, Crashed: crashed}}
}

func taskLoss(loss *wire.RunLoss, cleared bool) *wire.JobCommand {
	return &wire.JobCommand{Body: &wire.JobCommand_Loss{Loss: &wire.TaskLoss{Task: id + ".0.0.0", Loss: loss, Cleared: cleared}}}
}

var _ = Describe("losses of a task's runs", func() {
	var table *Table
	apply := func(commands ...*wire.JobCommand) { table.Apply(1000, commands) }
	losses := func() []*wire.RunLoss { return table.Job(id).Tasks[0][0].Losses }
	BeforeEach(func() {
		table = New(time.Minute)
		apply(accept("c1/1", 1))
	})

	// Guards against a crash that no longer counts, because the run was given up after the
	// next boot of its target had been seen.
	It("keep a crash", func() {
		apply(taskLoss(lost(1, true), false))
		apply(&wire.JobCommand{Body: &wire.JobCommand_GiveUp{GiveUp: &wire.RunGiveUp{Task: id + ".0.0.0", Run: 1, Loss: lost(1, false)}}})
		Expect(losses()).To(HaveLen(1))
		Expect(losses()[0].GetLoss().GetCrashed()).To(BeTrue())
	})

	// Guards against a task that is given up for a target that has only lost contact.
	It("are removed for a target that has not crashed", func() {
		apply(taskLoss(lost(1, false), false), taskLoss(lost(2, false), false), taskLoss(lost(1, false), true))
		Expect(losses()).To(HaveLen(1))
		Expect(losses()[0].GetRun()).To(Equal(int64(2)))
	})

	// Guards against a new home or a restart at which the crashes are forgotten.
	It("survive a move and a snapshot", func() {
		apply(taskLoss(lost(1, true), false), move("c1/1", "c2/1"))
		state := &wire.CoordinatorState{}
		table.Snapshot(state)
		restored := New(time.Minute)
		Expect(restored.Restore(state)).To(Succeed())
		Expect(proto.Equal(restored.Job(id).Tasks[0][0].Losses[0], lost(1, true))).To(BeTrue())
	})

	// Guards against a record that grows without bound while targets are lost.
	It("are bounded", func() {
		for run := range int64(2 * maxLosses) {
			apply(taskLoss(lost(run+1, false), false))
		}
		Expect(losses()).To(HaveLen(maxLosses))
		Expect(losses()[0].GetRun()).To(Equal(int64(maxLosses + 1)))
	})

	// Guards against a state of an earlier version that cannot be read.
	It("may be missing in a snapshot", func() {
		state := &wire.CoordinatorState{}
		table.Snapshot(state)
		Expect(state.GetJobs()[0].GetTasks()[0].GetLosses()).To(BeEmpty())
		Expect(New(time.Minute).Restore(state)).To(Succeed())
	})
})
