package cluster

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornshore.example/placement"
)

var _ = Describe("updates of available targets", func() {
	available := func(id string, free int64) placement.AvailableTarget {
		return placement.AvailableTarget{
			Target: id, Service: "desk", Labels: []string{"a", "r1"}, Free: placement.Resources{CPUMillis: free},
		}
	}

	// Guards against the cost of large fleets: every target's free capacity sent to
	// every other coordinator each time that a task starts on one of them.
	It("contain only the targets that have changed, after the first one over a link", func() {
		p := newAvailabilityPublisher()
		first := p.updates([]placement.AvailableTarget{available("t", 8), available("u", 8)}, false, []string{"c1"})
		Expect(first["c1"].GetRooms()).To(HaveLen(2))
		Expect(first["c1"].GetPartial()).To(BeFalse())

		changed := p.updates([]placement.AvailableTarget{available("t", 4), available("u", 8)}, false, []string{"c1"})
		Expect(changed["c1"].GetPartial()).To(BeTrue())
		Expect(changed["c1"].GetRooms()).To(HaveLen(1))
		Expect(changed["c1"].GetRooms()[0].GetTarget()).To(Equal("t"))
		Expect(changed["c1"].GetRooms()[0].GetLabels()).To(BeEmpty())

		Expect(p.updates([]placement.AvailableTarget{available("t", 4), available("u", 8)}, false, []string{"c1"})).To(BeEmpty())
		Expect(p.updates([]placement.AvailableTarget{available("u", 8)}, false, []string{"c1"})["c1"].GetRemoved()).To(HaveExactElements("t"))
	})

	// Guards against a coordinator that misses targets after its link was replaced.
	It("contain all targets over a new link", func() {
		p := newAvailabilityPublisher()
		targets := []placement.AvailableTarget{available("t", 8), available("u", 8)}
		p.updates(targets, false, []string{"c1", "c2"})
		p.forget("c2")
		updates := p.updates(targets, false, []string{"c1", "c2"})
		Expect(updates).To(HaveLen(1))
		Expect(updates["c2"].GetRooms()).To(HaveLen(2))
		Expect(updates["c2"].GetPartial()).To(BeFalse())
	})

	// Guards against a target that a home treats as full for good after a rejection.
	It("contain a target that a home has a wrong view of", func() {
		p := newAvailabilityPublisher()
		targets := []placement.AvailableTarget{available("t", 8)}
		p.updates(targets, false, []string{"c1"})
		p.correct("t")
		Expect(p.updates(targets, false, []string{"c1"})["c1"].GetRooms()).To(HaveLen(1))
	})

	// Guards against messages for each small change of a learned speed, and against a speed
	// that drifts away from the one sent.
	It("contain a speed that has moved by a tenth, or has become known or unknown", func() {
		p := newAvailabilityPublisher()
		sends := func(speed int) bool {
			target := available("t", 8)
			target.SpeedPermille = speed
			return len(p.updates([]placement.AvailableTarget{target}, false, []string{"c1"})) > 0
		}
		Expect(sends(0)).To(BeTrue())
		Expect(sends(1500)).To(BeTrue())
		Expect(sends(1400)).To(BeFalse())
		Expect(sends(1350)).To(BeTrue())
		Expect(sends(0)).To(BeTrue())
	})

	// Guards against homes that keep a target which is gone: the correction after a
	// rejection made the publisher forget that it had announced the target.
	It("name a corrected target that is no longer available as removed", func() {
		p := newAvailabilityPublisher()
		p.updates([]placement.AvailableTarget{available("t", 8), available("u", 8)}, false, []string{"c1"})
		p.correct("t")
		update := p.updates([]placement.AvailableTarget{available("u", 8)}, false, []string{"c1"})["c1"]
		Expect(update.GetRemoved()).To(HaveExactElements("t"))
	})
})
