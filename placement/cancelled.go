package placement

import "time"

const (
	// cancelRetention is how long the ID of a cancelled job is remembered. A request
	// may arrive 12 s late; the rest is for the time until the cancellation is
	// acknowledged.
	cancelRetention = 30 * time.Second
	// maxCancelled bounds the remembered IDs, to about 1 MB.
	maxCancelled = 10_000
)

// cancelledIDs are the IDs of jobs that were cancelled and are not stored. A later
// submission of one is a repeat that was held up on its way.
type cancelledIDs struct {
	at    map[string]time.Duration
	order []string // oldest first
}

func (r *cancelledIDs) add(id string, now time.Duration) {
	r.expire(now)
	if _, ok := r.at[id]; ok {
		return
	}
	if len(r.order) >= maxCancelled {
		r.removeOldest()
	}
	r.at[id] = now
	r.order = append(r.order, id)
}

func (r *cancelledIDs) expire(now time.Duration) {
	for len(r.order) > 0 && now-r.at[r.order[0]] >= cancelRetention {
		r.removeOldest()
	}
}

func (r *cancelledIDs) removeOldest() {
	delete(r.at, r.order[0])
	r.order = r.order[1:]
}

// Cancelled reports whether a job that is not stored was cancelled within
// cancelRetention.
func (c *Core) Cancelled(id string) bool {
	at, ok := c.cancelled.at[id]
	return ok && c.now-at < cancelRetention
}

// CancelledJobs returns the IDs for which Cancelled is true.
func (c *Core) CancelledJobs() []string {
	c.cancelled.expire(c.now)
	return append([]string(nil), c.cancelled.order...)
}

// cancel cancels a job that is not stored, if it is active here, and remembers its ID.
func (c *Core) cancel(id string) {
	c.cancelled.add(id, c.now)
	j := c.jobs[id]
	if j == nil || j.Stored {
		return
	}
	if j.successor != nil {
		c.refuseCancelled(*j.successor)
		j.successor = nil
	}
	if !j.ending {
		c.answerJob(j, Cancelled, "cancelled", 0)
		c.endJob(j)
	}
}

// refuseCancelled answers a repeat of a cancelled job.
func (c *Core) refuseCancelled(e Submit) {
	c.emit(AnswerJob{Caller: e.Caller, JobID: e.Job.ID, Outcome: Cancelled, Reason: "cancelled before"})
	c.logDecision(Decision{Event: "cancelled_job_repeated", Job: e.Job.ID, Age: c.now - c.cancelled.at[e.Job.ID]})
}
