package placement

import (
	"math"
	"slices"
	"time"
)

const (
	// runTimeWindow is the number of runs of a queue over which its run times are
	// averaged; older ones lose their weight exponentially.
	runTimeWindow = 256
	// runTimeRecent is the number of run times that quantiles are taken from.
	runTimeRecent = 128
	// minRunTimes is how many ends a queue needs before its run times are used. The
	// mean of 16 log-normal times with a spread of 0.4 is within 10% usually.
	minRunTimes = 16
	// maxRunTimeQueues bounds the queues that are learned. Those beyond have none.
	maxRunTimeQueues = 1024
)

// RunTimes learns how long the tasks of each queue run, from the runs that have ended
// as done, and how that relates to the callers' estimates. The times are those at a
// target of mean speed. It is lost with its process and learned again.
type RunTimes struct {
	queues map[string]*queueRunTimes
}

// RunTime is what is known of the run times of a queue.
type RunTime struct {
	Samples int           // ends seen
	Ratio   float64       // mean run time to mean estimate
	Mean    time.Duration // mean run time
}

// queueRunTimes has the decayed sums of the logarithms of estimates (x) and run
// times (y) in seconds, for the regression of y on x.
type queueRunTimes struct {
	samples           int
	weight            float64
	x, y, xx, xy      float64
	estimated, actual float64
	recent            []time.Duration // the last runTimeRecent run times
	sorted            []time.Duration // recent in ascending order; nil: not sorted since the last end
}

// Add records a run time, at a target of mean speed, and its estimate.
func (t *RunTimes) Add(queue string, estimated, actual time.Duration) {
	if estimated <= 0 || actual <= 0 {
		return
	}
	q := t.queues[queue]
	if q == nil {
		if len(t.queues) >= maxRunTimeQueues {
			return
		}
		if t.queues == nil {
			t.queues = map[string]*queueRunTimes{}
		}
		q = &queueRunTimes{}
		t.queues[queue] = q
	}
	q.add(estimated, actual)
}

func (q *queueRunTimes) add(estimated, actual time.Duration) {
	const keep = 1 - 1.0/runTimeWindow
	x, y := math.Log(estimated.Seconds()), math.Log(actual.Seconds())
	q.weight = q.weight*keep + 1
	q.x, q.y = q.x*keep+x, q.y*keep+y
	q.xx, q.xy = q.xx*keep+x*x, q.xy*keep+x*y
	q.estimated, q.actual = q.estimated*keep+estimated.Seconds(), q.actual*keep+actual.Seconds()
	if len(q.recent) < runTimeRecent {
		q.recent = append(q.recent, actual)
	} else {
		q.recent[q.samples%runTimeRecent] = actual
	}
	q.samples++
	q.sorted = nil
}

// Of returns what is known of a queue; Samples is 0 if nothing is.
func (t *RunTimes) Of(queue string) RunTime {
	q := t.queues[queue]
	if q == nil {
		return RunTime{Ratio: 1}
	}
	return RunTime{Samples: q.samples, Ratio: q.actual / q.estimated, Mean: seconds(q.actual / q.weight)}
}

// Quantile returns the run time that a share of the queue's last runs has not
// exceeded, or 0 without enough ends.
func (t *RunTimes) Quantile(queue string, share float64) time.Duration {
	q := t.queues[queue]
	if q == nil || q.samples < minRunTimes {
		return 0
	}
	if q.sorted == nil {
		q.sorted = slices.Sorted(slices.Values(q.recent))
	}
	return q.sorted[min(max(int(share*float64(len(q.sorted))), 0), len(q.sorted)-1)]
}

// Expected returns the usual (median) run time of a task with an estimate, and whether
// it was learned; otherwise it is the estimate. It weighs the queue's run times
// against the estimate, corrected by the queue's ratio, by how well the estimates have
// predicted the run times so far: the regression of their logarithms.
func (t *RunTimes) Expected(queue string, estimated time.Duration) (time.Duration, bool) {
	q := t.queues[queue]
	if q == nil || q.samples < minRunTimes || estimated <= 0 {
		return estimated, false
	}
	x, y := q.x/q.weight, q.y/q.weight
	return seconds(math.Exp(y + q.slope()*(math.Log(estimated.Seconds())-x))), true
}

// Nominal returns the usual work of a task with an estimate, in terms of estimates:
// one that predicts little is drawn to the mean estimate of its queue.
func (t *RunTimes) Nominal(queue string, estimated time.Duration) time.Duration {
	q := t.queues[queue]
	if q == nil || q.samples < minRunTimes || estimated <= 0 {
		return estimated
	}
	x, slope := q.x/q.weight, q.slope()
	return seconds(math.Exp(x + slope*(math.Log(estimated.Seconds())-x)))
}

// slope returns how the logarithm of the run time grows with that of the estimate.
func (q *queueRunTimes) slope() float64 {
	x, y := q.x/q.weight, q.y/q.weight
	variance := q.xx/q.weight - x*x
	if variance < 1e-6 {
		return 1 // all estimates were the same
	}
	return min(max((q.xy/q.weight-x*y)/variance, 0), 1)
}

// seconds returns a time of a number of seconds, at most a year.
func seconds(s float64) time.Duration {
	return time.Duration(min(s*float64(time.Second), float64(maxObjective)))
}
