package claims

import (
	"hawthornshore.example/structs"
)

func (c *Core) submit(e Submit) {
	if _, waiting := c.requests[e.Request]; waiting {
		return
	}
	r := c.records[e.Job.ID]
	switch {
	case r == nil:
		c.submitNew(e)
	case !r.anyDigest && r.digest != e.Digest:
		c.reply(e.Request, unknownAnswer(e.Job.ID, structs.ReasonBodyMismatch,
			"the job ID was already submitted with a different body"))
	default:
		c.attach(r, e.Request)
	}
}

// submitNew admits, refuses or defers a job whose ID has no record.
func (c *Core) submitNew(e Submit) {
	id := e.Job.ID
	if c.mustDefer(id) {
		c.deferSubmit(e)
		return
	}
	if a, ok := c.mayAdmit(id); !ok {
		c.reply(e.Request, a)
		return
	}
	r := &record{id: id, digest: e.Digest, deadline: e.Job.DeadlineUnixMS}
	if reason, message := c.refusal(&e.Job); reason != "" {
		c.refuse(r, e.Request, reason, message)
		return
	}
	c.add(r)
	c.openJobs++
	c.emit(Admit{Job: e.Job})
	c.attach(r, e.Request)
}

// mayAdmit reports whether it is certain that an ID without a record was never
// admitted, here or elsewhere. If not, it returns the answer.
func (c *Core) mayAdmit(id structs.JobID) (structs.Answer, bool) {
	p := &c.partitions[Partition(id)]
	t := id.Time().UnixMilli()
	switch {
	case c.draining:
		return unknownAnswer(id, structs.ReasonDraining, "this instance is draining"), false
	case !c.isActiveOwner(p):
		return unknownAnswer(id, structs.ReasonNoLease, "this instance is not the active owner of the job ID"), false
	case t <= c.wall-structs.AnswerRetention.Milliseconds() || t <= c.floor:
		return unknownAnswer(id, structs.ReasonExpiredJobID, "the job ID is older than the retention time of answers"), false
	case t < p.horizon:
		return unknownAnswer(id, structs.ReasonHorizon, "the job ID is older than the recovery horizon of its owner"), false
	case len(c.records) >= c.opts.MaxRecords:
		return unknownAnswer(id, structs.ReasonNoCapacity, "the table of job IDs is full"), false
	case c.fromFuture(id) && c.futureRecords >= maxFutureRecords:
		return unknownAnswer(id, structs.ReasonFutureJobID, "too many job IDs have a future timestamp"), false
	}
	return structs.Answer{}, true
}

// refusal returns why a job that was never admitted is refused, if it is.
func (c *Core) refusal(j *structs.Job) (structs.Reason, string) {
	switch {
	case c.fromFuture(j.ID):
		return structs.ReasonFutureJobID, "the timestamp of the job ID is in the future"
	case c.skewed:
		return structs.ReasonClockSkew, "the owner's clock differs from those of its peers"
	case j.DeadlineUnixMS <= c.wall:
		return structs.ReasonDeadlinePassed, "the deadline had passed on arrival"
	}
	return "", ""
}

func (c *Core) fromFuture(id structs.JobID) bool {
	return id.Time().UnixMilli() > c.wall+structs.ClockSkewTolerance.Milliseconds()
}

// refuse records the refusal before it is sent, so that no duplicate of the
// request is admitted later.
func (c *Core) refuse(r *record, req RequestID, reason structs.Reason, message string) {
	r.future = c.fromFuture(r.id)
	r.state = finished
	c.add(r)
	c.finish(r, notRunAnswer(r.id, reason, message))
	if r.future {
		// A horizon does not cover IDs with a future timestamp, so that only
		// the copy preserves the refusal if this instance is lost.
		c.sendCopy(r, c.partitions[Partition(r.id)].backup)
	}
	c.attach(r, req)
}

// add puts a new record into the table.
func (c *Core) add(r *record) {
	c.records[r.id] = r
	if r.future {
		c.futureRecords++
	}
	if r.state == finished {
		return
	}
	r.replyDue = c.coreTime(r.deadline) + answerGrace
	c.timers.add(r.replyDue, r.id)
	r.expires = max(r.replyDue, c.coreTime(r.id.Time().UnixMilli())) + structs.AnswerRetention
	c.timers.add(r.expires, r.id)
}

// attach answers a request from the record or makes it wait for the answer.
func (c *Core) attach(r *record, req RequestID) {
	switch {
	case r.state == finished:
		c.reply(req, *r.answer)
	case c.orphaned(r):
		c.reply(req, unknownAnswer(r.id, structs.ReasonOwnerLost, "the job's owner was lost"))
	case c.deadlinePassed(r):
		c.reply(req, deadlineAnswer(r))
	default:
		r.waiters = append(r.waiters, req)
		c.requests[req] = r.id
	}
}

func (c *Core) query(e Query) {
	if _, waiting := c.requests[e.Request]; waiting {
		return
	}
	if r := c.records[e.JobID]; r != nil {
		c.attach(r, e.Request)
		return
	}
	a, admissible := c.mayAdmit(e.JobID)
	if admissible {
		// Not answered not-run: the submission may still arrive.
		a = unknownAnswer(e.JobID, "", "no submission of the job has arrived")
	}
	c.reply(e.Request, a)
}

// cancel stops a job. An ID that was never admitted is recorded as refused, so
// that a submission that arrives after its cancellation does not run.
func (c *Core) cancel(e Cancel) {
	if _, waiting := c.requests[e.Request]; waiting {
		return
	}
	r := c.records[e.JobID]
	if r == nil {
		c.cancelUnsubmitted(e)
		return
	}
	switch {
	case r.state < released:
		c.withdraw(r, structs.ReasonCancelled, "cancelled before the job could start")
	case r.state == released && !r.cancelled:
		r.cancelled = true
		c.emit(CancelJob{JobID: r.id})
	}
	c.attach(r, e.Request)
}

func (c *Core) cancelUnsubmitted(e Cancel) {
	if a, ok := c.mayAdmit(e.JobID); !ok {
		c.reply(e.Request, a)
		return
	}
	r := &record{id: e.JobID, anyDigest: true}
	c.refuse(r, e.Request, structs.ReasonCancelled, "cancelled before its submission arrived")
}

func (c *Core) abandon(req RequestID) {
	id, waiting := c.requests[req]
	if !waiting {
		return
	}
	delete(c.requests, req)
	c.dropDeferred(id, req)
	r := c.records[id]
	if r == nil {
		return
	}
	for i, w := range r.waiters {
		if w == req {
			r.waiters = append(r.waiters[:i], r.waiters[i+1:]...)
			return
		}
	}
}
