package placement

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// lateCost is the cost of a start that ends after the job's objective for certain.
	// It is more than another rack, whose factor is not known, and less than a suspect.
	lateCost = 5.0
	// delayCost is the cost of a start that takes an objective longer than usual.
	delayCost = 1.0
	// spareFastCost moves tasks that end in time anywhere away from fast targets while these
	// are scarce: less than free fast targets would lose by being idle, as a task that
	// fits nowhere else still starts there.
	spareFastCost = 1.5
	// riskSpread is the spread of what is not known of a task's margin: its share of
	// the objective and the target's slowness. An error of its expected time changes the
	// objective as well.
	riskSpread = 0.2
	// looseRisk is the risk of a late end on a slow target at which a task is loose.
	looseRisk = 0.1
	// scarceShare is the free share of the fast targets below which they are scarce, and
	// scarceInterval how often it is computed.
	scarceShare    = 0.3
	scarceInterval = 100 * time.Millisecond
	// A task waits for a faster target only if that lowers the risk of a late end by
	// worthWaiting and the expected time to its end by a tenth.
	worthWaiting  = 0.25
	waitingGain   = 0.9
	freeingLimit  = 1000 // targets whose runs are looked at
	freeingMaxAge = TickInterval
)

// speedCosts are the costs of the classes of slowness for one task.
type speedCosts struct {
	computed bool
	expected float64 // seconds at a target of mean speed
	left     float64 // seconds until the task has to end
	loose    bool    // ends in time on slow targets; fast ones are scarce
	slowest  int
	known    [2*maxSpeedClass + 1]bool
	costs    [2*maxSpeedClass + 1]float64
}

// of returns the cost of a target of a class of slowness. It is 0 for class 0, so that
// fleets without learned speeds are placed as if there were none.
func (s *speedCosts) of(c *Core, t *task, step *Step, class int) float64 {
	if class == 0 {
		return 0
	}
	if !s.computed {
		c.prepareCosts(s, t, step)
	}
	i := class + maxSpeedClass
	if !s.known[i] {
		s.known[i], s.costs[i] = true, s.cost(class)
	}
	return s.costs[i]
}

func (s *speedCosts) cost(class int) float64 {
	if s.loose {
		return -spareFastCost * min(max(float64(class)/float64(s.slowest), -1), 1)
	}
	share := 1.0
	if s.left > s.expected {
		share = s.expected / s.left
	}
	return lateCost*(s.risk(class, 0)-s.risk(0, 0)) + delayCost*share*(slowness(class)-1)
}

// risk returns the share of such tasks that end too late on a target of a class, if
// they start after a wait.
func (s *speedCosts) risk(class int, wait float64) float64 {
	if s.left <= wait {
		return 1
	}
	margin := math.Log((s.left-wait)/s.expected) - float64(class)*speedStep
	return 0.5 * math.Erfc(margin/(math.Sqrt2*riskSpread))
}

// prepareCosts determines how long a task takes and how much time it has.
func (c *Core) prepareCosts(s *speedCosts, t *task, step *Step) {
	s.computed = true
	expected, _ := c.runTimes.Expected(t.job.Queue, step.Expected)
	s.expected = max(expected, time.Millisecond).Seconds()
	s.left = c.timeLeft(t).Seconds()
	s.slowest = max(c.speeds.slowest, 1)
	s.loose = c.speeds.scarce && s.risk(s.slowest, 0) <= looseRisk
}

// timeLeft returns the time until a task has to end if its job is to end within its
// objective. Callers judge a job by its real work, of which their estimates are rough;
// estimates that predict little are drawn to the mean of their queue.
func (c *Core) timeLeft(t *task) time.Duration {
	j := t.job
	work := make([]time.Duration, 8)[:0]
	learned := make([]time.Duration, 8)[:0]
	for i := range j.Steps {
		work = append(work, c.runTimes.Nominal(j.Queue, j.Steps[i].Expected))
		expected, _ := c.runTimes.Expected(j.Queue, j.Steps[i].Expected)
		learned = append(learned, expected)
	}
	var path time.Duration // the longest chain of steps from each one on
	for i := len(j.Steps) - 1; i >= 0; i-- {
		work[i] += longestAfter(j.Steps, work, i)
		learned[i] += longestAfter(j.Steps, learned, i)
		path = max(path, work[i])
	}
	objective := time.Duration(min(j.Stretch*float64(path), float64(maxObjective))) + j.Allowance
	return objective - (c.now - j.submittedAt) - longestAfter(j.Steps, learned, t.step)
}

