package placement_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// disruption is a random schedule of faults of the network, of targets and of callers.
type disruption struct {
	perSecond    int
	storedShare  float64
	longestRun   time.Duration
	clockSpread  time.Duration
	injectFaults func(*simulation)
	seeds        []uint64 // that have failed once, run each time
}

// repeat runs a function a number of times at an interval.
func (s *simulation) repeat(count int, interval time.Duration, do func()) {
	for i := range count {
		s.after(time.Duration(i)*interval, do)
	}
}

// cutTargetsOneWay loses all requests to, or all responses of, some targets.
func cutTargetsOneWay(s *simulation) {
	s.repeat(8, 900*time.Millisecond, func() {
		path := simPath{requestLoss: 1}
		if s.random.IntN(2) == 0 {
			path = simPath{responseLoss: 1}
		}
		s.impair(s.randomTarget(), path, s.someCoordinators(), 100*time.Millisecond+s.randomTime(4*time.Second))
	})
}

// loseMessages makes the paths to a third of the targets lossy.
func loseMessages(s *simulation) { loseShare(s, 0.3) }

// loseMostMessages does so with paths on which a message of several packets rarely
// arrives in time.
func loseMostMessages(s *simulation) { loseShare(s, 0.6) }

func loseShare(s *simulation, share float64) {
	for _, t := range s.targets {
		if s.random.IntN(3) == 0 {
			s.impair(t, simPath{requestLoss: share, responseLoss: share}, s.someCoordinators(), 7*time.Second)
		}
	}
}

// crashTargets crashes targets that return under their IDs.
func crashTargets(step time.Duration) func(*simulation) {
	return func(s *simulation) {
		s.repeat(12, 600*time.Millisecond, func() {
			s.crash(s.randomTarget(), 50*time.Millisecond+s.randomTime(1500*time.Millisecond), step)
		})
	}
}

// callersReturn breaks the connections of callers again and again.
func callersReturn(delay time.Duration) func(*simulation) {
	return func(s *simulation) {
		s.repeat(25, 300*time.Millisecond, func() { s.breakCallers(0.3, delay) })
	}
}

// cutLinksOneWay cuts links between coordinators, one direction first.
func cutLinksOneWay(s *simulation) {
	s.repeat(6, 1300*time.Millisecond, func() {
		s.cutLinkOneWay(s.randomCoordinator(), s.randomCoordinator(), s.randomTime(4*time.Second))
	})
}

// loseCoordinators kills and pauses coordinators.
func loseCoordinators(s *simulation) {
	s.repeat(3, 2500*time.Millisecond, func() {
		if c := s.randomCoordinator(); s.random.IntN(2) == 0 && !c.down && !c.paused {
			s.kill(c, 200*time.Millisecond+s.randomTime(2*time.Second))
		} else {
			s.pause(c, 100*time.Millisecond+s.randomTime(2*time.Second))
		}
	})
}

// holdResponses loses the responses of targets for so short a time that they stay owned.
func holdResponses(s *simulation) {
	s.repeat(60, 120*time.Millisecond, func() {
		s.impair(s.randomTarget(), simPath{responseLoss: 1}, s.coordinators, 150*time.Millisecond+s.randomTime(300*time.Millisecond))
	})
}

// handTargetsOver hands targets over again and again.
func handTargetsOver(s *simulation) { s.repeat(200, 30*time.Millisecond, s.handOver) }

// loseResponses loses responses of orders, which may be carried out late.
func loseResponses(s *simulation) {
	s.lossRate = 0.06
	s.after(7*time.Second, func() { s.lossRate = 0 })
}

// truncateLists lets targets list few ended runs at a time.
func truncateLists(s *simulation) {
	for _, t := range s.targets {
		t.runner.LimitListedEnds(1 + s.random.IntN(3))
	}
}

func all(faults ...func(*simulation)) func(*simulation) {
	return func(s *simulation) {
		for _, inject := range faults {
			inject(s)
		}
	}
}

