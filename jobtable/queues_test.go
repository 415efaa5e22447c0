package jobtable_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornshore.example/jobtable"
	"hawthornshore.example/wire"
)

var _ = Describe("The queues of a document", func() {
	const id = "00000000000000aa"
	var table *jobtable.Table
	BeforeEach(func() { table = jobtable.New(time.Minute) })

	document := func(version uint64, service string) jobtable.Queues {
		return jobtable.Queues{Version: version, ByName: map[string]jobtable.Queue{
			"q": {Service: service, Priority: int32(version), Stretch: float64(version), AllowanceMS: 10 * int64(version)},
		}}
	}
	accept := func(version uint64, service string) {
		table.Apply(0, []*wire.JobCommand{{Body: &wire.JobCommand_Accept{Accept: &wire.JobAccept{Home: "a/1", Job: &wire.Submission{
			JobId: id, Queue: "q", Service: service, MaxAttempts: 7, DocumentVersion: version,
			Priority: int32(version), Stretch: float64(version), ObjectiveMs: 10 * int64(version),
			Steps: []*wire.JobStep{{Count: 1}, {Count: 1, After: []int32{0}}},
		}}}}})
	}
	end := func(task string, done bool) {
		table.Apply(0, []*wire.JobCommand{{Body: &wire.JobCommand_End{End: &wire.RunEnd{Task: task, Run: 1, Done: done}}}})
	}
	service := func() string { return table.Job(id).Submission.GetService() }
	restored := func() *jobtable.Table {
		state := &wire.CoordinatorState{}
		table.Snapshot(state)
		other := jobtable.New(time.Minute)
		Expect(other.Restore(state)).To(Succeed())
		return other
	}

	// Each guards against a job that waits for good for a service that its queue no longer
	// has.
	It("apply to a job that waits", func() {
		accept(1, "a")
		Expect(table.SetQueues(document(2, "b"))).To(ConsistOf(table.Job(id)))
		Expect(service()).To(Equal("b"))
		job := table.Job(id).Submission
		Expect([]any{job.GetPriority(), job.GetStretch(), job.GetObjectiveMs()}).To(Equal([]any{int32(2), 2.0, int64(20)}))
		Expect(job.GetMaxAttempts()).To(Equal(int32(7)), "the attempts of an accepted job have changed")
	})

	It("apply between two steps of a job", func() {
		accept(1, "a")
		end(id+".0.0.0", true)
		table.SetQueues(document(2, "b"))
		Expect(service()).To(Equal("b"))
		end(id+".0.1.0", true)
		Expect(table.Job(id).State).To(Equal(wire.StoredState_STORED_STATE_COMPLETED))
	})

	It("apply to a job that is accepted with the fields of an earlier document", func() {
		table.SetQueues(document(2, "b"))
		accept(1, "a")
		Expect(service()).To(Equal("b"))
	})

	It("apply after a restore, also to the jobs of a snapshot of an earlier version", func() {
		accept(1, "a")
		table = restored()
		Expect(service()).To(Equal("a"))
		Expect(table.SetQueues(document(2, "b"))).To(HaveLen(1))
		Expect(service()).To(Equal("b"))
		table = restored()
		Expect(service()).To(Equal("b"))
		Expect(table.SetQueues(document(2, "b"))).To(BeEmpty())
	})

	It("apply after a move to another home", func() {
		accept(1, "a")
		table.SetQueues(document(2, "b"))
		table.Apply(0, []*wire.JobCommand{{Body: &wire.JobCommand_Move{Move: &wire.HomeMove{From: "a/1", To: "b/1"}}}})
		Expect(service()).To(Equal("b"))
	})

	// Guards against a job that loses the last service of its queue when the queue is
	// removed, and does not follow the queue when it returns.
	It("keep the last service of a job whose queue is gone, until it returns", func() {
		accept(1, "a")
		table.SetQueues(document(2, "b"))
		Expect(table.SetQueues(jobtable.Queues{Version: 3})).To(BeEmpty())
		Expect(service()).To(Equal("b"))
		table = restored()
		table.SetQueues(jobtable.Queues{Version: 3})
		Expect(service()).To(Equal("b"))
		table.SetQueues(document(4, "c"))
		Expect(service()).To(Equal("c"))
	})

	// Guards against an older document that takes a newer one back.
	It("do not take a newer document back", func() {
		accept(3, "c")
		Expect(table.SetQueues(document(2, "b"))).To(BeEmpty())
		Expect(service()).To(Equal("c"))
		table.SetQueues(document(4, "d"))
		Expect(table.SetQueues(document(4, "e"))).To(BeEmpty())
		Expect(service()).To(Equal("d"))
	})

	// Guards against a panic on jobs without a submission.
	It("do not apply to jobs that have ended", func() {
		accept(1, "a")
		table.Apply(0, []*wire.JobCommand{{Body: &wire.JobCommand_Cancel{Cancel: &wire.JobCancel{JobId: id}}}})
		Expect(table.HasOpenJobs()).To(BeFalse())
		Expect(table.SetQueues(document(2, "b"))).To(BeEmpty())
	})
})
