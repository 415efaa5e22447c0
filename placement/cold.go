package placement

import "time"

const (
	// coldCost makes cold targets come after warm ones, on other racks and of other
	// coordinators as well, and before suspects.
	coldCost = 5.0
	// coldRuns is how many runs a cold target has at most: one for each quarter of its
	// capacity.
	coldRuns = 4
	// coldEndTolerance is by how much the reported end of one cold time may be later in
	// some heartbeats than in others, because they arrive late.
	coldEndTolerance = time.Second
)

// ColdRule decides when a target that reports itself as cold counts as warm. With the
// zero value no target is cold.
type ColdRule struct {
	// A run has ended in the expected time if it took at most Overage times that time
	// plus Slack.
	Overage float64
	Slack   time.Duration
}

func (r *ColdRule) enabled() bool { return r.Overage > 0 }

// setCold records how long a target will be cold, as it reports.
func (c *Core) setCold(t *target, remaining time.Duration) {
	if !c.options.Cold.enabled() {
		return
	}
	end := c.now + remaining
	if t.warmedUp && remaining > 0 && end <= t.reportedColdUntil+coldEndTolerance {
		return
	}
	t.warmedUp = false // that cold time is over, or it is another one
	if (remaining > 0) != (t.Cold > 0) {
		c.availabilityChanged()
	}
	t.Cold, t.coldUntil, t.reportedColdUntil = remaining, end, end
}

// cold reports whether a target is slow because it has been started or returned to
// service.
func (t *target) cold(now time.Duration) bool { return now < t.coldUntil }

// coldFull reports whether a cold target has as many runs as it may.
func (t *target) coldFull(now time.Duration) bool { return len(t.runs) >= coldRuns && t.cold(now) }

// offered returns the capacity that other coordinators may use. They place several
// tasks before they see the effect, so a cold target offers only the quarters without
// a run.
func (t *target) offered(now time.Duration) Resources {
	free := t.free()
	if !t.cold(now) {
		return free
	}
	quarters := int64(max(coldRuns-len(t.runs), 0))
	return Resources{
		CPUMillis: min(free.CPUMillis, t.Capacity.CPUMillis*quarters/coldRuns),
		MemoryMB:  min(free.MemoryMB, t.Capacity.MemoryMB*quarters/coldRuns),
		GPUs:      min(free.GPUs, t.Capacity.GPUs*quarters/coldRuns),
	}
}

// coldCost returns the cost of a task on a target. A task that ends before the target
// is warm costs nothing: it warms the target up, within coldRuns.
func (t *target) coldCost(now, expected time.Duration) float64 {
	if t.cold(now) && expected > t.coldUntil-now {
		return coldCost
	}
	return 0
}

// coldCost returns the cost of a task on another coordinator's target, of which only
// is known that it is cold.
func (a *AvailableTarget) coldCost() float64 {
	if a.Cold {
		return coldCost
	}
	return 0
}

// warmUp ends the cold time of a target that has ended a run in the expected time.
func (c *Core) warmUp(t *target, r *run, kind EndKind) {
	if kind != EndDone || !t.cold(c.now) || r.expected <= 0 {
		return
	}
	rule := &c.options.Cold
	if c.now-r.orderedAt <= time.Duration(rule.Overage*float64(r.expected))+rule.Slack {
		t.coldUntil, t.warmedUp = 0, true
		c.logDecision(Decision{Event: "target_warm", Target: t.ID, Task: r.key.task, Age: c.now - r.orderedAt})
		c.availabilityChanged()
	}
}