var _ = Describe("disruptions", func() {
	const promptly = 10 * time.Millisecond
	// Each guards against tasks that run twice at the same time, targets over their
	// capacity, second answers, and jobs or runs that are never removed.
	entries := map[string]disruption{
		"targets cut off in one direction": {perSecond: 40, injectFaults: cutTargetsOneWay},
		"targets cut off in one direction, callers return": {
			perSecond: 40, injectFaults: all(cutTargetsOneWay, callersReturn(promptly)),
		},
		"lossy paths to targets": {perSecond: 40, injectFaults: loseMessages},
		"lossy paths to targets, callers return": {
			perSecond: 40, longestRun: 3 * time.Second, injectFaults: all(loseMessages, callersReturn(promptly)),
		},
		"most messages to targets lost, callers return": {
			perSecond: 5, longestRun: 3 * time.Second, injectFaults: all(loseMostMessages, callersReturn(promptly)),
		},
		// 40, and 2 below: the next boot had accepted a start, and its first list of
		// runs was taken for the end of all runs.
		"targets return under their IDs": {perSecond: 40, seeds: []uint64{40}, injectFaults: crashTargets(0)},
		"targets return under their IDs with an earlier time of day": {
			perSecond: 40, injectFaults: crashTargets(-5 * time.Second),
		},
		"targets return under their IDs, orders are late": {
			perSecond: 40, seeds: []uint64{2}, injectFaults: all(crashTargets(0), loseResponses),
		},
		"lists of ends truncated, responses lost": {perSecond: 40, injectFaults: all(truncateLists, holdResponses, loseResponses)},
		"callers return": {perSecond: 40, longestRun: 3 * time.Second, injectFaults: callersReturn(promptly)},
		"callers return after the link of their gateway has failed": {
			perSecond: 40, longestRun: 3 * time.Second, injectFaults: callersReturn(750 * time.Millisecond),
		},
		"links cut in one direction": {perSecond: 40, longestRun: 2 * time.Second, injectFaults: cutLinksOneWay},
		"links cut in one direction, coordinators lost, callers return": {
			perSecond: 40, longestRun: 2 * time.Second, injectFaults: all(cutLinksOneWay, loseCoordinators, callersReturn(promptly)),
		},
		"links cut in one direction, most messages to targets lost": {
			perSecond: 6, longestRun: 3 * time.Second, injectFaults: all(cutLinksOneWay, loseMostMessages),
		},
		"coordinators with clocks apart": {
			perSecond: 40, clockSpread: 3 * time.Second, injectFaults: all(loseCoordinators, cutLinksOneWay, cutTargetsOneWay),
		},
		"all disruptions": {
			perSecond: 40, longestRun: time.Second, clockSpread: 3 * time.Second,
			injectFaults: all(cutTargetsOneWay, loseMessages, crashTargets(-2*time.Second), cutLinksOneWay, loseCoordinators),
		},
		"stored jobs, targets return under their IDs": {perSecond: 40, storedShare: 0.7, injectFaults: crashTargets(-5 * time.Second)},
		// 8: a list that left a run's end out was taken for the proof that it never started.
		"stored jobs, lists of ends truncated, responses lost": {
			perSecond: 40, storedShare: 0.7, seeds: []uint64{8}, injectFaults: all(truncateLists, holdResponses),
		},
		"stored jobs, lists of ends truncated, targets handed over": {
			perSecond: 40, storedShare: 0.7, injectFaults: all(truncateLists, cutTargetsOneWay, handTargetsOver),
		},
		// 8: a start was carried out late by the next boot, when the task was done elsewhere.
		"stored jobs, targets return under their IDs, orders are late": {
			perSecond: 40, storedShare: 0.7, seeds: []uint64{8}, injectFaults: all(crashTargets(0), loseResponses),
		},
		// 2: the next boot confirmed a start, and dropped its end for the number that was
		// acknowledged to the earlier one.
		"stored jobs, lists of ends truncated, targets handed over and restarted": {
			perSecond: 40, storedShare: 0.7, seeds: []uint64{2}, injectFaults: all(truncateLists, cutTargetsOneWay, handTargetsOver, crashTargets(0)),
		},
		// 9: an earlier owner acknowledged ends of the next boot, which it had not listed.
		"stored jobs, all disruptions": {
			perSecond: 40, storedShare: 0.7, clockSpread: 3 * time.Second, seeds: []uint64{9},
			injectFaults: all(cutTargetsOneWay, loseMessages, crashTargets(-2*time.Second), cutLinksOneWay, loseCoordinators),
		},
	}
	for name, entry := range entries {
		It(name, func() {
			first, count := seedRange()
			seeds := entry.seeds
			for seed := first; seed < first+count; seed++ {
				seeds = append(seeds, seed)
			}
			completed := 0
			for _, seed := range seeds {
				s := newSimulation(seed, 3, 12)
				s.storedShare, s.clockSpread = entry.storedShare, entry.clockSpread
				s.longestRun, s.progress = max(s.longestRun, entry.longestRun), true
				runSchedule(s, entry.perSecond, entry.injectFaults)
				expectInvariants(s, seed)
				completed += s.completed + s.log.completed
			}
			Expect(completed).To(BeNumerically(">", int(count)*entry.perSecond*5/8), "jobs completed")
		})
	}
})
