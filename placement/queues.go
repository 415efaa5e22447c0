package placement

import (
	"strconv"
	"time"
)

// Queue is what the operators' document says of the jobs of a queue.
type Queue struct {
	Service   string
	Priority  int
	Stretch   float64
	Allowance time.Duration
}

// QueuesChanged is a newer document: its queues and services, by name.
type QueuesChanged struct {
	Version  uint64
	Queues   map[string]Queue
	Services map[string]bool
}

// queuesChanged lets the jobs that are not stored follow a newer document. The log does
// so for stored jobs, and each of their homes gets the same result from it.
func (c *Core) queuesChanged(e QueuesChanged) {
	if e.Version <= c.document.Version {
		return
	}
	c.document = e
	for _, id := range sortedKeys(c.jobs) {
		if j := c.jobs[id]; !j.Stored {
			c.followDocument(j)
		}
	}
}

// followDocument applies the document to a job that is from an earlier one. A job whose
// queue the document lacks keeps its service.
func (c *Core) followDocument(j *job) {
	q, found := c.document.Queues[j.Queue]
	if !found || j.DocumentVersion >= c.document.Version {
		return
	}
	c.applyQueue(j, q, c.document.Version)
}

// queue returns the fields that the queue of a job determines.
func (j *Job) queue() Queue { return Queue{j.Service, j.Priority, j.Stretch, j.Allowance} }

// applyQueue sets the fields of a job that its queue determines. Runs and starts in
// flight stay where they are; tasks that wait are placed by the new fields.
func (c *Core) applyQueue(j *job, q Queue, version uint64) {
	before := j.queue()
	j.DocumentVersion = version
	if q == before {
		return
	}
	j.Service, j.Priority, j.Stretch, j.Allowance = q.Service, q.Priority, q.Stretch, q.Allowance
	reason := "queue " + j.Queue + ": priority " + strconv.Itoa(before.Priority) + " to " + strconv.Itoa(q.Priority)
	if q.Service != before.Service {
		reason = "queue " + j.Queue + ": service " + before.Service + " to " + q.Service
	}
	c.logDecision(Decision{
		Event: "job_follows_queue", Job: j.ID, Reason: reason, Age: c.now - j.submittedAt, Value: int64(version),
	})
	if j.hasWaiting() {
		c.enqueue(j)
	}
}
