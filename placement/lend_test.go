package placement_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornshore.example/placement"
)

func availableTarget(id string, free int64) placement.AvailableTarget {
	return placement.AvailableTarget{Target: id, Service: "desk", Free: placement.Resources{CPUMillis: free, MemoryMB: 1000}}
}

func lentJob(id string) placement.Submit {
	return placement.Submit{
		Caller: placement.Caller{Gateway: "g", Ref: uint64(len(id))},
		Job: placement.Job{
			ID: id, Service: "desk", MaxAttempts: 2, Stretch: 1.6, Allowance: time.Second,
			Steps: []placement.Step{{Count: 1, Expected: time.Second, Need: placement.Resources{CPUMillis: 16000}}},
		},
	}
}

var _ = Describe("targets of other coordinators", func() {
	// Pattern: a coordinator freezes or loses power beside a burst. Tasks that are
	// placed on its targets until its link fails are lost.
	It("get no more tasks once their owner has not answered a placement in time", func() {
		h := newHarness()
		for _, name := range []string{"c1", "c2"} {
			h.step(0, placement.PeerAvailability{Peer: name, Targets: []placement.AvailableTarget{availableTarget(name+"t", 16000), availableTarget(name+"u", 16000)}})
		}
		h.step(0, lentJob("1"))
		Expect(take[placement.RequestPlacements](h)).To(HaveExactElements(HaveField("Peer", "c1")))
		h.step(250*time.Millisecond, placement.Tick{})
		h.step(0, lentJob("22"))
		Expect(take[placement.RequestPlacements](h)).To(HaveExactElements(HaveField("Peer", "c2")))
		h.step(0, placement.PeerAvailability{Peer: "c1", Partial: true})
		h.step(0, lentJob("333"))
		Expect(take[placement.RequestPlacements](h)).To(HaveExactElements(HaveField("Peer", "c1")))
	})

	// Guards against a task that runs twice: the other end of a link that fails in one
	// direction first detects it 0.85 s later, and may have started the run just before.
	It("have their runs started again only once the owner has noticed and the lease is over", func() {
		h := newHarness()
		h.step(0, placement.PeerAvailability{Peer: "c1", Targets: []placement.AvailableTarget{availableTarget("t", 16000)}})
		h.step(0, lentJob("1"))
		Expect(take[placement.RequestPlacements](h)).To(HaveLen(1))
		h.step(10*time.Millisecond, placement.PeerDisconnected{Peer: "c1"})
		h.acquire("own")
		const detected, lease = 850 * time.Millisecond, 1030 * time.Millisecond
		h.step(detected+lease, placement.Tick{})
		Expect(take[placement.StartOrder](h)).To(BeEmpty(), "the lost run may be alive")
		h.step(100*time.Millisecond, placement.Tick{})
		Expect(take[placement.StartOrder](h)).To(HaveLen(1))
	})

	// Pattern: a data centre is cut off or its coordinator is lost beside normal load.
	// Tasks that run through another coordinator are lost with the link to it.
	It("get a task only if none of the own targets has room for it", func() {
		h := newHarness()
		h.acquire("own")
		h.step(0, placement.PeerAvailability{Peer: "c1", Targets: []placement.AvailableTarget{availableTarget("t", 10000)}})
		for _, id := range []string{"1", "22"} {
			job := lentJob(id)
			job.Job.Steps[0].Need.CPUMillis = 10000 // fits the other target exactly
			h.step(0, job)
		}
		Expect(take[placement.StartOrder](h)).To(HaveLen(2))
		Expect(take[placement.RequestPlacements](h)).To(BeEmpty())
		job := lentJob("333")
		job.Job.Steps[0].Need.CPUMillis = 10000
		h.step(0, job)
		Expect(take[placement.StartOrder](h)).To(HaveLen(1))
		job.Caller.Ref, job.Job.ID = 4, "4444"
		h.step(0, job)
		Expect(take[placement.RequestPlacements](h)).To(HaveLen(1))
	})

	It("are known from partial updates, which are ignored without a complete one", func() {
		h := newHarness()
		h.step(0, placement.PeerAvailability{Peer: "c1", Partial: true, Targets: []placement.AvailableTarget{availableTarget("t", 16000)}})
		h.step(0, lentJob("1"))
		Expect(take[placement.RequestPlacements](h)).To(BeEmpty())
		h.step(0, placement.PeerAvailability{Peer: "c1", Targets: []placement.AvailableTarget{availableTarget("t", 8000), availableTarget("u", 8000)}})
		h.step(0, placement.PeerAvailability{Peer: "c1", Partial: true, Removed: []string{"u"}, Targets: []placement.AvailableTarget{
			{Target: "t", Free: placement.Resources{CPUMillis: 16000, MemoryMB: 1000}},
		}})
		Expect(take[placement.RequestPlacements](h)).To(HaveLen(1))
		Expect(h.core.Status().PeerTargets).To(Equal(1))
	})

	// Guards against a task that is placed and rejected without end: its home prefers
	// other targets than the one on which a run was lost, and finds no other.
	It("run a task on the chosen target although it should be avoided", func() {
		h := newHarness()
		h.acquire("t")
		h.step(0, placement.PlacementsRequested{Peer: "c1", Placements: []placement.Placement{
			{Ref: 1, Task: "j.0.0.0", Run: 2, Service: "desk", Target: "t", Avoid: "t"},
			{Ref: 2, Task: "j.0.0.1", Run: 2, Service: "desk", Target: "gone", Avoid: "t"},
		}})
		Expect(take[placement.StartOrder](h)).To(HaveExactElements(HaveField("Task", "j.0.0.0")))
	})

	// Guards against a home that treats a target as full for good: the owner sends
	// only changes, and a rejected placement changes nothing.
	It("are sent again to a home whose placement was rejected", func() {
		h := newHarness()
		h.step(0, placement.PlacementsRequested{Peer: "c1", Placements: []placement.Placement{{Ref: 1, Task: "j.0.0.0", Run: 1, Service: "desk", Target: "t"}}})
		Expect(take[placement.AvailabilityCorrected](h)).To(HaveExactElements(placement.AvailabilityCorrected{Target: "t"}))
		Expect(take[placement.AvailabilityChanged](h)).To(HaveLen(1))
	})
})

