package placement_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornshore.example/placement"
)

const (
	storedID   = "00000000000000aa"
	storedTask = storedID + ".0.0.0"
)

// storedChanged returns the state in the log of a stored job of one task.
func storedChanged(home string, epoch int, progress placement.TaskProgress) placement.StoredJobChanged {
	j := job(storedID, 1)
	j.Stored = true
	return placement.StoredJobChanged{Job: j, Home: home, Epoch: epoch, RunLimit: 1000 * (epoch + 1), Tasks: [][]placement.TaskProgress{{progress}}}
}

// store adds a stored job to the harness, whose home is confirmed.
func (h *harness) store() {
	h.confirm()
	h.step(0, storedChanged("c0/1", 0, placement.TaskProgress{}))
}

func (h *harness) confirm() { h.step(0, placement.LogReadConfirmed{StartedAt: h.now}) }

// completePoll responds to the outstanding poll of target "t".
func (h *harness) completePoll(response placement.OrderResponse) {
	response.Order, response.Result = lastPoll(h, "t").Order, placement.OK
	response.BootUnixMS, response.ClockMS = 7, 1200
	h.step(time.Millisecond, response)
}

func ended(number uint64, run int, kind placement.EndKind) []placement.EndedEntry {
	return []placement.EndedEntry{{Number: number, Task: storedTask, Run: run, Kind: kind}}
}

