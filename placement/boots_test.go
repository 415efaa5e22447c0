package placement_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornshore.example/placement"
)

// startUnlisted starts one task on a target of two whose response names no boot.
func startUnlisted(h *harness) placement.StartOrder {
	h.acquire("t")
	h.acquire("u")
	h.submit("0000000000000001", 1, 1)
	start := take[placement.StartOrder](h)[0]
	take[placement.PollOrder](h)
	h.step(time.Millisecond, placement.OrderResponse{Order: start.Order, Result: placement.OK, ClockMS: 1100})
	return start
}

// expectStartAfterLease expects that the task starts again once its lease has expired.
func expectStartAfterLease(h *harness, within time.Duration) {
	h.step(900*time.Millisecond, placement.Tick{})
	ExpectWithOffset(1, take[placement.StartOrder](h)).To(BeEmpty(), "the first run may be alive")
	h.step(within, placement.Tick{})
	ExpectWithOffset(1, take[placement.StartOrder](h)).To(HaveLen(1))
}

var _ = Describe("a target that returns under its ID", func() {
	// Guards against a task that runs twice: its run had started on the next boot,
	// whose first list of runs was taken for the end of all runs.
	It("keeps the run that its next boot has accepted until the lease expires", func() {
		h := newHarness()
		start := startUnlisted(h)
		poll := lastPoll(h, start.Target.ID)
		h.step(50*time.Millisecond, placement.OrderResponse{
			Order: poll.Order, Result: placement.OK, ClockMS: 1150, BootUnixMS: 9,
			Running: []placement.RunningEntry{{Task: start.Task, Run: 1, Percent: 20}},
		})
		expectStartAfterLease(h, 150*time.Millisecond)
	})
})

var _ = Describe("a target that deregisters", func() {
	// Guards against a task that runs twice: the response to the deregistration was
	// lost, and the target went on with its run for some seconds.
	It("keeps its runs until the lease expires", func() {
		h := newHarness()
		start := startUnlisted(h)
		poll := lastPoll(h, start.Target.ID)
		h.step(time.Millisecond, placement.OrderResponse{
			Order: poll.Order, Result: placement.OK, ClockMS: 1101, BootUnixMS: 7,
			Running: []placement.RunningEntry{{Task: start.Task, Run: 1, Percent: 20}},
		})
		h.step(50*time.Millisecond, placement.TargetDeregistered{Target: start.Target.ID, BootUnixMS: 7})
		expectStartAfterLease(h, 150*time.Millisecond)
	})
})
