package dispatch

import (
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"

	"hawthornshore.example/structs"
)

const (
	maxRunMS          = 600_000 // longest run time that is told apart, in milliseconds
	runtimeDigits     = 2
	runtimeMinSamples = 20
	// runtimeWindow is the age at which learned run times are forgotten, at the
	// latest twice that.
	runtimeWindow = 30 * time.Second
)

// runtimeQuantiles are the quantiles, in percent, that are kept ready.
var runtimeQuantiles = [...]float64{50, 75, 90, 95, 99}

// runtimes learns the run times of a class. Values are recorded in two
// histograms; when a window ends the younger one takes over, so the one in use
// always holds between one and two windows.
type runtimes struct {
	current, next *hdr.Histogram
	rotated       time.Duration
	fresh         int // samples since the quantiles were computed
	quantiles     [len(runtimeQuantiles)]float64
	meanMS        float64 // 0 until enough samples are known
}

func newRuntimes() *runtimes {
	return &runtimes{
		current: hdr.New(1, maxRunMS, runtimeDigits),
		next:    hdr.New(1, maxRunMS, runtimeDigits),
	}
}

func (r *runtimes) record(ms int64) {
	ms = min(max(ms, 1), maxRunMS)
	_ = r.current.RecordValue(ms) // the value is within the histogram's range
	_ = r.next.RecordValue(ms)
	r.fresh++
}

// refresh recomputes the figures that are kept ready.
func (r *runtimes) refresh(now time.Duration) {
	if now-r.rotated >= runtimeWindow && r.next.TotalCount() >= runtimeMinSamples {
		r.current, r.next = r.next, r.current
		r.next.Reset()
		r.rotated = now
	}
	if r.fresh == 0 || r.current.TotalCount() < runtimeMinSamples {
		return
	}
	r.fresh = 0
	r.meanMS = r.current.Mean()
	for i, q := range runtimeQuantiles {
		r.quantiles[i] = float64(r.current.ValueAtQuantile(q))
	}
}

func (r *runtimes) known() bool { return r.meanMS > 0 }

// medianMS returns the learned median in milliseconds, 0 if unknown.
func (r *runtimes) medianMS() float64 { return r.quantiles[0] }

// longestMS predicts the longest of n tasks in milliseconds. Declared run times
// are used until the class is known.
func (r *runtimes) longestMS(tasks []structs.Task) float64 {
	if !r.known() {
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
	if r.known() {
		return r.meanMS
	}
	return float64(max(declaredMS, 1))
}
