package dispatch

import (
	"math"
	"time"
)

const (
	// baselineTime is the time constant of the learned baseline. It is long
	// against a burst and short against the change of demand over a day.
	baselineTime = 30 * time.Second
	// baselineSpread is how many standard deviations above the mean demand are
	// protected.
	baselineSpread = 2.0
	// offeredTime is the time constant with which the offered work is smoothed
	// to tell a flood from a burst.
	offeredTime = 2 * time.Second
	// floodFactor is how many times the usual demand the offered work must
	// reach to be a flood. It must also exceed all slots, or bursts of parallel
	// jobs would pass for floods.
	floodFactor = 3.0
)

// baseline is the number of slots protected for a class: a declared share, or
// the learned demand.
type baseline struct {
	slots   int
	usual   int     // mean of the learned demand, or the declared share
	mean    float64 // slots in use, smoothed
	square  float64 // square of the slots in use, smoothed
	running float64 // attempts of this instance's jobs, smoothed
	weight  float64 // part of the averages that is based on samples, 0 to 1

	arrived  float64 // run time offered since the last look, in seconds
	offered  float64 // run time offered per time, in slots, smoothed
	flooding bool
}

// protected returns the slots that the first pass gives the class. Bursts may
// use the whole baseline; a lasting flood gets the usual demand only, because
// the baselines of all classes, each with its spread, add up to more than there
// is.
func (b *baseline) protected() int {
	if b.flooding {
		return b.usual
	}
	return b.slots
}

// watch compares the work offered, refused work included, with the usual demand.
// The queue is no measure of a flood: a class that was held back once would be
// taken for one because of its queue, and be held back for good.
func (b *baseline) watch(capacity float64, interval time.Duration) {
	if interval <= 0 {
		return
	}
	rate := 1 - math.Exp(-float64(interval)/float64(offeredTime))
	b.offered += rate * (b.arrived/interval.Seconds() - b.offered)
	b.arrived = 0
	b.flooding = b.offered > floodFactor*float64(b.usual) && b.offered > capacity
}

// usualRunning returns the usual number of attempts of this instance's jobs,
// wherever they run.
func (b *baseline) usualRunning() float64 {
	if b.weight == 0 {
		return 0
	}
	return b.running / b.weight
}

// learn adds a sample of the slots in use and of the running attempts. The caller skips it while work waits
// for slots, so that neither a flood nor what it displaces changes the baseline.
func (b *baseline) learn(usage, running int, interval time.Duration) {
	rate := 1 - math.Exp(-float64(interval)/float64(baselineTime))
	u := float64(usage)
	b.mean += rate * (u - b.mean)
	b.running += rate * (float64(running) - b.running)
	b.square += rate * (u*u - b.square)
	b.weight += rate * (1 - b.weight)
}

// refresh computes the protected slots out of total.
func (b *baseline) refresh(sharePercent float64, total int) {
	if sharePercent > 0 {
		b.slots = int(math.Ceil(sharePercent / 100 * float64(total)))
		b.usual = b.slots
		return
	}
	if b.weight == 0 {
		b.slots, b.usual = 0, 0
		return
	}
	mean := b.mean / b.weight
	variance := max(0, b.square/b.weight-mean*mean)
	b.usual = int(math.Round(mean))
	b.slots = int(math.Ceil(mean + baselineSpread*math.Sqrt(variance)))
}
