package dispatch

import (
	"math"
	"time"
)

const (
	// healthSamples is the number of runs over which a target's results are
	// averaged.
	healthSamples = 16
	// ejectFailures is the smoothed failure rate above which a target is
	// ejected, unless the whole fleet fails as much.
	ejectFailures   = 0.5
	ejectMinSamples = 3
	// ejectAboveFleet is how many times the fleet's failure rate a target's
	// must reach to be ejected.
	ejectAboveFleet = 2.0
	// maxEjectedPercent bounds the targets that are ejected at once.
	maxEjectedPercent = 30
	// probeInterval is the wait before the first probe of an ejected target; it
	// doubles with each failed probe up to maxProbeInterval.
	probeInterval    = 1 * time.Second
	maxProbeInterval = 60 * time.Second
	// probesToRestore is the number of successful probes in a row that restores
	// a target.
	probesToRestore = 3
	// slowFactor is the ratio of a target's run times to those of the class, as
	// a power of two, above which other targets are preferred.
	slowFactor = 0.8
	// slowMinSamples is the number of runs before a target is called slow.
	slowMinSamples = 12
)

// health is what the results of a target's runs say about it.
type health struct {
	samples  int
	failures float64 // smoothed failure rate, 0 to 1
	slowness float64 // smoothed binary logarithm of run time over class median
	slow     bool

	ejected  bool
	probing  bool // one probe task is under way
	due      bool // the target may get one probe task
	probeAt  time.Duration
	backoff  time.Duration
	restored int // successful probes in a row
}

// observe learns from the end of an attempt on a managed target.
func (c *Core) observe(t *target, cl *class, e ending) {
	switch e.refused {
	case "", RefusedTombstone:
	case RefusedBusy:
		t.foreign++ // until an announcement shows that the slot is free
	default:
		t.suspect = true
	}
	if !e.ran {
		if t.probing {
			c.probed(t, true)
		}
		return
	}
	t.samples++
	rate := max(1.0/healthSamples, 1/float64(t.samples+1))
	c.fleet.failures += (boolToFloat(e.failed) - c.fleet.failures) / (healthSamples * float64(max(4, len(c.fleet.targets))))
	t.failures += rate * (boolToFloat(e.failed) - t.failures)
	if median := cl.runtimes.medianMS(); median > 0 && !e.failed {
		ratio := math.Log2(float64(max(e.runMS, 1)) / median)
		t.slowness += rate * (ratio - t.slowness)
		t.slow = t.samples >= slowMinSamples && t.slowness > slowFactor
	}
	if t.ejected {
		c.probed(t, e.failed)
	} else if e.failed {
		c.considerEjection(t)
	}
}

// considerEjection ejects a target that fails far more than the fleet does.
func (c *Core) considerEjection(t *target) {
	if t.failures < ejectFailures || t.failures < ejectAboveFleet*c.fleet.failures {
		return
	}
	if t.samples < ejectMinSamples || !c.mayEject() {
		return
	}
	t.ejected, t.due, t.restored = true, false, 0
	t.backoff = probeInterval
	t.probeAt = c.now + t.backoff
	c.fleet.ejected = append(c.fleet.ejected, t)
	c.emit(TargetEjected{TargetID: t.ref.TargetID, Cause: "most tasks fail"})
}

// mayEject reports whether one more target of the data centre may be ejected.
// The limit is that of the data centre because an instance may manage only two
// or three targets.
func (c *Core) mayEject() bool {
	targets, ejected := len(c.fleet.targets), len(c.fleet.ejected)
	for _, p := range c.peers {
		targets += p.targets
		ejected += p.ejected
	}
	return 100*(ejected+1) <= maxEjectedPercent*targets
}

// probed handles the result of a probe task, or of a task that was started
// before the ejection.
func (c *Core) probed(t *target, failed bool) {
	if !t.probing {
		return
	}
	t.probing, t.due = false, false
	if failed {
		t.restored = 0
		t.backoff = min(2*t.backoff, maxProbeInterval)
		t.probeAt = c.now + t.backoff
		return
	}
	t.restored++
	t.probeAt, t.due = c.now, true
	if t.restored < probesToRestore {
		return
	}
	c.unlistEjected(t)
	t.health = health{}
	c.emit(TargetRestored{TargetID: t.ref.TargetID})
}

// unlistEjected removes a target from the list of ejected ones.
func (c *Core) unlistEjected(t *target) {
	for i, e := range c.fleet.ejected {
		if e == t {
			c.fleet.ejected = append(c.fleet.ejected[:i], c.fleet.ejected[i+1:]...)
			return
		}
	}
}

// offerProbes lets ejected targets whose wait is over get one task.
func (c *Core) offerProbes() {
	for _, t := range c.fleet.ejected {
		if !t.probing && c.now >= t.probeAt {
			t.due = true
			c.refresh(t)
		}
	}
}

func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
