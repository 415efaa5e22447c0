package emulator

import (
	"fmt"
	"sync"
	"time"

	"hawthornshore.example/placement"
)

// RunChecker checks the runs of stored jobs across all runners. A task must not
// start after one of its runs was completed, provided that the coordinator
// acknowledges that end, at once or later. Nor must it start after maxAttempts
// acknowledged failures. A RunChecker is safe for concurrent use; all runners must
// share a clock.
type RunChecker struct {
	maxAttempts int
	isStored    func(task string) bool

	mu         sync.Mutex
	starts     map[string][]time.Duration // start times by task
	doneTasks  map[string]bool            // tasks with an acknowledged completed run
	failures   map[string]int             // acknowledged failures by task
	violations []string
}

// NewRunChecker returns a checker for the tasks for which isStored returns true.
func NewRunChecker(maxAttempts int, isStored func(task string) bool) *RunChecker {
	return &RunChecker{
		maxAttempts: maxAttempts, isStored: isStored,
		starts: map[string][]time.Duration{}, doneTasks: map[string]bool{}, failures: map[string]int{},
	}
}

// OnStart records the start of a run.
func (c *RunChecker) OnStart(at time.Duration, task string) {
	if !c.isStored(task) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.doneTasks[task] {
		c.violations = append(c.violations, "task "+task+" started after the acknowledged end of a completed run")
	}
	if c.failures[task] >= c.maxAttempts {
		c.violations = append(c.violations, fmt.Sprintf("task %s started after %d acknowledged failures", task, c.failures[task]))
	}
	c.starts[task] = append(c.starts[task], at)
}

// OnEndAcked records an end that the coordinator acknowledged.
func (c *RunChecker) OnEndAcked(end placement.EndedEntry, endedAt time.Duration) {
	if !c.isStored(end.Task) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch end.Kind {
	case placement.EndDone:
		c.doneTasks[end.Task] = true
		for _, start := range c.starts[end.Task] {
			if start > endedAt {
				c.violations = append(c.violations, "task "+end.Task+" started after the end of a completed run, acknowledged later")
			}
		}
	case placement.EndFailed:
		c.failures[end.Task]++
	}
}

// Violations returns the violations so far.
func (c *RunChecker) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.violations...)
}
