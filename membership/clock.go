package membership

import (
	"slices"
	"time"
)

// clockSample is the offset of a peer's clock, positive if it is ahead.
type clockSample struct {
	peer   string
	offset time.Duration
	at     time.Time
}

// sampleClock stores the latest reading of each of the last clockSamples peers.
func (c *Core) sampleClock(peer string, offset time.Duration) {
	c.clocks = slices.DeleteFunc(c.clocks, func(s clockSample) bool {
		return s.peer == peer || c.now.Sub(s.at) > clockSampleAge
	})
	c.clocks = append(c.clocks, clockSample{peer, offset, c.now})
	if len(c.clocks) > clockSamples {
		c.clocks = c.clocks[1:]
	}
	c.compareClocks()
}

// compareClocks reports when the offset of this clock from the median leaves or
// returns to the accepted range.
func (c *Core) compareClocks() {
	if len(c.clocks) < min(minClockSamples, len(c.probeOrder)) {
		return
	}
	offset := -c.medianOffset()
	distance := offset.Abs()
	switch {
	case !c.skewed && distance > MaxClockOffset, c.skewed && distance < clockOffsetCleared:
		c.skewed = !c.skewed
		c.emit(ClockSkewChanged{Skewed: c.skewed, Offset: offset})
	}
}

// medianOffset returns the median of the samples. Of two middle ones it returns
// the smaller, so that one peer with a wrong clock out of two has no effect.
func (c *Core) medianOffset() time.Duration {
	offsets := make([]time.Duration, 0, clockSamples)
	for _, s := range c.clocks {
		offsets = append(offsets, s.offset)
	}
	slices.Sort(offsets)
	n := len(offsets)
	low, high := offsets[(n-1)/2], offsets[n/2]
	if low.Abs() < high.Abs() {
		return low
	}
	return high
}