var _ = Describe("placements of other homes", func() {
	place := func(h *harness, placements ...placement.Placement) {
		for i := range placements {
			p := &placements[i]
			p.Ref, p.Run, p.Service, p.Need = uint64(i+1), 1, "desk", placement.Resources{CPUMillis: 1000}
		}
		h.step(0, placement.PlacementsRequested{Peer: "c1", Placements: placements})
	}

	// Guards against a task on a target that its home would not have chosen: the home
	// counts the tasks of the step there until it is told of the start.
	It("of a step with a limit, or of a suspect, start on the chosen target or not at all", func() {
		h := newHarness()
		h.acquire("t")
		h.step(0, placement.PeerConnected{Peer: "c1"})
		place(h, placement.Placement{Task: "j.0.3.0", Target: "gone"})
		Expect(take[placement.StartOrder](h)).To(BeEmpty(), "the home may be of an earlier version")
		h.step(0, placement.PeerConnected{Peer: "c1", ChecksStepLimits: true})
		place(h, placement.Placement{Task: "j.0.0.0", Target: "gone", PerTarget: 1},
			placement.Placement{Task: "j.0.1.0", Target: "gone", Suspect: true},
			placement.Placement{Task: "j.0.2.0", Target: "gone"})
		Expect(take[placement.StartOrder](h)).To(HaveExactElements(HaveField("Task", "j.0.2.0")))
	})

	// Guards against more tasks of a step on a target than the step allows: two placements
	// of one request, and a run that its home has given up and that is still being stopped.
	It("are refused beyond the limit of their step, counting runs that are being stopped", func() {
		h := newHarness()
		h.acquire("t")
		h.step(0, placement.PeerConnected{Peer: "c1"})
		place(h, placement.Placement{Task: "j.0.0.0", Target: "t", PerTarget: 1},
			placement.Placement{Task: "j.0.0.1", Target: "t", PerTarget: 1},
			placement.Placement{Task: "j.0.1.0", Target: "t", PerTarget: 1})
		Expect(h.confirmStarts()).To(HaveExactElements(HaveField("Task", "j.0.0.0"), HaveField("Task", "j.0.1.0")))
		h.step(0, placement.PeerDisconnected{Peer: "c1"})
		Expect(take[placement.StopOrder](h)).To(HaveLen(2))
		h.step(0, placement.PlacementsRequested{Peer: "c2", Placements: []placement.Placement{
			{Ref: 1, Task: "j.0.0.2", Run: 1, Service: "desk", Target: "t", PerTarget: 1},
		}})
		Expect(take[placement.StartOrder](h)).To(BeEmpty())
	})

	// Guards against the same after a move of the job: its new home knows of no run of the
	// earlier one at its own target.
	It("keep a task of their step away when this coordinator becomes its home", func() {
		h := newHarness()
		h.acquire("t")
		h.step(0, placement.PeerConnected{Peer: "c1"})
		h.step(0, placement.PlacementsRequested{Peer: "c1", Placements: []placement.Placement{
			{Ref: 1, Task: suspectJob + ".0.0.1", Run: 1, Service: "desk", Target: "t", PerTarget: 1},
		}})
		Expect(h.confirmStarts()).To(HaveLen(1))
		moved := job(suspectJob, 1)
		moved.Steps[0].PerTarget = 1
		h.step(0, placement.Submit{Caller: placement.Caller{Gateway: "g", Ref: 1}, Job: moved})
		Expect(take[placement.StartOrder](h)).To(BeEmpty())
	})

	// Guards against a target chosen by an owner of an earlier version, which does not know
	// the limit.
	It("with a limit go only to owners that check it", func() {
		h := newHarness()
		limited := lentJob("1")
		limited.Job.Steps[0].PerTarget = 1
		available := placement.PeerAvailability{Peer: "c1", Targets: []placement.AvailableTarget{availableTarget("t", 16000)}}
		h.step(0, placement.PeerConnected{Peer: "c1"})
		h.step(0, available)
		h.step(0, limited)
		Expect(take[placement.RequestPlacements](h)).To(BeEmpty())
		h.step(0, placement.PeerConnected{Peer: "c1", ChecksStepLimits: true})
		h.step(0, available)
		Expect(take[placement.RequestPlacements](h)).To(HaveLen(1))
	})
})

var _ = Describe("available targets", func() {
	// Guards against targets that others do not use for as long as nothing else changes
	// here: a target that was unavailable for a moment is usable again.
	It("are announced again once their pause is over", func() {
		h := newHarness()
		h.acquire("t")
		h.submitPatient(1)
		start := take[placement.StartOrder](h)[0]
		h.step(time.Millisecond, placement.OrderResponse{Order: start.Order, Result: placement.Unavailable})
		h.step(0, placement.Withdraw{Caller: placement.Caller{Gateway: "g", Ref: 1}})
		h.step(20*time.Millisecond, placement.Tick{})
		Expect(h.core.AvailableTargets()).To(BeEmpty())
		take[placement.AvailabilityChanged](h)
		h.wait(400 * time.Millisecond)
		Expect(take[placement.AvailabilityChanged](h)).To(BeEmpty())
		h.wait(200 * time.Millisecond)
		Expect(h.core.AvailableTargets()).To(HaveLen(1))
		Expect(take[placement.AvailabilityChanged](h)).NotTo(BeEmpty())
	})
})
