package placement_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornshore.example/jobtable"
	"hawthornshore.example/placement"
)

// refuseStarts lets all targets refuse starts for a while.
func refuseStarts(length time.Duration) func(*simulation) {
	return func(s *simulation) {
		s.refusesStarts = true
		s.after(length, func() { s.refusesStarts = false })
	}
}

// splitHomes isolates coordinators while runs end there, for longer than another home
// takes to start the tasks again. Jobs that are not stored go on there and keep the leases.
func splitHomes(s *simulation) {
	s.after(5200*time.Millisecond, func() { s.isolate(s.randomCoordinator(), 6*time.Second) })
	s.after(6*time.Second, func() { s.isolate(s.randomCoordinator(), 6*time.Second) })
}

var _ = Describe("run numbers", func() {
	play := func(seed uint64, runRange int64, injectFaults func(*simulation)) *simulation {
		s := newSimulation(seed, 3, 12)
		s.storedShare, s.progress = 0.3, true
		s.work = func(task string) time.Duration {
			if s.jobs[placement.JobID(task)].Stored {
				return 200*time.Millisecond + s.randomTime(1500*time.Millisecond)
			}
			return 20*time.Millisecond + s.randomTime(200*time.Millisecond)
		}
		s.log.runRange = runRange
		runSchedule(s, 15, injectFaults)
		s.run(s.now + 20*time.Second) // each move of a job takes seconds
		expectInvariants(s, seed)
		return s
	}

	// Guards against a done task that starts again: its run was ordered after thousands of
	// refused ones, so that its number is one of those of the next home.
	It("of a home that were refused thousands of times do not count at the next one", func() {
		first, count := seedRange()
		seeds := []uint64{14} // has failed
		for seed := first; seed < first+count; seed++ {
			seeds = append(seeds, seed)
		}
		for _, seed := range seeds {
			play(seed, jobtable.RunRange, all(refuseStarts(5*time.Second), splitHomes))
		}
	})

	// Guards against a home that orders runs above its range, and against a job that waits
	// for good once the home has used its range up.
	It("are given anew by a move once a home has used them up", func() {
		first, count := seedRange()
		for seed := first; seed < first+count; seed++ {
			s := play(seed, 4, all(refuseStarts(3*time.Second), splitHomes))
			Expect(s.log.moves).To(BeNumerically(">", 0), "seed %d", seed)
		}
	})

	// Guards against a run number that a later home may use, too.
	It("stay within the range of their home", func() {
		h := newHarness()
		h.acquire("t")
		h.confirm()
		changed := storedChanged("c0/1", 0, placement.TaskProgress{Floor: 7})
		changed.RunLimit = 8
		h.step(0, changed)
		Expect(h.confirmStarts()).To(ConsistOf(HaveField("Run", 8)))
		h.completePoll(placement.OrderResponse{Ended: ended(1, 8, placement.EndLeaseExpired)})
		changed.Tasks[0][0].Floor = 8
		h.step(0, changed)
		Expect(take[placement.StartOrder](h)).To(BeEmpty())
		Expect(take[placement.MoveStoredJobs](h)).To(HaveLen(1))
		h.step(20*time.Millisecond, placement.Tick{})
		Expect(take[placement.MoveStoredJobs](h)).To(BeEmpty(), "the move is under way")
		h.confirm()
		h.step(time.Second, placement.Tick{})
		h.confirm()
		Expect(take[placement.MoveStoredJobs](h)).To(HaveLen(1), "it may have failed")
	})
})
