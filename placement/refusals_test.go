package placement_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornshore.example/placement"
)

// refuseFor lets time pass while the owner of target "t" refuses each placement and
// offers the target unchanged. It returns the number of placements.
func (h *harness) refuseFor(length time.Duration) int {
	count := 0
	for until := h.now + length; h.now < until; {
		h.step(time.Millisecond, placement.Tick{})
		for _, request := range take[placement.RequestPlacements](h) {
			for i := range request.Placements {
				count++
				h.step(0, placement.PlacementsReported{Peer: request.Peer, Reports: []placement.Report{
					{Ref: request.Placements[i].Ref, Kind: placement.RunRejected, Target: "t", Reason: "limit of the step"},
				}})
			}
			h.step(0, placement.PeerAvailability{Peer: "c1", Partial: true, Targets: []placement.AvailableTarget{
				{Target: "t", Free: placement.Resources{CPUMillis: 16000, MemoryMB: 1000}},
			}})
		}
	}
	return count
}

var _ = Describe("refused placements", func() {
	var h *harness
	BeforeEach(func() {
		h = newHarness()
		h.step(0, placement.PeerConnected{Peer: "c1", ChecksStepLimits: true})
		h.step(0, placement.PeerAvailability{Peer: "c1", Targets: []placement.AvailableTarget{availableTarget("t", 16000)}})
		patient := lentJob("1")
		patient.Job.Allowance = time.Minute
		h.step(0, patient)
	})

	// Guards against a task that is placed and refused a hundred times a second, for a
	// reason that the offered targets do not show.
	It("are repeated at the same target after growing pauses", func() {
		Expect(h.refuseFor(10 * time.Second)).To(And(BeNumerically(">", 5), BeNumerically("<=", 20)))
	})

	// Guards against a task that waits although another target has room.
	It("keep the task from no other target", func() {
		h.refuseFor(10 * time.Millisecond)
		h.step(0, placement.PeerAvailability{Peer: "c2", Targets: []placement.AvailableTarget{availableTarget("u", 16000)}})
		Expect(take[placement.RequestPlacements](h)).To(HaveExactElements(HaveField("Peer", "c2")))
	})

	// Guards against a task that waits for long after a target has run one like it.
	It("pause for a short time again once the target has run a task of the step", func() {
		h.refuseFor(3 * time.Second)
		h.wait(time.Second)
		request := take[placement.RequestPlacements](h)[0]
		report := func(kind placement.ReportKind) {
			h.step(0, placement.PlacementsReported{Peer: "c1", Reports: []placement.Report{{Ref: request.Placements[0].Ref, Kind: kind, Target: "t"}}})
		}
		report(placement.RunStarted)
		report(placement.RunStopped)
		h.step(0, placement.PeerAvailability{Peer: "c1", Targets: []placement.AvailableTarget{availableTarget("t", 16000)}})
		Expect(h.refuseFor(100 * time.Millisecond)).To(BeNumerically(">=", 3))
	})
})
