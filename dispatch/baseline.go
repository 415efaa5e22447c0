package dispatch

import (
	"math"
	"time"
)

const (
	// baselineTimeConstant smooths the learned baseline. It is long compared
	// with a burst and short compared with changes of demand over a day.
	baselineTimeConstant = 30 * time.Second
	// baselineStdDevs is the number of standard deviations above the mean
	// demand that are protected.
	baselineStdDevs = 2.0
	// offeredTimeConstant smooths the offered load, to distinguish lasting
	// overload from a burst.
	offeredTimeConstant = 2 * time.Second
	// overloadFactor is the ratio of offered load to usual demand above which a
	// class is overloaded. The load must also exceed all slots, or bursts of
	// parallel jobs would count as overload.
	overloadFactor = 3.0
)

// baseline is the number of slots protected for a class: a configured share, or
// the learned demand.
type baseline struct {
	slots      int
	usual      int     // mean of the learned demand, or the configured share
	mean       float64 // slots in use, smoothed
	meanSquare float64 // square of the slots in use, smoothed
	running    float64 // attempts of this instance's jobs, smoothed
	weight     float64 // weight of the samples in the averages, 0 to 1

	arrivedSeconds float64 // run time offered since the last update, in seconds
	offeredSlots   float64 // offered load in slots, smoothed
	overloaded     bool
}

// protected returns the slots that the class gets ahead of the rank order. Bursts
// may use the whole baseline; an overloaded class gets its usual demand only,
// because the baselines of all classes, each with its deviations, add up to more
// than all slots.
func (b *baseline) protected() int {
	if b.overloaded {
		return b.usual
	}
	return b.slots
}

// updateOffered compares the offered load, refused work included, with the usual
// demand. Queue length is no measure of overload: a class that was limited once
// would count as overloaded because of its queue, and be limited forever.
func (b *baseline) updateOffered(capacity float64, interval time.Duration) {
	if interval <= 0 {
		return
	}
	rate := 1 - math.Exp(-float64(interval)/float64(offeredTimeConstant))
	b.offeredSlots += rate * (b.arrivedSeconds/interval.Seconds() - b.offeredSlots)
	b.arrivedSeconds = 0
	b.overloaded = b.offeredSlots > overloadFactor*float64(b.usual) && b.offeredSlots > capacity
}

// usualRunning returns the usual number of running attempts of this instance's
// jobs, on its own targets or its peers'.
func (b *baseline) usualRunning() float64 {
	if b.weight == 0 {
		return 0
	}
	return b.running / b.weight
}

// addSample adds the slots in use and the running attempts to the averages. The
// caller skips it while work waits for slots, so that neither an overload nor the
// work it displaces changes the baseline.
func (b *baseline) addSample(usage, running int, interval time.Duration) {
	rate := 1 - math.Exp(-float64(interval)/float64(baselineTimeConstant))
	u := float64(usage)
	b.mean += rate * (u - b.mean)
	b.running += rate * (float64(running) - b.running)
	b.meanSquare += rate * (u*u - b.meanSquare)
	b.weight += rate * (1 - b.weight)
}

// refresh recomputes the protected slots, out of total.
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
	variance := max(0, b.meanSquare/b.weight-mean*mean)
	b.usual = int(math.Round(mean))
	b.slots = int(math.Ceil(mean + baselineStdDevs*math.Sqrt(variance)))
}
