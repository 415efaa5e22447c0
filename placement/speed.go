package placement

import (
	"math"
	"time"
)

const (
	// speedWindow is the largest weight of the runs that a target's slowness is averaged
	// over; older ones lose their weight exponentially. Single runs are off by a factor
	// with a spread of about 0.5, so 24 give an error of 10%.
	speedWindow = 24
	// speedRecent is the number of runs that show that a target has changed.
	speedRecent = 6
	// changeDeviations is how many standard errors the last runs have to be off for the
	// earlier ones to be dropped at once; 2.5 replaced good estimates by chance.
	changeDeviations = 3.5
	// speedOutlier bounds how far one run counts from what is known of its target: 3%
	// of the tasks take 7 times as long as the others.
	speedOutlier = 1.2
	// varianceWindow is the number of runs that the spread of single runs is averaged over.
	varianceWindow = 512
	// firstVariance is the square of the spread of single runs that is assumed at first.
	firstVariance = 0.25
	// speedInterval is how often the fleet's speeds are compared.
	speedInterval = time.Second
	// A fleet is mixed if the slowness of its targets varies by 20%, and by fleetDeviations
	// of what chance gives. There, a target has to deviate by mixedDeviations. In other
	// fleets it has to deviate by targetDeviations, because each of thousands is
	// compared after each of its runs.
	fleetDeviations  = 5.0
	mixedDeviations  = 1.5
	targetDeviations = 6.0
	// minSpeedTargets is how many targets with minSpeedRuns runs the comparison needs.
	minSpeedTargets = 8
	minSpeedRuns    = 3
	// minSingleRuns is how many runs a target needs that deviates alone.
	minSingleRuns = 12
	// minQueueRuns is how many ends a queue needs before its runs show speeds: the first ends
	// are those of short runs.
	minQueueRuns = 64
	// peerWindow is the weight of the runs that show how another coordinator's targets
	// relate to those here.
	peerWindow = 128
	// progressShare is the progress in percent from which a running run shows its speed.
	progressShare = 50
	// minMeasured bounds the share of delays in a measured run time.
	minMeasured = 10 * time.Millisecond
	// The slowness of a target without runs for staleSpeed is kept, but then counts
	// as much as speedRecent runs, so that a few new ones replace it.
	staleSpeed = 5 * time.Second
	// sameJobWeight is the weight of a further run of the same job in a row. The runs of a
	// job share the error of its estimate.
	sameJobWeight = 0.25
	// speedLogLimit bounds the changes of speeds that are logged in speedInterval.
	speedLogLimit = 10
)

var (
	// speedStep is the logarithm of the slowness between two classes, 10%.
	speedStep = math.Log(1.1)
	// A class other than 0 is entered at a deviation of 15% and left at 10%.
	minSpeedLog  = math.Log(1.15)
	keepSpeedLog = math.Log(1.1)
	// mixedLog is the deviation by which the targets of a mixed fleet differ, and maxSquare
	// bounds what one target contributes to that.
	mixedLog  = math.Log(1.2)
	maxSquare = math.Log(1.5) * math.Log(1.5)
	// changedLog is the deviation by which a target counts as changed.
	changedLog = math.Log(4.0 / 3)
)

const (
	// maxSpeedClass is the largest class of slowness, about ten times the mean.
	maxSpeedClass = 24
	// slowClass and its negative begin the classes that are logged as slow and fast: 30%.
	slowClass = 3
)

// targetSpeed is what the runs of a target's boot show of its slowness: the time that
// its runs take, relative to the learned times of their queues, as a logarithm.
type targetSpeed struct {
	weight  float64 // of the runs in the mean; 0: unknown
	mean    float64
	recent  [speedRecent]float64
	runs    int           // that have ended
	class   int           // slowness as a power of 1.1; 0: unknown or near the mean
	logged  int           // -1 fast, 1 slow, as last logged
	seenAt  time.Duration // when the last run counted
	lastJob string        // of that run
}

