package claims

import (
	"slices"

	"hawthornshore.example/structs"
)

// maxParked bounds the submissions that wait for a change of owner.
const maxParked = 10_000

// mustPark says whether a submission without a record has to wait: this instance
// is about to hand over the partition, or about to take it over from an owner
// that has handed over.
func (c *Core) mustPark(id structs.JobID) bool {
	if c.parkCount >= maxParked {
		return false
	}
	p := c.partitionOf(id)
	if p.owner != c.opts.Instance {
		return false
	}
	return c.draining || !p.ready && p.seal != nil
}

func (c *Core) park(e Submit) {
	c.parked[e.Job.ID] = append(c.parked[e.Job.ID], e)
	c.parkCount++
	c.requests[e.Request] = e.Job.ID
	c.timers.add(c.after(e.Job.DeadlineUnixMS)+answerGrace, e.Job.ID)
}

// unpark removes one waiting submission.
func (c *Core) unpark(id structs.JobID, req RequestID) {
	before := len(c.parked[id])
	kept := slices.DeleteFunc(c.parked[id], func(e Submit) bool { return e.Request == req })
	c.parkCount -= before - len(kept)
	c.setParked(id, kept)
}

func (c *Core) setParked(id structs.JobID, waiting []Submit) {
	if len(waiting) == 0 {
		delete(c.parked, id)
		return
	}
	c.parked[id] = waiting
}

// unparkLate answers the submissions of an ID whose deadline has passed.
func (c *Core) unparkLate(id structs.JobID) {
	waiting, ok := c.parked[id]
	if !ok {
		return
	}
	var kept []Submit
	for _, e := range waiting {
		if c.after(e.Job.DeadlineUnixMS)+answerGrace > c.now {
			kept = append(kept, e)
			c.timers.add(c.after(e.Job.DeadlineUnixMS)+answerGrace, id)
			continue
		}
		c.parkCount--
		c.reply(e.Request, unknown(id, structs.ReasonDraining, "the job's owner changed until the deadline"))
	}
	c.setParked(id, kept)
}

// unparkAll decides again on all waiting submissions.
func (c *Core) unparkAll() {
	if c.parkCount == 0 {
		return
	}
	waiting := c.parked
	c.parked = make(map[structs.JobID][]Submit)
	c.parkCount = 0
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
