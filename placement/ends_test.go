package placement_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornshore.example/placement"
)

// otherEnd is an end of a run of an earlier owner.
var otherEnd = placement.EndedEntry{Number: 1, Task: "ffff.0.0.0", Run: 1, Kind: placement.EndStopped}

var _ = Describe("a truncated list of ended runs", func() {
	var h *harness
	BeforeEach(func() {
		h = newHarness()
		h.acquire("t")
		h.store()
	})
	// list responds to the outstanding poll, or to the next one.
	list := func(truncated bool, ends ...placement.EndedEntry) placement.PollOrder {
		polls := take[placement.PollOrder](h)
		if len(polls) == 0 {
			h.step(60*time.Millisecond, placement.Tick{})
			polls = take[placement.PollOrder](h)
		}
		Expect(polls).To(HaveLen(1))
		poll := polls[0]
		h.step(time.Millisecond, placement.OrderResponse{
			Order: poll.Order, Result: placement.OK, ClockMS: 1200, BootUnixMS: 7, Ended: ends, EndsTruncated: truncated,
		})
		return poll
	}
	// loseStart leaves the start of the stored task without a response.
	loseStart := func() {
		start := take[placement.StartOrder](h)[0]
		take[placement.PollOrder](h)
		h.step(start.Timeout, placement.OrderResponse{Order: start.Order, Result: placement.Unknown})
	}
	// expectRecorded expects the end of run 1 to be recorded, and no second run.
	expectRecorded := func() {
		Expect(take[placement.RecordEnd](h)).To(ContainElement(And(HaveField("Task", storedTask), HaveField("Run", 1), HaveField("Done", true))))
		Expect(take[placement.GiveUpRun](h)).To(BeEmpty())
		Expect(take[placement.StartOrder](h)).To(BeEmpty())
	}
	storedEnd := placement.EndedEntry{Number: 2, Task: storedTask, Run: 1, Kind: placement.EndDone}

	// Guards against a job that is shown as completed before its tasks have ended: a run
	// whose start got no response was taken for rejected, and its task ran twice.
	It("does not prove that a start without a response was never carried out", func() {
		loseStart()
		list(true, otherEnd)
		Expect(take[placement.StartOrder](h)).To(BeEmpty(), "the run may have ended as done")
		Expect(h.core.TargetReady("t", 7)).To(BeTrue(), "it acknowledges no ends otherwise, and never lists the others")
		poll := list(false, storedEnd)
		Expect(poll.AckedEnd).To(Equal(uint64(1)))
		expectRecorded()
	})

	// Guards against a task that never runs because its start was lost.
	It("is followed by one that proves it", func() {
		loseStart()
		list(true, otherEnd)
		list(false)
		Expect(take[placement.StartOrder](h)).To(ConsistOf(HaveField("Task", storedTask)))
	})

	// Guards against a task that is done and runs again, because its run had left the
	// list of running ones.
	It("does not prove that a confirmed run has ended otherwise than as done", func() {
		h.confirmStarts()
		list(true, otherEnd) // sent before the start was confirmed
		list(true, otherEnd)
		Expect(take[placement.GiveUpRun](h)).To(BeEmpty())
		list(false, storedEnd)
		expectRecorded()
	})

	// Guards against a run of an earlier owner that keeps a target from being ready, and
	// so from acknowledging the ends in front of that run's.
	It("ends the runs of an earlier owner that are no longer running", func() {
		h = newHarness()
		h.step(0, placement.Heartbeat{Description: description("t", 1)})
		h.step(time.Millisecond, placement.OrderResponse{
			Order: lastPoll(h, "t").Order, Result: placement.OK, ClockMS: 1000, BootUnixMS: 7,
			Running: []placement.RunningEntry{{Task: "ffff.0.0.1", Run: 1}},
		})
		Expect(h.core.TargetReady("t", 7)).To(BeFalse())
		list(true, otherEnd)
		Expect(h.core.TargetReady("t", 7)).To(BeTrue())
	})

	// Guards against a start that may not have arrived and counts as carried out at the
	// next owner.
	It("keeps the target from being handed over while it leaves a start open", func() {
		h.step(0, placement.PeerAvailability{Peer: "c1"})
		loseStart()
		list(true, otherEnd)
		h.step(0, placement.HandOverRequested{Target: "t", Peer: "c1"})
		Expect(take[placement.SendHandOver](h)).To(BeEmpty())
		list(false)
		take[placement.StartOrder](h)
	})
})