// fleetSpeed compares the slowness of the targets of this coordinator.
type fleetSpeed struct {
	variance    float64 // of single runs of a target
	between     float64 // variance between targets; 0: the fleet is not mixed
	center      float64 // mean slowness here, which counts as 1
	evaluatedAt time.Duration
	logLines    int // since evaluatedAt

	fastest, slowest int // classes here that are usual: 10% of the targets are beyond
	scarce           bool
	scarceAt         time.Duration
	freeing          []freeing
	freeingAt        time.Duration
	held             int // tasks that wait for the first entries of freeing
}

// noteProgress learns from the progress of a run that is not over. A run counts once:
// half by its progress and half by its end, or whole by its end.
func (c *Core) noteProgress(t *target, r *run, percent int) {
	if !c.options.TargetSpeeds || !r.measured || r.progressCounted || percent < progressShare || percent >= 100 {
		return
	}
	r.progressCounted = true
	c.learnSpeed(t, r, (c.now-r.confirmedAt)*100/time.Duration(percent), 0.5)
}

// noteDone learns from a run that has ended as done.
func (c *Core) noteDone(t *target, r *run) {
	took := c.now - r.confirmedAt
	if !r.measured || took < minMeasured {
		return
	}
	if c.options.TargetSpeeds {
		weight := 1.0
		if r.progressCounted {
			weight = 0.5
		}
		t.speed.runs++
		c.learnSpeed(t, r, took, weight)
	}
	c.runTimes.Add(r.queue, r.expected, time.Duration(float64(took)/c.speeds.factor(&t.speed)))
}

// noteRemoteDone learns from the run of a task of this home on another coordinator's
// target. Each coordinator relates the speeds that it sends to the mean of its own
// targets; these runs show how that mean relates to the one here.
func (c *Core) noteRemoteDone(t *task, report *Report) {
	took := c.now - t.startedAt
	if t.startedAt == 0 || t.peer == "" || t.offRack || report.Target != t.target || took < minMeasured {
		return
	}
	took = time.Duration(float64(took) / slowness(t.speedClass))
	estimated := t.job.Steps[t.step].Expected
	usual, learned := c.runTimes.Expected(t.job.Queue, estimated)
	if p := c.peers[t.peer]; p != nil && learned && c.options.TargetSpeeds {
		s := &p.speed
		x := min(max(math.Log(float64(took)/float64(usual)), s.mean-speedOutlier), s.mean+speedOutlier)
		s.mean += (x - s.mean) / (s.weight + 1)
		s.weight = min(s.weight+1, peerWindow)
		off := 0.0
		if math.Abs(s.mean) >= targetDeviations*math.Sqrt(max(c.speeds.variance, firstVariance)/s.weight) {
			off = s.mean
		}
		s.class = nextSpeedClass(s.class, off)
		took = time.Duration(float64(took) / slowness(s.class))
	}
	c.runTimes.Add(t.job.Queue, estimated, took)
}

// forgetRunStarts leaves the current runs out of what is learned: their ends are
// noticed late.
func (t *target) forgetRunStarts() {
	for _, r := range t.runs {
		r.measured = false
	}
}

// learnSpeed updates the slowness of a target by a run time, with a weight.
func (c *Core) learnSpeed(t *target, r *run, took time.Duration, weight float64) {
	usual, learned := c.runTimes.Expected(r.queue, r.expected)
	if !learned || took < minMeasured || c.runTimes.Of(r.queue).Samples < minQueueRuns {
		return
	}
	s, f := &t.speed, &c.speeds
	x := math.Log(float64(took) / float64(usual))
	s.recent[s.runs%speedRecent] = x
	if f.variance == 0 {
		f.variance = firstVariance
	}
	if job := JobID(r.key.task); job == s.lastJob {
		weight *= sameJobWeight
	} else {
		s.lastJob = job
	}
	if c.now-s.seenAt > staleSpeed {
		s.weight = min(s.weight, speedRecent)
	}
	bounded := min(max(x, s.mean-speedOutlier), s.mean+speedOutlier)
	if s.weight >= minSpeedRuns {
		deviation := (bounded - s.mean) * (bounded - s.mean) * s.weight / (s.weight + 1)
		f.variance += (deviation - f.variance) * weight / varianceWindow
	}
	s.mean += (bounded - s.mean) * weight / (s.weight + weight)
	s.weight, s.seenAt = min(s.weight+weight, speedWindow), c.now
	s.noticeChange(f.variance)
	c.classifySpeed(t)
}

