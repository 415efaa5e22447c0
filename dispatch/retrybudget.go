package dispatch

import "time"

const (
	budgetSeconds = 10  // length of the budget's window in seconds
	budgetPart    = 0.1 // retries per start
	budgetMinimum = 10  // retries per window that are always allowed
)

// retryBudget limits the retries of a class to a part of its starts. It counts
// per second over a sliding window.
type retryBudget struct {
	second  int64
	starts  [budgetSeconds]int
	retries [budgetSeconds]int
	sumS    int
	sumR    int
}

func (b *retryBudget) advance(now time.Duration) int {
	second := int64(now / time.Second)
	for range min(second-b.second, budgetSeconds) {
		b.second++
		i := b.second % budgetSeconds
		b.sumS -= b.starts[i]
		b.sumR -= b.retries[i]
		b.starts[i], b.retries[i] = 0, 0
	}
	b.second = second
	return int(second % budgetSeconds)
}

func (b *retryBudget) start(now time.Duration) {
	i := b.advance(now)
	b.starts[i]++
	b.sumS++
}

// allows reports whether one more retry is within the budget.
func (b *retryBudget) allows(now time.Duration) bool {
	b.advance(now)
	return float64(b.sumR) < max(budgetMinimum, budgetPart*float64(b.sumS))
}

func (b *retryBudget) retry(now time.Duration) {
	i := b.advance(now)
	b.retries[i]++
	b.sumR++
}
