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

// startListed starts one task on a target of two, which then lists its run.
func startListed(h *harness) placement.StartOrder {
	start := startUnlisted(h)
	poll := lastPoll(h, start.Target.ID)
	h.step(time.Millisecond, placement.OrderResponse{
		Order: poll.Order, Result: placement.OK, ClockMS: 1101, BootUnixMS: 7,
		Running: []placement.RunningEntry{{Task: start.Task, Run: 1, Percent: 20}},
	})
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

	// Guards against a task that runs twice: a late heartbeat of an earlier boot, with
	// a higher time of boot, was taken for the next one, and all runs for ended.
	It("keeps its runs when a heartbeat of an earlier boot arrives late", func() {
		h := newHarness()
		startListed(h)
		take[placement.PollOrder](h)
		late := description("t", 99)
		late.BootUnixMS = 1000
		h.step(time.Millisecond, placement.Heartbeat{Description: late})
		Expect(take[placement.StartOrder](h)).To(BeEmpty())
		poll := lastPoll(h, "t")
		Expect(poll.ExpiresMS).To(BeZero(), "the lease of another boot must not be extended")
		Expect(poll.AckedEnd).To(BeZero(), "ends of another boot must not be acknowledged")
		h.step(time.Millisecond, placement.OrderResponse{Order: poll.Order, Result: placement.OK, ClockMS: 1200, BootUnixMS: 7})
		h.step(time.Millisecond, placement.Heartbeat{Description: late})
		Expect(take[placement.PollOrder](h)).To(BeEmpty(), "that boot is known to be over")
		h.submit("0000000000000002", 1, 2)
		Expect(take[placement.StartOrder](h)).To(HaveLen(1), "the target was dropped")
	})

	// Guards against a task that runs twice: a late heartbeat of an earlier boot named
	// an address at which another target responds by now, and the boot in use was
	// taken for ended.
	It("keeps its runs when an earlier boot is not found at its address", func() {
		h := newHarness()
		start := startListed(h)
		take[placement.PollOrder](h)
		late := description(start.Target.ID, 99)
		late.BootUnixMS, late.Address = 3, "old:1"
		h.step(time.Millisecond, placement.Heartbeat{Description: late})
		poll := lastPoll(h, start.Target.ID)
		Expect(poll.Target.Address).To(Equal("old:1"))
		h.step(time.Millisecond, placement.OrderResponse{Order: poll.Order, Result: placement.OtherBoot})
		Expect(take[placement.StartOrder](h)).To(BeEmpty(), "the first run is alive")
		Expect(h.core.Owned()).To(ContainElement(HaveField("ID", start.Target.ID)))
	})

	// Guards against a target that stays unused because its time of day has stepped
	// back, so that its next boot seems to be an earlier one.
	It("is taken over with an earlier time of boot", func() {
		h := newHarness()
		h.acquire("t")
		next := description("t", 1)
		next.BootUnixMS, next.ClockMS = 3, 10
		h.step(time.Millisecond, placement.Heartbeat{Description: next})
		poll := lastPoll(h, "t")
		h.step(time.Millisecond, placement.OrderResponse{Order: poll.Order, Result: placement.OK, ClockMS: 11, BootUnixMS: 3})
		poll = lastPoll(h, "t")
		h.step(time.Millisecond, placement.OrderResponse{Order: poll.Order, Result: placement.OK, ClockMS: 12, BootUnixMS: 3})
		Expect(h.core.Owned()).To(ContainElement(HaveField("BootUnixMS", int64(3))))
		h.submit("0000000000000001", 1, 1)
		Expect(take[placement.StartOrder](h)).To(HaveLen(1))
	})
})

var _ = Describe("a target that deregisters", func() {
	// Guards against a task that runs twice: the response to the deregistration was
	// lost, and the target went on with its run for some seconds.
	It("keeps its runs until the lease expires", func() {
		h := newHarness()
		start := startListed(h)
		h.step(50*time.Millisecond, placement.TargetDeregistered{Target: start.Target.ID, BootUnixMS: 7})
		expectStartAfterLease(h, 150*time.Millisecond)
	})
})

var _ = Describe("the lease of a target", func() {
	// Guards against a lease that outlasts the wait of a home: the clock of an idle
	// target was taken to run at full speed since its last response.
	It("ends in time on a slow clock, however late its order is carried out", func() {
		h := newHarness()
		h.acquire("t")
		clock := int64(1000)
		for i := range 40 {
			beat := description("t", uint64(2+i))
			clock += 1470 // of 1500 ms
			beat.ClockMS = clock
			h.step(1500*time.Millisecond, placement.Heartbeat{Description: beat})
		}
		h.submit("0000000000000001", 1, 1)
		start := take[placement.StartOrder](h)[0]
		Expect(start.ExpiresMS).To(BeNumerically("<=", clock+1000))
		Expect(start.ExpiresMS).To(BeNumerically(">", clock+900), "the lease is too short to be of use")
	})
})