// longestAfter returns the longest chain of steps after a step, of the chains from each.
func longestAfter(steps []Step, chains []time.Duration, step int) time.Duration {
	var longest time.Duration
	for next := step + 1; next < len(steps); next++ {
		if slices.Contains(steps[next].After, step) {
			longest = max(longest, chains[next])
		}
	}
	return longest
}

// updateScarce determines whether the fast targets are nearly full.
func (c *Core) updateScarce() {
	f := &c.speeds
	if f.fastest == f.slowest || c.now-f.scarceAt < scarceInterval {
		f.scarce = f.scarce && f.fastest != f.slowest
		return
	}
	f.scarceAt = c.now
	var free, capacity int64
	for _, t := range c.targets {
		if f.isFast(t.speed.class) && t.usable(c.now) {
			free += t.free().CPUMillis
			capacity += t.Capacity.CPUMillis
		}
	}
	f.scarce = float64(free) < scarceShare*float64(capacity)
}

// isFast reports whether a class is nearer to the fastest than to the slowest one.
func (f *fleetSpeed) isFast(class int) bool { return 2*class < f.fastest+f.slowest }

// freeing is a run on a fast target that ends soon.
type freeing struct {
	at    time.Duration
	free  Resources // of the target from then on
	class int
}

// waitsForFaster reports whether a task ends sooner, and more likely in time, on a
// fast target that is about to be free than on the best one that is free now. A task
// waits for at most half of the time that it gains, so that it never ends much later.
func (c *Core) waitsForFaster(t *task, step *Step, best *candidate) bool {
	f, class := &c.speeds, c.candidateClass(best)
	if f.fastest == f.slowest || f.isFast(class) || t.waitLimit != 0 && c.now >= t.waitLimit {
		return false
	}
	var s speedCosts
	c.prepareCosts(&s, t, step)
	if s.risk(class, 0)-s.risk(f.fastest, 0) < worthWaiting {
		return false
	}
	next, ok := c.nextFreeing(step)
	if !ok {
		return false
	}
	wait := max(next.at-c.now, 0)
	ends, endsHere := wait.Seconds()+s.expected*slowness(next.class), s.expected*slowness(class)
	if ends > waitingGain*endsHere || s.risk(class, 0)-s.risk(next.class, wait.Seconds()) < worthWaiting ||
		!t.job.started && c.now-t.job.submittedAt+2*wait+2*TickInterval > t.job.StartTimeout() {
		return false
	}
	if t.waitLimit == 0 {
		t.waitLimit = c.now + seconds((endsHere-s.expected*slowness(next.class))/2)
	}
	f.held++
	return true
}

// nextFreeing returns the expected end that frees a fast target for one more task than
// those that wait already.
func (c *Core) nextFreeing(step *Step) (freeing, bool) {
	f := &c.speeds
	if c.now != f.freeingAt {
		if c.now-f.freeingAt >= freeingMaxAge || len(f.freeing) == 0 {
			c.listFreeing()
		}
		f.freeingAt, f.held = c.now, 0
	}
	ahead := f.held
	for i := range f.freeing {
		if !step.Need.Fits(f.freeing[i].free) {
			continue
		}
		if ahead == 0 {
			return f.freeing[i], true
		}
		ahead--
	}
	return freeing{}, false
}

// listFreeing lists the expected ends of runs on fast targets, the next ones first. A
// run that has taken longer than expected is taken to need half of that time again.
func (c *Core) listFreeing() {
	f := &c.speeds
	f.freeing = f.freeing[:0]
	seen := 0
	for _, t := range c.targets {
		if !f.isFast(t.speed.class) || !t.usable(c.now) {
			continue
		}
		if seen++; seen > freeingLimit {
			break
		}
		for _, r := range t.runs {
			expected, _ := c.runTimes.Expected(r.queue, r.expected)
			length := time.Duration(float64(expected) * slowness(t.speed.class))
			ends := r.orderedAt + length
			if ends <= c.now {
				ends = c.now + length/2
			}
			f.freeing = append(f.freeing, freeing{at: ends, free: t.free().Add(r.need), class: t.speed.class})
		}
	}
	slices.SortFunc(f.freeing, func(a, b freeing) int { return cmp.Compare(a.at, b.at) })
}

// candidateClass returns the class of a candidate's slowness.
func (c *Core) candidateClass(a *candidate) int {
	if a.target != nil {
		return a.target.speed.class
	}
	return c.remoteClass(a.peer, a.remote)
}
