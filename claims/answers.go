package claims

import (
	"hawthornshore.example/structs"
)

// admitted copies the claim of a queued job to the backup.
func (c *Core) admitted(id structs.JobID) {
	r := c.records[id]
	if r == nil || r.state != undecided {
		return
	}
	r.copyPeer = c.partitions[Partition(id)].backup
	if r.copyPeer == "" {
		c.claimCopied(r)
		return
	}
	r.state = copying
	r.copyDue = c.now + structs.ClaimCopyTimeout
	c.timers.add(r.copyDue, id)
	c.sendCopy(r, r.copyPeer)
}

func (c *Core) copyAcked(e CopyAcked) {
	r := c.records[e.JobID]
	if r != nil && r.state == copying && r.copyPeer == e.Peer {
		c.claimCopied(r)
	}
}

// claimCopied releases the job if this instance may still act as its owner.
func (c *Core) claimCopied(r *record) {
	if !c.isActiveOwner(&c.partitions[Partition(r.id)]) {
		r.state = awaitingLease
		c.awaitingLease = append(c.awaitingLease, r.id)
		return
	}
	r.state = released
	c.emit(Release{JobID: r.id})
}

// jobFinished records the only answer of a job from the dispatch core.
func (c *Core) jobFinished(a structs.Answer) {
	r := c.records[a.JobID]
	if r == nil || r.state >= remote {
		return
	}
	copied := r.state > undecided
	c.finish(r, a)
	if copied {
		c.sendAnswer(r)
	}
}

// finish sets the answer of a record and sends it to all waiting requests.
func (c *Core) finish(r *record, a structs.Answer) {
	if r.state < remote {
		c.openJobs--
	}
	r.state = finished
	r.answer = &a
	r.expires = max(c.now, c.coreTime(r.id.Time().UnixMilli())) + structs.AnswerRetention
	c.timers.add(r.expires, r.id)
	c.replyToWaiters(r, a)
	c.retainResults(r)
}

func (c *Core) replyToWaiters(r *record, a structs.Answer) {
	for _, req := range r.waiters {
		c.reply(req, a)
	}
	r.waiters = nil
}

// reply answers one request. No other function emits Reply.
func (c *Core) reply(req RequestID, a structs.Answer) {
	delete(c.requests, req)
	c.emit(Reply{Request: req, Answer: a})
}

func (c *Core) deadlinePassed(r *record) bool {
	return r.state < finished && r.replyDue <= c.now
}

// handleDeadline answers the requests of a job that has no answer at its deadline.
// A job that was never released is withdrawn, which proves that it has not run.
func (c *Core) handleDeadline(r *record) {
	if r.mayStart() {
		c.replyToWaiters(r, deadlineAnswer(r))
		return
	}
	c.withdraw(r, structs.ReasonDeadlinePassed, "the deadline passed before the job could start")
}

// withdraw ends a job that was never released.
func (c *Core) withdraw(r *record, reason structs.Reason, message string) {
	c.emit(CancelJob{JobID: r.id})
	copied := r.state > undecided
	c.finish(r, notRunAnswer(r.id, reason, message))
	if copied {
		c.sendAnswer(r)
	}
}

// drop deletes a record. Its ID is not admitted again because of the floor.
func (c *Core) drop(r *record) {
	c.replyToWaiters(r, deadlineAnswer(r))
	c.floor = max(c.floor, r.id.Time().UnixMilli())
	c.answerBytes -= r.bytes
	if r.future {
		c.futureRecords--
	}
	if r.state < remote {
		c.openJobs--
	}
	delete(c.records, r.id)
}

// retainResults counts the results of a new answer, and drops the oldest results
// while there are too many.
func (c *Core) retainResults(r *record) {
	if len(r.answer.Results) == 0 {
		return
	}
	r.bytes = resultBytes(r.answer)
	c.answerBytes += r.bytes
	c.withResults = append(c.withResults, r.id)
	for c.answerBytes > c.opts.MaxAnswerBytes && len(c.withResults) > 0 {
		c.dropResults(c.withResults[0])
		c.withResults = c.withResults[1:]
	}
}

func (c *Core) dropResults(id structs.JobID) {
	r := c.records[id]
	if r == nil || r.bytes == 0 {
		return
	}
	c.answerBytes -= r.bytes
	r.bytes = 0
	a := unknownAnswer(id, structs.ReasonExpiredJobID, "the job ran; its results are no longer kept")
	r.answer = &a
}

func deadlineAnswer(r *record) structs.Answer {
	if r.state == remote {
		return unknownAnswer(r.id, structs.ReasonOwnerLost, "the job's owner did not answer before the deadline")
	}
	return unknownAnswer(r.id, structs.ReasonDeadlinePassed, "no answer before the deadline; the job may have run")
}

func unknownAnswer(id structs.JobID, reason structs.Reason, message string) structs.Answer {
	return structs.Answer{JobID: id, Outcome: structs.OutcomeUnknown, Reason: reason, Message: message}
}

func notRunAnswer(id structs.JobID, reason structs.Reason, message string) structs.Answer {
	return structs.Answer{JobID: id, Outcome: structs.OutcomeNotRun, Reason: reason, Message: message}
}
