package dispatch

import (
	"math"
	"time"
)

const (
	// healthSamples is the number of runs over which a target's results are
	// averaged.
	healthSamples = 16
	// ejectFailureRate is the smoothed failure rate from which a target is
	// ejected, unless the whole fleet has a similar rate.
	ejectFailureRate = 0.5
	ejectMinSamples  = 3
	// ejectFleetRatio is the ratio of a target's failure rate to the fleet's
	// from which it is ejected.
	ejectFleetRatio = 2.0
	// maxEjectedPercent bounds the share of targets that are ejected at once.
	maxEjectedPercent = 30
	// probeInterval is the wait before the first probe of an ejected target; it
	// doubles with each failed probe up to maxProbeInterval.
	probeInterval    = 1 * time.Second
	maxProbeInterval = 60 * time.Second
	// probesToRestore is the number of successful probes in a row that restores
	// a target.
	probesToRestore = 3
	// slowLog2Ratio is the binary logarithm of the ratio of a target's run times
	// to the class median above which other targets are preferred.
	slowLog2Ratio = 0.8
	// slowMinSamples is the number of runs before a target can count as slow.
	slowMinSamples = 12
)

// health holds the statistics of a target's runs and its ejection state.
type health struct {
	samples      int
	failureRate  float64 // smoothed failure rate, 0 to 1
	log2Slowdown float64 // smoothed binary logarithm of run time over class median
	slow         bool

	ejected        bool
	probing        bool // a probe task is running
	probeDue       bool // the target may get one probe task
	probeAt        time.Duration
	backoff        time.Duration
	probeSuccesses int // successful probes in a row
}

// recordResult updates a managed target's health at the end of an attempt.
func (c *Core) recordResult(t *target, cl *class, result attemptResult) {
	switch result.refused {
	case "", RefusedTombstone:
	case RefusedBusy:
		t.foreign++ // until an announcement shows that the slot is free
	default:
		t.suspect = true
	}
	if !result.ran {
		if t.probing {
			c.probeFinished(t, true)
		}
		return
	}
	t.samples++
	rate := max(1.0/healthSamples, 1/float64(t.samples+1))
	c.fleet.failureRate += (boolToFloat(result.failed) - c.fleet.failureRate) / (healthSamples * float64(max(4, len(c.fleet.targets))))
	t.failureRate += rate * (boolToFloat(result.failed) - t.failureRate)
	if median := cl.runtimes.medianMS(); median > 0 && !result.failed {
		ratio := math.Log2(float64(max(result.runMS, 1)) / median)
		t.log2Slowdown += rate * (ratio - t.log2Slowdown)
		t.slow = t.samples >= slowMinSamples && t.log2Slowdown > slowLog2Ratio
	}
	if t.ejected {
		c.probeFinished(t, result.failed)
	} else if result.failed {
		c.ejectIfFailing(t)
	}
}

// ejectIfFailing ejects a target that fails much more than the fleet.
func (c *Core) ejectIfFailing(t *target) {
	if t.failureRate < ejectFailureRate || t.failureRate < ejectFleetRatio*c.fleet.failureRate {
		return
	}
	if t.samples < ejectMinSamples || !c.mayEject() {
		return
	}
	t.ejected, t.probeDue, t.probeSuccesses = true, false, 0
	t.backoff = probeInterval
	t.probeAt = c.now + t.backoff
	c.fleet.ejected = append(c.fleet.ejected, t)
	c.emit(TargetEjected{TargetID: t.ref.TargetID, Cause: "most tasks fail"})
}

// mayEject reports whether one more target of the data centre may be ejected.
// The limit applies to the data centre because an instance may manage only two
// or three targets.
func (c *Core) mayEject() bool {
	targets, ejected := len(c.fleet.targets), len(c.fleet.ejected)
	for _, p := range c.peers {
		targets += p.targets
		ejected += p.ejected
	}
	return 100*(ejected+1) <= maxEjectedPercent*targets
}

// probeFinished handles the result of a probe task. Results of tasks started
// before the ejection are ignored unless a probe is running.
func (c *Core) probeFinished(t *target, failed bool) {
	if !t.probing {
		return
	}
	t.probing, t.probeDue = false, false
	if failed {
		t.probeSuccesses = 0
		t.backoff = min(2*t.backoff, maxProbeInterval)
		t.probeAt = c.now + t.backoff
		return
	}
	t.probeSuccesses++
	t.probeAt, t.probeDue = c.now, true
	if t.probeSuccesses < probesToRestore {
		return
	}
	c.removeEjected(t)
	t.health = health{}
	c.emit(TargetRestored{TargetID: t.ref.TargetID})
}

// removeEjected removes a target from the ejected ones.
func (c *Core) removeEjected(t *target) {
	for i, e := range c.fleet.ejected {
		if e == t {
			c.fleet.ejected = append(c.fleet.ejected[:i], c.fleet.ejected[i+1:]...)
			return
		}
	}
}

// scheduleProbes allows one task on each ejected target whose wait is over.
func (c *Core) scheduleProbes() {
	for _, t := range c.fleet.ejected {
		if !t.probing && c.now >= t.probeAt {
			t.probeDue = true
			c.refreshTarget(t)
		}
	}
}

func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
