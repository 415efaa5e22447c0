package emulator

import (
	"fmt"
	"sync"
	"time"

	"hawthornshore.example/placement"
)

// RunChecker checks the runs of stored jobs over all runners: no task starts after a
// run of it has ended as done and that end counts, now or later, nor after as
// many counted failures as it may have. It is safe for concurrent use; all
// runners need the same clock.
type RunChecker struct {
	attempts int
	stored   func(task string) bool

	mu     sync.Mutex
	starts map[string][]time.Duration // by task
	done   map[string]bool            // tasks with an end as done that counts
	failed map[string]int             // failures that count, by task
	broken []string
}

// NewRunChecker returns a ledger for the tasks that are stored, which may fail a
// number of times.
func NewRunChecker(attempts int, stored func(task string) bool) *RunChecker {
	return &RunChecker{
		attempts: attempts, stored: stored,
		starts: map[string][]time.Duration{}, done: map[string]bool{}, failed: map[string]int{},
	}
}

// OnStart takes the start of a run.
func (l *RunChecker) OnStart(now time.Duration, task string) {
	if !l.stored(task) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.done[task] {
		l.broken = append(l.broken, "task "+task+" starts after it has ended as done")
	}
	if l.failed[task] >= l.attempts {
		l.broken = append(l.broken, fmt.Sprintf("task %s starts after %d failed runs", task, l.failed[task]))
	}
	l.starts[task] = append(l.starts[task], now)
}

// OnEndAcked takes an end that counts.
func (l *RunChecker) OnEndAcked(end placement.EndedEntry, ended time.Duration) {
	if !l.stored(end.Task) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch end.Kind {
	case placement.EndDone:
		l.done[end.Task] = true
		for _, start := range l.starts[end.Task] {
			if start > ended {
				l.broken = append(l.broken, "the end of task "+end.Task+" counts, and it has started since")
			}
		}
	case placement.EndFailed:
		l.failed[end.Task]++
	}
}

// Violations returns what was broken so far.
func (l *RunChecker) Violations() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.broken...)
}
