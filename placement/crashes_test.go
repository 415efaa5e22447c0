package placement_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornshore.example/placement"
	"hawthornshore.example/wire"
)

// expectCrashesContained checks that deadly tasks were started a few times only, that no
// stored job has failed, because no run has ended as failed, that jobs that are not stored
// were given up for their own crashes only, and that most sound jobs were completed.
func expectCrashesContained(s *simulation, seed uint64) {
	deadly, given, failed, sound, completed := 0, 0, 0, 0, 0
	for id := range s.jobs {
		state, outcome := wire.StoredState_STORED_STATE_NONE, s.crashes.outcomes[id]
		if j := s.log.table.Job(id); j != nil {
			state = j.State
		}
		done := state == wire.StoredState_STORED_STATE_COMPLETED || state == wire.StoredState_STORED_STATE_NONE && outcome == placement.Completed
		if state == wire.StoredState_STORED_STATE_FAILED {
			failed++
		}
		switch {
		case s.crashes.jobs[id]:
			deadly++
			if outcome == placement.Failed {
				given++
			}
			ExpectWithOffset(1, done).To(BeFalse(), "seed %d: deadly job %s is done", seed, id)
		default:
			sound++
			if done {
				completed++
			}
		}
	}
	ExpectWithOffset(1, s.crashes.violations()).To(BeEmpty(), "seed %d", seed)
	ExpectWithOffset(1, failed).To(BeZero(), "seed %d: stored jobs that were given up", seed)
	ExpectWithOffset(1, completed).To(BeNumerically(">=", sound*9/10), "seed %d: of %d sound jobs", seed, sound)
	ExpectWithOffset(1, s.crashes.total).To(BeNumerically("<=", 4*deadly), "seed %d: crashes for %d deadly jobs", seed, deadly)
	AddReportEntry(fmt.Sprintf("seed %d: %d deadly jobs, %d given up, %d crashes, %d of %d sound jobs completed",
		seed, deadly, given, s.crashes.total, completed, sound), ReportEntryVisibilityFailureOrVerbose)
}

var _ = Describe("tasks that crash each target that starts them", func() {
	// Each guards against a task that is started again and again and takes target after
	// target from the others, and against sound tasks that are given up with it.
	entries := map[string]struct {
		storedShare  float64
		dark, newIDs bool
		injectFaults func(*simulation)
	}{
		"stored jobs":                       {storedShare: 1},
		"stored jobs, targets get new IDs":  {storedShare: 1, newIDs: true},
		"stored jobs, crashed hosts silent": {storedShare: 1, dark: true, newIDs: true},
		"jobs that are not stored":          {newIDs: true},
		"both, a coordinator killed twice": {storedShare: 0.6, newIDs: true, injectFaults: func(s *simulation) {
			c := s.coordinators[s.random.IntN(len(s.coordinators))]
			s.kill(c, time.Duration(300+s.random.IntN(3000))*time.Millisecond)
			s.after(5*time.Second, func() { s.kill(c, time.Second) })
		}},
		"both, targets handed over": {storedShare: 0.6, injectFaults: func(s *simulation) {
			for i := range 400 {
				s.after(time.Duration(i)*15*time.Millisecond, s.handOver)
			}
		}},
		"both, targets partitioned": {storedShare: 0.6, newIDs: true, injectFaults: func(s *simulation) {
			for i := range 4 {
				t := s.targets[s.random.IntN(len(s.targets))]
				s.after(time.Duration(i)*700*time.Millisecond, func() { t.partitioned = true })
				s.after(time.Duration(2500+s.random.IntN(3000))*time.Millisecond, func() { t.partitioned = false })
			}
		}},
		"both, orders without a response": {storedShare: 0.6, injectFaults: func(s *simulation) {
			s.lossRate = 0.03
			s.after(6*time.Second, func() { s.lossRate = 0 })
		}},
	}
	for name, entry := range entries {
		It(name, func() {
			first, count := seedRange()
			for seed := first; seed < first+count; seed++ {
				s := newSimulation(seed, 3, 24)
				s.storedShare = entry.storedShare
				s.crashes.share, s.crashes.dark, s.crashes.newIDs = 0.02, entry.dark, entry.newIDs
				end := s.now + 12*time.Second
				s.loadDeadly(40, s.now+8*time.Second, end)
				if entry.injectFaults != nil {
					s.after(2*time.Second, func() { entry.injectFaults(s) })
				}
				s.run(end + 30*time.Second)
				expectCrashesContained(s, seed)
				s.cancelDeadly()
				s.run(s.now + 10*time.Second)
				expectInvariants(s, seed)
			}
		})
	}
})
