package dispatch

import "time"

const (
	retryWindowSeconds = 10 // length of the sliding window
	retriesPerStart    = 0.1
	minRetries         = 10 // always allowed per window
)

// retryBudget limits the retries of a class to a fraction of its starts, counted
// per second over a sliding window.
type retryBudget struct {
	second       int64
	starts       [retryWindowSeconds]int
	retries      [retryWindowSeconds]int
	startsTotal  int
	retriesTotal int
}

func (b *retryBudget) advance(now time.Duration) int {
	second := int64(now / time.Second)
	for range min(second-b.second, retryWindowSeconds) {
		b.second++
		i := b.second % retryWindowSeconds
		b.startsTotal -= b.starts[i]
		b.retriesTotal -= b.retries[i]
		b.starts[i], b.retries[i] = 0, 0
	}
	b.second = second
	return int(second % retryWindowSeconds)
}

func (b *retryBudget) recordStart(now time.Duration) {
	i := b.advance(now)
	b.starts[i]++
	b.startsTotal++
}

// allows reports whether one more retry is within the budget.
func (b *retryBudget) allows(now time.Duration) bool {
	b.advance(now)
	return float64(b.retriesTotal) < max(minRetries, retriesPerStart*float64(b.startsTotal))
}

func (b *retryBudget) recordRetry(now time.Duration) {
	i := b.advance(now)
	b.retries[i]++
	b.retriesTotal++
}
