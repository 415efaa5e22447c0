package placement_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornshore.example/placement"
)

var _ = Describe("a start without a response", func() {
	var (
		h     *harness
		start placement.StartOrder
	)
	// The start at target "t" is left unanswered, and the next list shows that it was not
	// carried out. The job's caller leaves, so that the target is idle.
	BeforeEach(func() {
		h = newHarness()
		h.acquire("t")
		h.submit("0000000000000001", 1, 1)
		start = take[placement.StartOrder](h)[0]
		take[placement.PollOrder](h)
		h.step(start.Timeout, placement.OrderResponse{Order: start.Order, Result: placement.Unknown})
		h.step(0, placement.Withdraw{Caller: placement.Caller{Gateway: "g", Ref: 1}})
		h.step(time.Millisecond, placement.OrderResponse{
			Order: lastPoll(h, "t").Order, Result: placement.OK, ClockMS: 1250, BootUnixMS: 7,
		})
		Expect(take[placement.StartOrder](h)).To(BeEmpty())
	})
	// respond responds to all outstanding polls.
	respond := func(result placement.Result) {
		for _, poll := range take[placement.PollOrder](h) {
			h.step(0, placement.OrderResponse{Order: poll.Order, Result: result, BootUnixMS: 0})
		}
	}
	// polls returns how often the target is polled within a time, and checks that each of
	// the polls refuses the start and has no other effect.
	polls := func(within time.Duration, result placement.Result) int {
		count := 0
		for until := h.now + within; h.now < until; {
			h.step(20*time.Millisecond, placement.Tick{})
			for _, poll := range take[placement.PollOrder](h) {
				count++
				Expect(poll.Token).To(BeNumerically(">", start.Token))
				Expect(poll.AckedEnd).To(BeZero())
				Expect(poll.ExpiresMS).To(BeZero())
				h.step(0, placement.OrderResponse{Order: poll.Order, Result: result})
			}
		}
		return count
	}
	lose := func() {
		for range 4 {
			respond(placement.Unknown)
		}
		Expect(h.core.Status().Targets).To(BeZero())
	}

	// Guards against a task that runs twice: the next boot under the target's ID carried
	// the start out late, because it had seen no newer token.
	It("keeps a lost target polled until the start can no longer arrive", func() {
		lose()
		Expect(polls(time.Second, placement.Unknown)).To(BeNumerically(">=", 16))
		Expect(polls(11*time.Second, placement.Unknown)).To(BeNumerically(">=", 160))
		Expect(polls(time.Second, placement.Unknown)).To(BeZero())
	})

	// Guards against the end of an idle target's boot that is noticed by its missing
	// heartbeats only, after the next boot has carried the start out.
	It("keeps an idle target polled", func() {
		poll := lastPoll(h, "t")
		Expect(poll.Wait).To(BeNumerically(">", 0))
		h.step(poll.Wait, placement.OrderResponse{Order: poll.Order, Result: placement.OK, ClockMS: 1650, BootUnixMS: 7})
		lastPoll(h, "t")
	})

	// Guards against polls without an end of a target that has left or was replaced.
	It("is forgotten when another target has the address", func() {
		lose()
		polls(100*time.Millisecond, placement.OtherBoot)
		Expect(polls(time.Second, placement.Unknown)).To(BeZero())
	})

	// Guards against polls that compete with those of the target's next owner.
	It("has its target polled less often after a response", func() {
		lose()
		Expect(polls(time.Second, placement.Fenced)).To(BeNumerically("<=", 6))
		Expect(polls(time.Second, placement.Unknown)).To(BeNumerically(">=", 15), "its boot may have ended")
	})
})
