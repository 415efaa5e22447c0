package placement

import "time"

const (
	// firstTrialDelay is the least time from the crash after which a task of a stored job
	// is suspected strongly to its next trial. A sound task under which targets have
	// crashed twice by chance must not wait long.
	firstTrialDelay = time.Second
	// trialDelayFactor is the factor from one crash to the next. A task that crashes its
	// targets is at its longest delay with the fourth crash.
	trialDelayFactor = 8
	// longestTrialDelay bounds the delay. Such a task then takes one target for the few
	// seconds of its restart in each minute.
	longestTrialDelay = time.Minute
)

// trialDelay returns the least time from the last of a number of crashes to the next
// trial.
func trialDelay(crashes int) time.Duration {
	delay := firstTrialDelay
	for range crashes - crashesToConvict {
		delay = min(delay*trialDelayFactor, longestTrialDelay)
	}
	return delay
}

// delayTrial delays the next trial of a stored job's task. The task is not given up: its
// targets may have crashed for reasons of their own, and only runs that end as failed
// count as attempts.
func (c *Core) delayTrial(t *task, crashes int, last time.Duration) {
	due := last + trialDelay(crashes)
	if due <= t.trialNotBefore {
		return
	}
	t.trialNotBefore = due
	c.logDecision(Decision{
		Event: "task_delayed", Job: t.job.ID, Task: t.name(), Age: c.now - t.job.submittedAt,
		Value: int64(crashes), SafeAfter: max(due-c.now, 0),
	})
}
