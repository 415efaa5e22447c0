package placement_test

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornshore.example/placement"
)

// availabilityOf returns a complete update of a coordinator that takes the placements
// up to a ref into account.
func availabilityOf(peer string, included uint64, demand map[string]uint32, targets ...placement.AvailableTarget) placement.PeerAvailability {
	return placement.PeerAvailability{Peer: peer, Targets: targets, IncludedRef: &included, Demand: demand}
}

// smallJob returns a job of one task that needs 4 cores.
func smallJob(number int) placement.Submit {
	job := lentJob(fmt.Sprintf("%016x", number))
	job.Caller.Ref = uint64(number)
	job.Job.Steps[0].Need.CPUMillis = 4000
	return job
}

// requestedTargets returns the targets of the placements requested since the last call.
func requestedTargets(h *harness) []string {
	var targets []string
	for _, request := range take[placement.RequestPlacements](h) {
		for i := range request.Placements {
			targets = append(targets, request.Placements[i].Target)
		}
	}
	return targets
}

var _ = Describe("the view of another coordinator's capacity", func() {
	// Load: a burst at one home. An update that was made before the home's placements
	// arrived shows capacity that the home has used itself.
	It("keeps placements subtracted that an update does not include", func() {
		h := newHarness()
		h.step(0, availabilityOf("c1", 0, nil, availableTarget("t", 4000)))
		h.step(0, smallJob(1))
		requests := take[placement.RequestPlacements](h)
		Expect(requests).To(HaveLen(1))
		ref := requests[0].Placements[0].Ref

		crossing := availabilityOf("c1", 0, nil, availableTarget("t", 4000))
		crossing.Partial = true
		h.step(time.Millisecond, crossing)
		h.step(0, smallJob(2))
		Expect(requestedTargets(h)).To(BeEmpty())

		h.step(10*time.Millisecond, availabilityOf("c1", ref, nil, availableTarget("t", 4000)))
		Expect(requestedTargets(h)).To(HaveExactElements("t"))
	})

	// Guards against a target that a home treats as full although a run has ended as
	// the placement started, so that the owner has no change to send.
	It("adds a placement again that an update includes without a change of its target", func() {
		h := newHarness()
		h.step(0, availabilityOf("c1", 0, nil, availableTarget("t", 4000)))
		h.step(0, smallJob(1))
		ref := take[placement.RequestPlacements](h)[0].Placements[0].Ref
		h.step(0, smallJob(2))
		unchanged := availabilityOf("c1", ref, nil)
		unchanged.Partial = true
		h.step(10*time.Millisecond, unchanged)
		Expect(requestedTargets(h)).To(HaveExactElements("t"))
	})

	// Guards against a change of behaviour beside coordinators of the earlier version.
	It("is the last update if that names no placement", func() {
		h := newHarness()
		h.step(0, placement.PeerAvailability{Peer: "c1", Targets: []placement.AvailableTarget{availableTarget("t", 4000)}})
		h.step(0, smallJob(1))
		Expect(requestedTargets(h)).To(HaveExactElements("t"))
		h.step(0, placement.PeerAvailability{Peer: "c1", Partial: true, Targets: []placement.AvailableTarget{availableTarget("t", 4000)}})
		h.step(0, smallJob(2))
		Expect(requestedTargets(h)).To(HaveExactElements("t"))
	})

	// Load: more waiting tasks than free capacity. A rejection means that none of the
	// owner's targets has the capacity, so another task would be rejected as well.
	It("is full for tasks as large as a rejected one until the next update", func() {
		h := newHarness()
		targets := []placement.AvailableTarget{availableTarget("t", 4000), availableTarget("u", 5000), availableTarget("v", 5000)}
		h.step(0, availabilityOf("c1", 0, nil, targets...))
		h.step(0, smallJob(1))
		ref := take[placement.RequestPlacements](h)[0].Placements[0].Ref
		h.step(time.Millisecond, placement.PlacementsReported{Peer: "c1", Reports: []placement.Report{
			{Ref: ref, Kind: placement.RunRejected, Target: "t", Reason: placement.ReasonNoRoom},
		}})
		Expect(requestedTargets(h)).To(BeEmpty())
		smaller := smallJob(2)
		smaller.Job.Steps[0].Need.CPUMillis = 2000
		h.step(0, smaller)
		Expect(requestedTargets(h)).To(HaveLen(1))
		h.step(10*time.Millisecond, availabilityOf("c1", ref, nil, targets...))
		Expect(requestedTargets(h)).To(HaveLen(1))
	})

	// Guards against an update that names placements of an earlier process of a home,
	// whose refs may be higher than those of the next one.
	It("names the placements over the present link", func() {
		h := newHarness()
		request := placement.PlacementsRequested{Peer: "c1", Placements: []placement.Placement{{Ref: 7, Task: "j.0.0.0", Run: 1, Service: "desk"}}}
		h.step(0, request)
		Expect(h.core.IncludedRef("c1")).To(Equal(uint64(7)))
		Expect(h.core.Demand()).To(Equal(map[string]uint32{"c1": 1}))
		h.step(0, placement.PeerDisconnected{Peer: "c1"})
		Expect(h.core.IncludedRef("c1")).To(BeZero())
		Expect(h.core.Demand()).To(BeEmpty())
	})

	It("names the demand of the last second only", func() {
		h := newHarness()
		h.step(0, placement.PlacementsRequested{Peer: "c1", Placements: []placement.Placement{{Ref: 7, Task: "j.0.0.0", Run: 1, Service: "desk"}}})
		h.step(time.Second, placement.Tick{})
		Expect(h.core.Demand()).To(BeEmpty())
	})
})

