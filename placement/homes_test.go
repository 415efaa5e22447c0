package placement_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornshore.example/jobtable/homes"
)

var _ = Describe("homes of stored jobs", func() {
	// Guards against jobs that wait for good at a home whose links are up and that no
	// longer follows the log, or for the end of a run that the owner of the target can't
	// record, and against runs of both homes at the same time.
	It("are given up when they stop following the log", func() {
		first, count := seedRange()
		for seed := first; seed < first+count; seed++ {
			s := newSimulation(seed, 3, 12)
			s.storedShare = 0.7
			detached := s.coordinators[s.random.IntN(len(s.coordinators))]
			begin := s.now
			s.load(40, begin+8*time.Second)
			s.after(3*time.Second, func() { s.detach(detached) })
			s.repeat(12, time.Second, func() {
				if detached.detached && s.now-detached.logReadAt > homes.ReadFreshFor+homes.OwnerLostAfter {
					s.handOverAll(detached)
				}
			})
			s.run(begin + 25*time.Second)
			Expect(s.violations).To(BeEmpty(), "seed %d", seed)
			Expect(s.log.unfinished()).To(BeEmpty(), "seed %d: stored jobs without an end", seed)
			s.attach(detached)
			s.run(begin + 30*time.Second)
			expectInvariants(s, seed)
			Expect(s.log.completed).To(BeNumerically(">", 100), "seed %d", seed)
		}
	})
})