// recentMean returns the mean of the last runs, without the one that is furthest away.
func (s *targetSpeed) recentMean() float64 {
	sum, lowest, highest := 0.0, math.Inf(1), math.Inf(-1)
	for _, x := range s.recent {
		sum, lowest, highest = sum+x, min(lowest, x), max(highest, x)
	}
	middle := (sum - lowest - highest) / (speedRecent - 2)
	if highest-middle > middle-lowest {
		return (sum - highest) / (speedRecent - 1)
	}
	return (sum - lowest) / (speedRecent - 1)
}

// noticeChange makes earlier runs count less if the last ones were all off to one side,
// by a third on average, and drops them if chance hardly explains that.
func (s *targetSpeed) noticeChange(variance float64) {
	if s.runs < 2*speedRecent || s.weight <= speedRecent {
		return
	}
	recent := s.recentMean()
	sign := math.Copysign(1, recent-s.mean)
	for _, x := range s.recent {
		if (x-s.mean)*sign <= 0 {
			return
		}
	}
	off := (recent - s.mean) * sign
	if off < changedLog {
		return
	}
	s.weight = speedRecent
	if off >= changeDeviations*math.Sqrt(variance/speedRecent) {
		s.mean = recent
	}
}

// slownessLog returns the logarithm of a target's slowness as far as it is certain.
// In a mixed fleet it is drawn towards the mean the more, the fewer runs were seen.
// In others it is 0 unless chance cannot explain it.
func (f *fleetSpeed) slownessLog(s *targetSpeed) float64 {
	if s.weight < minSpeedRuns {
		return 0
	}
	off, deviations, runs := s.mean-f.center, targetDeviations, minSingleRuns
	if f.between > 0 {
		deviations, runs = mixedDeviations, minSpeedRuns
	}
	if s.class == 0 && (s.weight < float64(runs) || math.Abs(off) < deviations*math.Sqrt(f.variance/s.weight)) {
		return 0
	}
	if f.between > 0 {
		off *= s.weight / (s.weight + f.variance/f.between)
	}
	return off
}

// classifySpeed updates the class of a target's slowness.
func (c *Core) classifySpeed(t *target) {
	s := &t.speed
	class := nextSpeedClass(s.class, c.speeds.slownessLog(s))
	if class == s.class {
		return
	}
	s.class = class
	c.availabilityChanged()
	c.logSpeed(t)
}

// nextSpeedClass returns the class of the logarithm of a slowness. Small changes keep
// the earlier class.
func nextSpeedClass(class int, off float64) int {
	switch {
	case math.Abs(off) < keepSpeedLog, class == 0 && math.Abs(off) < minSpeedLog:
		return 0
	case math.Abs(off-float64(class)*speedStep) > 0.75*speedStep:
		return speedClass(off)
	}
	return class
}

// factor returns the slowness that a run time is corrected by to get that at a target
// of mean speed. It is not drawn towards the mean: queues that run mostly on fast
// targets would take over the rest of the difference, and hide it in the end.
func (f *fleetSpeed) factor(s *targetSpeed) float64 {
	if s.class == 0 && f.between == 0 || s.weight < minSpeedRuns {
		return 1
	}
	return math.Exp(s.mean - f.center)
}

// speedClass returns the class of the logarithm of a slowness.
func speedClass(off float64) int {
	return min(max(int(math.Round(off/speedStep)), -maxSpeedClass), maxSpeedClass)
}

// slowness returns the factor by which runs on targets of a class take longer.
func slowness(class int) float64 {
	if class == 0 {
		return 1
	}
	return math.Exp(float64(class) * speedStep)
}

