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
	// demandTime is the time constant with which demand is smoothed to tell a
	// flood from a burst.
	demandTime = 1 * time.Second
	// floodFactor is how many times the usual demand the smoothed one must
	// reach to be a flood. It must also exceed all slots, or bursts of parallel
	// jobs would pass for floods.
	floodFactor = 2.0
)

// baseline is the number of slots protected for a class: a declared share, or
// the learned demand.
type baseline struct {
	slots  int
	usual  int     // mean of the learned demand, or the declared share
	mean   float64 // slots in use, smoothed
	square float64 // square of the slots in use, smoothed
	weight float64 // part of the averages that is based on samples, 0 to 1

	demand   float64 // slots in use and tasks waiting, smoothed
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

// watch compares the smoothed demand with the usual one.
func (b *baseline) watch(demand int, capacity float64, interval time.Duration) {
	rate := 1 - math.Exp(-float64(interval)/float64(demandTime))
	b.demand += rate * (float64(demand) - b.demand)
	b.flooding = b.demand > floodFactor*float64(b.usual) && b.demand > capacity
}

// learn adds a sample of the slots in use. The caller skips it while work waits
// for slots, so that neither a flood nor what it displaces changes the baseline.
func (b *baseline) learn(usage int, interval time.Duration) {
	rate := 1 - math.Exp(-float64(interval)/float64(baselineTime))
	u := float64(usage)
	b.mean += rate * (u - b.mean)
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