var _ = Describe("a run that has to end", func() {
	// Guards against a task that runs twice: stops got no response, each was followed
	// by a poll that extended the lease, and the caller returned elsewhere.
	It("ends with the lease that its target had when its caller left", func() {
		h := newHarness()
		start := startListed(h)
		poll := lastPoll(h, start.Target.ID)
		h.step(100*time.Millisecond, placement.Withdraw{Caller: placement.Caller{Gateway: "g", Ref: 1}})
		stops := take[placement.StopOrder](h)
		Expect(stops).To(HaveLen(1))
		for range 5 {
			h.step(200*time.Millisecond, placement.OrderResponse{Order: stops[0].Order, Result: placement.Unknown})
			poll = lastPoll(h, start.Target.ID)
			Expect(poll.ExpiresMS).To(BeZero(), "the lease is extended")
			h.step(time.Millisecond, placement.OrderResponse{
				Order: poll.Order, Result: placement.OK, ClockMS: 1300, BootUnixMS: 7,
				Running: []placement.RunningEntry{{Task: start.Task, Run: 1, Percent: 30}},
			})
			if stops = take[placement.StopOrder](h); len(stops) == 0 {
				break
			}
		}
		Expect(stops).NotTo(BeEmpty(), "the stop is repeated")
	})

	// Guards against a lease that a start on the same target extends instead.
	It("gets no longer lease by the start of another one", func() {
		h := newHarness()
		h.acquire("t")
		h.submit("0000000000000001", 1, 1)
		first := h.confirmStarts()[0]
		h.step(100*time.Millisecond, placement.Withdraw{Caller: placement.Caller{Gateway: "g", Ref: 1}})
		h.submit("0000000000000002", 1, 2)
		second := take[placement.StartOrder](h)
		Expect(second).To(HaveLen(1))
		Expect(second[0].ExpiresMS).To(BeNumerically("<=", first.ExpiresMS+100), "not later than the last poll's")
		h.step(400*time.Millisecond, placement.Tick{})
		h.submit("0000000000000003", 1, 3)
		Expect(take[placement.StartOrder](h)).To(BeEmpty(), "the remaining lease is too short")
	})
})

var _ = Describe("a job with a lost run", func() {
	// Guards against a task that runs twice: its job was removed before its lost run
	// was over, and the same ID, submitted again, started at once.
	It("keeps its ID until the lost run is over", func() {
		h := newHarness()
		start := startListed(h)
		poll := lastPoll(h, start.Target.ID)
		h.step(50*time.Millisecond, placement.OrderResponse{Order: poll.Order, Result: placement.Fenced, ClockMS: 1150})
		h.step(time.Millisecond, placement.Withdraw{Caller: placement.Caller{Gateway: "g", Ref: 1}})
		h.submit("0000000000000001", 1, 2)
		expectStartAfterLease(h, 150*time.Millisecond)
	})
})

var _ = Describe("a target whose clock has started anew", func() {
	// Guards against a done task that starts again: its run ended on the next boot, and
	// the number acknowledged to the earlier boot dropped that end from the list.
	It("gets no acknowledgement and no lease before it has listed its runs", func() {
		h := newHarness()
		h.acquire("t")
		h.submit("0000000000000001", 1, 1)
		first := h.confirmStarts()[0]
		h.completePoll(placement.OrderResponse{Ended: []placement.EndedEntry{
			{Number: 1, Task: first.Task, Run: 1, Kind: placement.EndDone},
		}})
		Expect(lastPoll(h, "t").AckedEnd).To(Equal(uint64(1)))
		h.submit("0000000000000002", 1, 2)
		start := take[placement.StartOrder](h)[0]
		h.step(time.Millisecond, placement.OrderResponse{Order: start.Order, Result: placement.OK, ClockMS: 9})
		poll := lastPoll(h, "t")
		Expect(poll.Token).To(BeNumerically(">", start.Token))
		Expect(poll.AckedEnd).To(BeZero())
		Expect(poll.ExpiresMS).To(BeZero())
		Expect(take[placement.Decision](h)).To(ContainElement(And(
			HaveField("Event", "target_uncertain"), HaveField("Reason", "response with an earlier clock"),
		)))
	})
})

var _ = Describe("a target whose order got no response", func() {
	// Guards against ends that the next boot loses and a lease that outlasts what that
	// boot's other owner counts on: both were meant for the earlier boot.
	It("gets no acknowledgement and no lease before it has listed its runs", func() {
		h := newHarness()
		start := startListed(h)
		poll := lastPoll(h, start.Target.ID)
		h.step(50*time.Millisecond, placement.OrderResponse{
			Order: poll.Order, Result: placement.OK, ClockMS: 1150, BootUnixMS: 7,
			Running: []placement.RunningEntry{{Task: start.Task, Run: 1, Percent: 30}},
			Ended:   []placement.EndedEntry{{Number: 1, Task: "ffff.0.0.0", Run: 1, Kind: placement.EndStopped}},
		})
		poll = lastPoll(h, start.Target.ID)
		Expect(poll.AckedEnd).To(Equal(uint64(1)))
		h.step(poll.Timeout, placement.OrderResponse{Order: poll.Order, Result: placement.Unknown})
		poll = lastPoll(h, start.Target.ID)
		Expect(poll.AckedEnd).To(BeZero())
		Expect(poll.ExpiresMS).To(BeZero())
	})
})