// speedPermille returns the speed of a class in thousandths of the mean; 0: unknown.
func speedPermille(class int) int {
	if class == 0 {
		return 0
	}
	return int(math.Round(1000 / slowness(class)))
}

// maxPermille is the speed of the fastest class, rounded up.
const maxPermille = 10_000

// permilleClasses has the class of each speed in thousandths, so that the walk over
// all targets computes no logarithms.
var permilleClasses = func() (classes [maxPermille + 1]int8) {
	for permille := 1; permille <= maxPermille; permille++ {
		classes[permille] = int8(speedClass(-math.Log(float64(permille) / 1000)))
	}
	return classes
}()

// sentClass returns the class of the speed that another coordinator has sent.
func sentClass(t *AvailableTarget) int {
	return int(permilleClasses[min(max(t.SpeedPermille, 0), maxPermille)])
}

// remoteClass returns the class of another coordinator's target.
func (c *Core) remoteClass(p *peer, t *AvailableTarget) int {
	if !c.options.TargetSpeeds {
		return 0
	}
	return min(max(p.speed.class+sentClass(t), -maxSpeedClass), maxSpeedClass)
}

// logSpeed logs that a target has become slow, fast or neither.
func (c *Core) logSpeed(t *target) {
	kind, name := 0, "usual"
	switch {
	case t.speed.class >= slowClass:
		kind, name = 1, "slow"
	case t.speed.class <= -slowClass:
		kind, name = -1, "fast"
	case t.speed.class*t.speed.logged > 1:
		return // still on the same side
	}
	if kind == t.speed.logged || c.speeds.logLines >= speedLogLimit {
		return
	}
	t.speed.logged = kind
	c.speeds.logLines++
	c.logDecision(Decision{Event: "target_speed", Target: t.ID, Reason: name, Value: int64(math.Round(1000 / slowness(t.speed.class)))})
}

// evaluateSpeeds decides whether the targets here differ by more than chance.
func (c *Core) evaluateSpeeds() {
	f := &c.speeds
	if !c.options.TargetSpeeds || c.now-f.evaluatedAt < speedInterval {
		return
	}
	f.evaluatedAt, f.logLines = c.now, 0
	n, sum, noise := 0.0, 0.0, 0.0
	for _, t := range c.targets {
		if s := &t.speed; s.weight >= minSpeedRuns {
			n++
			sum += s.mean
			noise += f.variance / s.weight
		}
	}
	if n < minSpeedTargets {
		f.between = 0
		return
	}
	mean := sum / n
	noise /= n
	f.center = mean
	squares, bounded := 0.0, 0.0
	for _, t := range c.targets {
		if s := &t.speed; s.weight >= minSpeedRuns {
			square := (s.mean - mean) * (s.mean - mean)
			squares += square
			bounded += min(square, maxSquare) // of few targets that are far off
		}
	}
	between, limit := squares/n-noise, max(mixedLog*mixedLog, fleetDeviations*noise*math.Sqrt(2/n))
	if f.between > 0 {
		limit /= 2
	}
	if bounded/n-noise < limit {
		between = 0
	}
	f.between = between
	for _, t := range c.targets {
		c.classifySpeed(t)
	}
	f.fastest, f.slowest = c.usualClasses()
}

// usualClasses returns the classes that a tenth of the targets are below and above.
func (c *Core) usualClasses() (fastest, slowest int) {
	var counts [2*maxSpeedClass + 1]int
	for _, t := range c.targets {
		counts[t.speed.class+maxSpeedClass]++
	}
	edge := len(c.targets) / 10
	seen := 0
	for i := range counts {
		if seen += counts[i]; seen > edge {
			fastest = i - maxSpeedClass
			break
		}
	}
	seen = 0
	for i := range counts {
		at := len(counts) - 1 - i
		if seen += counts[at]; seen > edge {
			slowest = at - maxSpeedClass
			break
		}
	}
	return fastest, slowest
}