var _ = Describe("a stored job", func() {
	var h *harness
	BeforeEach(func() {
		h = newHarness()
		h.acquire("t")
	})

	// Guards against a job that is missing from the number of waiting jobs although
	// none of its tasks has started: the target that it was placed on did not start it.
	It("counts as waiting until a task has started", func() {
		h.store()
		Expect(h.core.WaitingJobs()).To(Equal(map[string]int64{"q": 1}))
		h.confirmStarts()
		Expect(h.core.WaitingJobs()).To(BeEmpty())
	})

	// Guards against an end that the target no longer lists and that is lost with
	// this process, so that the task runs again.
	It("has the end of its run recorded before it is acknowledged", func() {
		h.store()
		h.confirmStarts()
		h.completePoll(placement.OrderResponse{Ended: ended(1, 1, placement.EndDone)})
		records := take[placement.RecordEnd](h)
		Expect(records).To(ConsistOf(placement.RecordEnd{Target: "t", BootUnixMS: 7, Number: 1, Task: storedTask, Run: 1, Done: true}))
		h.step(100*time.Millisecond, placement.Tick{})
		for _, poll := range take[placement.PollOrder](h) {
			Expect(poll.AckedEnd).To(BeZero())
			h.step(0, placement.OrderResponse{Order: poll.Order, Result: placement.OK, ClockMS: 1300, BootUnixMS: 7, Ended: ended(1, 1, placement.EndDone)})
		}
		h.step(time.Millisecond, placement.EndRecorded{Target: "t", BootUnixMS: 7, Number: 1})
		h.step(100*time.Millisecond, placement.Tick{})
		Expect(lastPoll(h, "t").AckedEnd).To(Equal(uint64(1)))
		Expect(take[placement.StartOrder](h)).To(BeEmpty())
	})

	// Guards against a second run of a task whose first one may count as done.
	It("has a run with an unknown result given up before its task starts again", func() {
		h.store()
		h.confirmStarts()
		h.completePoll(placement.OrderResponse{Ended: ended(1, 1, placement.EndLeaseExpired)})
		Expect(take[placement.GiveUpRun](h)).To(ConsistOf(placement.GiveUpRun{Task: storedTask, Run: 1}))
		h.step(20*time.Millisecond, placement.Tick{})
		Expect(take[placement.StartOrder](h)).To(BeEmpty())
		h.step(0, storedChanged("c0/1", 0, placement.TaskProgress{Floor: 1}))
		Expect(take[placement.StartOrder](h)).To(ConsistOf(HaveField("Run", 2)))
	})

	// Guards against an end that counts although the task has run again since.
	It("lets a target's lease expire if the end of a given-up run arrives", func() {
		h.store()
		h.confirmStarts()
		h.completePoll(placement.OrderResponse{Ended: ended(1, 1, placement.EndDone)})
		h.step(0, placement.EndRecorded{Target: "t", BootUnixMS: 7, Number: 1, GivenUp: true})
		h.submit("0000000000000001", 1, 1)
		Expect(take[placement.StartOrder](h)).To(BeEmpty(), "a start extends the lease")
		for range 60 {
			h.step(20*time.Millisecond, placement.Tick{})
			for _, poll := range take[placement.PollOrder](h) {
				Expect(poll.ExpiresMS).To(BeZero())
				if poll.AckedEnd == 1 {
					return
				}
				h.step(0, placement.OrderResponse{Order: poll.Order, Result: placement.OK, ClockMS: 1300, BootUnixMS: 7, Ended: ended(1, 1, placement.EndDone)})
			}
		}
		Fail("the end is never acknowledged to the target")
	})

	// Guards against the same while another owner has the target for a moment, and extends
	// the lease by its starts before it learns of that end.
	It("waits for the lease again once the target is ready again", func() {
		h.store()
		h.submit("0000000000000001", 1, 1) // keeps the target polled
		h.confirmStarts()
		listed := placement.OrderResponse{
			Result: placement.OK, ClockMS: 1200, BootUnixMS: 7, Ended: ended(1, 1, placement.EndDone),
			Running: []placement.RunningEntry{{Task: "0000000000000001.0.0.0", Run: 1}},
		}
		respond := func(after time.Duration) {
			listed.Order = lastPoll(h, "t").Order
			h.step(after, listed)
		}
		respond(time.Millisecond)
		h.step(0, placement.EndRecorded{Target: "t", BootUnixMS: 7, Number: 1, GivenUp: true})
		h.step(800*time.Millisecond, placement.Tick{})
		poll := lastPoll(h, "t")
		h.step(100*time.Millisecond, placement.OrderResponse{Order: poll.Order, Result: placement.Unknown})
		respond(150 * time.Millisecond) // the first wait would be over
		Expect(h.core.TargetReady("t", 7)).To(BeTrue())
		for readyAt := h.now; h.now-readyAt < time.Second; {
			h.step(20*time.Millisecond, placement.Tick{})
			for _, poll := range take[placement.PollOrder](h) {
				Expect(poll.AckedEnd).To(BeZero(), "another owner's lease may last")
				listed.Order = poll.Order
				h.step(0, listed)
			}
		}
		h.wait(200 * time.Millisecond)
		Expect(lastPoll(h, "t").AckedEnd).To(Equal(uint64(1)))
	})

	// Guards against two homes that run the same task: this one has lost contact
	// with the majority, and another one may have the job by now.
	It("is stopped while its home is not confirmed", func() {
		h.store()
		h.confirmStarts()
		h.confirm()
		h.step(1400*time.Millisecond, placement.Tick{})
		Expect(take[placement.StopOrder](h)).To(BeEmpty())
		h.step(200*time.Millisecond, placement.Tick{})
		Expect(take[placement.StopOrder](h)).To(ConsistOf(HaveField("Task", storedTask)))
		Expect(take[placement.Decision](h)).To(ContainElement(HaveField("Event", "job_suspended")))
	})

	// Guards against runs by a home whose confirmation is old.
	It("does not start before its home is confirmed", func() {
		h.step(0, storedChanged("c0/1", 0, placement.TaskProgress{}))
		Expect(take[placement.StartOrder](h)).To(BeEmpty())
		h.step(0, placement.LogReadConfirmed{StartedAt: h.now - 2*time.Second})
		Expect(take[placement.StartOrder](h)).To(BeEmpty())
		h.confirm()
		Expect(take[placement.StartOrder](h)).To(HaveLen(1))
	})

	// Guards against a job that goes on at its earlier home after a move.
	It("is stopped and removed when it has another home", func() {
		h.store()
		h.confirmStarts()
		h.step(0, storedChanged("c1/1", 1, placement.TaskProgress{Floor: 1000}))
		Expect(take[placement.StopOrder](h)).To(ConsistOf(HaveField("Task", storedTask)))
		Expect(h.core.StoredJobs()).To(BeEmpty())
	})

	// Guards against a home that starts a task while a run of the earlier home may
	// still go on, and against run numbers that are used twice.
	It("waits at a new home until no run of the earlier one is left", func() {
		h.step(0, storedChanged("c0/1", 1, placement.TaskProgress{Floor: 1000}))
		for range 34 { // 3.4 s; the wait is 3.6 s
			h.step(100*time.Millisecond, placement.LogReadConfirmed{StartedAt: h.now})
			Expect(take[placement.StartOrder](h)).To(BeEmpty())
		}
		h.step(300*time.Millisecond, placement.LogReadConfirmed{StartedAt: h.now})
		h.step(20*time.Millisecond, placement.Tick{})
		Expect(take[placement.StartOrder](h)).To(ConsistOf(HaveField("Run", 1001)))
	})

	// Guards against a job that is not stored and replaces the stored job with its ID.
	It("keeps its tasks when a job that is not stored has its ID", func() {
		h.store()
		h.confirmStarts()
		h.submit(storedID, 1, 1)
		Expect(take[placement.AnswerJob](h)).To(ConsistOf(HaveField("Outcome", placement.Aborted)))
		Expect(take[placement.StopOrder](h)).To(BeEmpty())
	})

	// Guards against a stored job that is never scheduled because another job had
	// its ID when the log entry arrived.
	It("begins after a job that is not stored and has its ID", func() {
		h.confirm()
		h.submit(storedID, 1, 1)
		h.confirmStarts()
		h.step(0, storedChanged("c0/1", 0, placement.TaskProgress{}))
		Expect(h.core.StoredJobs()).To(BeEmpty())
		h.completePoll(placement.OrderResponse{Ended: ended(1, 1, placement.EndDone)})
		Expect(h.core.StoredJobs()).To(ConsistOf(storedID))
	})
})
