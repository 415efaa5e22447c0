package dispatch

import (
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"

	"hawthornshore.example/structs"
)

const (
	maxRunMS                 = 600_000 // longer run times are recorded as this, in milliseconds
	runtimeSignificantDigits = 2
	runtimeMinSamples        = 20
	// runtimeWindow is the minimum age at which learned run times are discarded;
	// with enough samples they are discarded at twice this age at the latest.
	runtimeWindow = 30 * time.Second
)

// runtimeQuantiles are the precomputed quantiles, in percent.
var runtimeQuantiles = [...]float64{50, 75, 90, 95, 99}

// runtimes learns the run times of a class. Values are recorded in two
// histograms; when a window ends the newer one replaces the other, so the one in
// use always holds between one and two windows.
type runtimes struct {
	current, next *hdr.Histogram
	rotatedAt     time.Duration
	newSamples    int // samples since the last computation of the quantiles
	quantiles     [len(runtimeQuantiles)]float64
	meanMS        float64 // 0 until there are enough samples
}

func newRuntimes() *runtimes {
	return &runtimes{
		current: hdr.New(1, maxRunMS, runtimeSignificantDigits),
		next:    hdr.New(1, maxRunMS, runtimeSignificantDigits),
	}
}

func (r *runtimes) record(ms int64) {
	ms = min(max(ms, 1), maxRunMS)
	_ = r.current.RecordValue(ms) // the value is within the histogram's range
	_ = r.next.RecordValue(ms)
	r.newSamples++
}

// refresh recomputes the mean and the quantiles.
func (r *runtimes) refresh(now time.Duration) {
	if now-r.rotatedAt >= runtimeWindow && r.next.TotalCount() >= runtimeMinSamples {
		r.current, r.next = r.next, r.current
		r.next.Reset()
		r.rotatedAt = now
	}
	if r.newSamples == 0 || r.current.TotalCount() < runtimeMinSamples {
		return
	}
	r.newSamples = 0
	r.meanMS = r.current.Mean()
	for i, q := range runtimeQuantiles {
		r.quantiles[i] = float64(r.current.ValueAtQuantile(q))
	}
}

func (r *runtimes) learned() bool { return r.meanMS > 0 }

// medianMS returns the learned median in milliseconds, 0 if unknown.
func (r *runtimes) medianMS() float64 { return r.quantiles[0] }

// longestMS predicts the longest run time of the tasks in milliseconds. Declared
// run times are used until the class has learned ones.
func (r *runtimes) longestMS(tasks []structs.Task) float64 {
	if !r.learned() {
		longest := int64(0)
		for i := range tasks {
			longest = max(longest, tasks[i].DeclaredMS)
		}
		return float64(longest)
	}
	expected := 100 * float64(len(tasks)) / float64(len(tasks)+1)
	for i, q := range runtimeQuantiles {
		if expected <= q {
			return r.quantiles[i]
		}
	}
	return r.quantiles[len(runtimeQuantiles)-1]
}

// taskMS predicts the run time of one task in milliseconds.
func (r *runtimes) taskMS(declaredMS int64) float64 {
	if r.learned() {
		return r.meanMS
	}
	return float64(max(declaredMS, 1))
}