var _ = Describe("scarce capacity of another coordinator", func() {
	var targets []placement.AvailableTarget
	BeforeEach(func() {
		targets = nil
		for i := range 8 {
			targets = append(targets, availableTarget(fmt.Sprintf("t%d", i), 4000))
		}
	})
	// place submits as many tasks as there are targets at a home, and returns the
	// targets at which it requests placements.
	place := func(name string, demand map[string]uint32, later time.Duration) []string {
		h := newHarness()
		h.core = placement.New(placement.Options{Name: name, Home: name + "/1", Lease: time.Second, StopTime: 50 * time.Millisecond, UnixMS: 1_700_000_000_000})
		h.step(0, availabilityOf("owner", 0, demand, slices.Clone(targets)...))
		h.step(later, placement.Tick{})
		for i := range targets {
			h.step(0, smallJob(1+i))
		}
		return requestedTargets(h)
	}

	// Load: all homes have waiting tasks when a few targets get free.
	It("is used by one home at a time", func() {
		demand := map[string]uint32{"c1": 50, "c2": 50, "c3": 50}
		var used []string
		for name := range demand {
			used = append(used, place(name, demand, 0)...)
		}
		Expect(used).NotTo(BeEmpty())
		slices.Sort(used)
		Expect(slices.Compact(slices.Clone(used))).To(Equal(used))
	})

	// Load: nearly all demand comes to one home.
	It("is shared in proportion to the demand", func() {
		demand := map[string]uint32{"c1": 1000, "c2": 1}
		Expect(place("c1", demand, 0)).To(HaveLen(5), "the last 3 are left to the owner")
		Expect(place("c2", demand, 0)).To(BeEmpty())
	})

	// Load: all demand comes to one home, which must not wait for others.
	It("is used at once by a home without competitors", func() {
		Expect(place("c1", map[string]uint32{"c1": 50}, 0)).To(HaveLen(8))
		Expect(place("c1", nil, 0)).To(HaveLen(8))
	})

	// Guards against capacity that stays idle because the home that it is kept for has
	// no task for it.
	It("is used by any home once it has not changed for a time", func() {
		Expect(place("c2", map[string]uint32{"c1": 1000, "c2": 1}, 60*time.Millisecond)).To(HaveLen(8))
	})

	// Load: more than the capacity. Capacity that is kept for others must not make this
	// home refuse a job.
	It("is used by a job that would soon be refused", func() {
		h := newHarness()
		demand := map[string]uint32{"c1": 1000, "c0": 1}
		h.step(0, smallJob(1))
		h.step(300*time.Millisecond, availabilityOf("owner", 0, demand, slices.Clone(targets)...))
		Expect(requestedTargets(h)).To(BeEmpty())
		h.step(100*time.Millisecond, availabilityOf("owner", 0, demand, slices.Clone(targets)...))
		Expect(requestedTargets(h)).To(HaveLen(1))
	})

	// Guards against worse placements while capacity is free: best fit leaves room for
	// large tasks.
	It("is not assumed while the owner has capacity for many tasks", func() {
		targets = append(targets, availableTarget("large", 64000), availableTarget("larger", 65000))
		Expect(place("c2", map[string]uint32{"c1": 1000, "c2": 1}, 0)).To(HaveExactElements(
			"t0", "t1", "t2", "t3", "t4", "t5", "t6", "t7", "large", "large"))
	})
})
