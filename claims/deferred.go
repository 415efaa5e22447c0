package claims

import (
	"slices"

	"hawthornshore.example/structs"
)

// maxDeferred limits the submissions that wait for a change of owner.
const maxDeferred = 10_000

// mustDefer reports whether a submission without a record has to wait: this
// instance is handing over the partition, or taking it over from an owner that
// has completed its hand-over.
func (c *Core) mustDefer(id structs.JobID) bool {
	if c.deferredCount >= maxDeferred {
		return false
	}
	p := c.partitionOf(id)
	if p.owner != c.opts.Instance {
		return false
	}
	return c.draining || !p.ready && p.seal != nil
}

func (c *Core) deferSubmit(e Submit) {
	c.deferred[e.Job.ID] = append(c.deferred[e.Job.ID], e)
	c.deferredCount++
	c.requests[e.Request] = e.Job.ID
	c.timers.add(c.coreTime(e.Job.DeadlineUnixMS)+answerGrace, e.Job.ID)
}

// dropDeferred removes one deferred submission.
func (c *Core) dropDeferred(id structs.JobID, req RequestID) {
	before := len(c.deferred[id])
	kept := slices.DeleteFunc(c.deferred[id], func(e Submit) bool { return e.Request == req })
	c.deferredCount -= before - len(kept)
	c.setDeferred(id, kept)
}

func (c *Core) setDeferred(id structs.JobID, waiting []Submit) {
	if len(waiting) == 0 {
		delete(c.deferred, id)
		return
	}
	c.deferred[id] = waiting
}

// expireDeferred answers the submissions of an ID whose deadline has passed.
func (c *Core) expireDeferred(id structs.JobID) {
	waiting, ok := c.deferred[id]
	if !ok {
		return
	}
	var kept []Submit
	for _, e := range waiting {
		if c.coreTime(e.Job.DeadlineUnixMS)+answerGrace > c.now {
			kept = append(kept, e)
			c.timers.add(c.coreTime(e.Job.DeadlineUnixMS)+answerGrace, id)
			continue
		}
		c.deferredCount--
		c.reply(e.Request, unknownAnswer(id, structs.ReasonDraining,
			"the hand-over to the job's new owner did not complete before the deadline"))
	}
	c.setDeferred(id, kept)
}

// resubmitDeferred processes all deferred submissions again.
func (c *Core) resubmitDeferred() {
	if c.deferredCount == 0 {
		return
	}
	waiting := c.deferred
	c.deferred = make(map[structs.JobID][]Submit)
	c.deferredCount = 0
	for _, id := range sorted(waiting) {
		for _, e := range waiting[id] {
			delete(c.requests, e.Request)
			if owner := c.partitionOf(id).owner; owner != c.opts.Instance && owner != "" {
				c.emit(Forward{Submit: e})
				continue
			}
			c.submit(e)
		}
	}
}
