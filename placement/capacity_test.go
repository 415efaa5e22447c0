package placement_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornshore.example/placement"
)

// resized returns the description of target "t" with another capacity.
func resized(sequence uint64, cpuMillis int64) placement.Description {
	d := description("t", sequence)
	d.Capacity.CPUMillis = cpuMillis
	return d
}

var _ = Describe("a target whose capacity changes while it runs", func() {
	var h *harness
	BeforeEach(func() {
		h = newHarness()
		h.acquire("t")
		h.submit("0000000000000001", 1, 1)
		h.confirmStarts()
	})

	// Guards against a start that exceeds a capacity that has shrunk: the target does not
	// enforce it. What runs there stays.
	It("gets no start beyond its present capacity, and keeps its runs", func() {
		h.step(0, placement.Heartbeat{Description: resized(2, 16000)})
		h.submit("0000000000000002", 1, 2)
		h.step(20*time.Millisecond, placement.Tick{})
		Expect(take[placement.StartOrder](h)).To(BeEmpty())
		Expect(take[placement.StopOrder](h)).To(BeEmpty())
	})

	// Guards against a placement of another home that exceeds a capacity that has shrunk:
	// the home's view of it is older.
	It("rejects placements beyond its present capacity", func() {
		h.step(0, placement.PeerConnected{Peer: "c1"})
		h.step(0, placement.Heartbeat{Description: resized(2, 16000)})
		h.step(0, placement.PlacementsRequested{Peer: "c1", Placements: []placement.Placement{{
			Ref: 1, Task: "0000000000000002.0.0.0", Run: 1, Service: "desk", Need: placement.Resources{CPUMillis: 14000}, Target: "t",
		}}})
		Expect(take[placement.StartOrder](h)).To(BeEmpty())
		Expect(take[placement.SendReports](h)).To(HaveLen(1))
	})

	// Guards against a capacity that has grown and stays unused.
	It("gets starts once its capacity has grown", func() {
		h.step(0, placement.Heartbeat{Description: resized(2, 16000)})
		h.submit("0000000000000002", 1, 2)
		h.step(0, placement.Heartbeat{Description: resized(3, 32000)})
		Expect(take[placement.StartOrder](h)).To(HaveLen(1))
	})

	// Guards against other coordinators that go on placing tasks there until something
	// else changes.
	It("has its free capacity announced at once", func() {
		take[placement.AvailabilityChanged](h)
		h.step(0, placement.Heartbeat{Description: resized(2, 16000)})
		Expect(take[placement.AvailabilityChanged](h)).To(HaveLen(1))
		Expect(h.core.AvailableTargets()).To(ConsistOf(HaveField("Free.CPUMillis", int64(2000))))
	})

	// Guards against an earlier capacity that a late hand-over brings back.
	It("keeps its newest description at a hand-over", func() {
		h.step(0, placement.Heartbeat{Description: resized(3, 16000)})
		h.step(0, placement.HandOverReceived{Peer: "c1", HandOver: placement.HandOver{Description: resized(2, 32000), Token: 1 << 62}})
		for _, poll := range h.polls("t") {
			h.step(time.Millisecond, placement.OrderResponse{Order: poll.Order, Result: placement.OK, ClockMS: 1000, BootUnixMS: 7})
		}
		Expect(h.core.AvailableTargets()).To(ConsistOf(HaveField("Free.CPUMillis", int64(16000))))
	})

	// Guards against starts by the capacity that an earlier process knew: it may have shrunk
	// since.
	It("gets no start after a restart of its owner until its first heartbeat", func() {
		h = newHarness()
		h.step(0, placement.TargetsRestored{Targets: []placement.Description{description("t", 0)}})
		h.step(300*time.Millisecond, placement.Tick{})
		h.step(time.Millisecond, placement.OrderResponse{Order: lastPoll(h, "t").Order, Result: placement.OK, ClockMS: 1000, BootUnixMS: 7})
		h.submit("0000000000000002", 2, 2)
		Expect(take[placement.StartOrder](h)).To(BeEmpty())
		h.step(20*time.Millisecond, placement.Heartbeat{Description: resized(9, 16000)})
		Expect(take[placement.StartOrder](h)).To(HaveLen(1))
	})
})
