package placement_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornshore.example/placement"
)

var _ = Describe("a cancelled job that is not stored", func() {
	const id = "0000000000000001"
	var h *harness
	cancel := func() { h.step(0, placement.Cancel{JobID: id}) }
	BeforeEach(func() {
		h = newHarness()
		h.acquire("t")
	})

	// Guards against a request that was held up and starts a job seconds after its
	// cancellation was acknowledged.
	DescribeTable("is not started by a late repeat", func(before func(), delay time.Duration) {
		before()
		cancel()
		for _, stop := range take[placement.StopOrder](h) {
			h.step(time.Millisecond, placement.OrderResponse{Order: stop.Order, Result: placement.OK, ClockMS: 1200, BootUnixMS: 7})
		}
		h.wait(delay)
		take[placement.AnswerJob](h)
		h.submit(id, 1, 2)
		Expect(take[placement.AnswerJob](h)).To(ConsistOf(And(
			HaveField("Caller.Ref", uint64(2)), HaveField("Outcome", placement.Cancelled),
		)))
		h.wait(time.Second)
		Expect(take[placement.StartOrder](h)).To(BeEmpty())
	},
		Entry("at its home, while its runs stop", func() { h.submit(id, 1, 1); h.confirmStarts() }, time.Duration(0)),
		Entry("at its home, 12 s later", func() { h.submit(id, 1, 1); h.confirmStarts() }, 12*time.Second),
		Entry("at a coordinator that never had it", func() {}, 12*time.Second),
	)

	// Guards against a repeat that waits for the end of the earlier runs, is not found
	// by the cancellation and starts after it.
	It("includes a repeat that waits for the end of earlier runs", func() {
		h.submit(id, 1, 1)
		h.confirmStarts()
		h.step(0, placement.Withdraw{Caller: placement.Caller{Gateway: "g", Ref: 1}})
		h.submit(id, 1, 2)
		active, _ := h.core.Job(id)
		Expect(active).To(BeTrue())
		cancel()
		Expect(take[placement.AnswerJob](h)).To(ContainElement(And(
			HaveField("Caller.Ref", uint64(2)), HaveField("Outcome", placement.Cancelled),
		)))
		h.completePoll(placement.OrderResponse{Ended: []placement.EndedEntry{{Number: 1, Task: id + ".0.0.0", Run: 1, Kind: placement.EndStopped}}})
		h.wait(time.Second)
		Expect(take[placement.StartOrder](h)).To(BeEmpty())
	})

	// Guards against records that fill the memory.
	It("is forgotten after half a minute, or after ten thousand later ones", func() {
		cancel()
		Expect(h.core.Cancelled(id)).To(BeTrue())
		h.wait(31 * time.Second)
		Expect(h.core.Cancelled(id)).To(BeFalse())
		cancel()
		for i := range 10_000 {
			h.step(0, placement.Cancel{JobID: fmt.Sprintf("%016x", 100+i)})
		}
		Expect(h.core.Cancelled(id)).To(BeFalse())
		Expect(h.core.Cancelled(fmt.Sprintf("%016x", 100))).To(BeTrue())
	})
})
