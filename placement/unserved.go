package placement

import (
	"strconv"
	"time"
)

// unservedReportDelay is how long a stored job has waited for a target of its service
// before that is reported. Targets send a heartbeat about every second, also to a
// coordinator that has just started.
const unservedReportDelay = 3 * time.Second

// checkUnserved reports the stored jobs that no target can run, because their service has
// none that may get starts. They wait until it has one or their queue gets another
// service.
func (c *Core) checkUnserved() {
	served := map[string]bool{}
	c.unserved = 0
	for _, j := range c.queue {
		if !j.Stored || j.ending {
			continue
		}
		found, known := served[j.Service]
		if !known {
			found = c.hasUsableTarget(j.Service)
			served[j.Service] = found
		}
		c.recordServed(j, found)
	}
}

func (c *Core) recordServed(j *job, served bool) {
	if served {
		if j.unservedReported {
			c.logDecision(Decision{Event: "job_served_again", Job: j.ID, Reason: "service " + j.Service, Age: c.now - j.unservedSince})
		}
		j.unservedSince, j.unservedReported = 0, false
		return
	}
	c.unserved++
	if j.unservedSince == 0 {
		j.unservedSince = c.now
	}
	if !j.unservedReported && c.now-j.unservedSince >= unservedReportDelay {
		j.unservedReported = true
		c.logDecision(Decision{Event: "job_unserved", Job: j.ID, Reason: c.unservedReason(j), Age: c.now - j.unservedSince, Value: int64(j.remaining)})
	}
}

// unservedReason says which part of the document, or which missing targets, a job waits for.
func (c *Core) unservedReason(j *job) string {
	version := strconv.FormatUint(c.document.Version, 10)
	reason := "service " + j.Service + " has no usable target"
	if c.document.Version > 0 && !c.document.Services[j.Service] {
		reason = "document " + version + " lacks service " + j.Service
	}
	if _, found := c.document.Queues[j.Queue]; !found && c.document.Version > 0 {
		reason += ", document " + version + " lacks queue " + j.Queue
	}
	return reason
}
