package dispatch

import (
	"time"

	"hawthornshore.example/structs"
)

// resolveGrace is how long an unresponsive attempt of an already answered job is
// still resolved, so that its start is prevented where possible.
const resolveGrace = 1 * time.Second

// lookup returns the job and task of a live attempt, or nil if the report is
// stale.
func (c *Core) lookup(id structs.AttemptID) (*job, *task) {
	j := c.jobs[id.Job]
	if j == nil || id.Task < 0 || id.Task >= len(j.tasks) {
		return nil, nil
	}
	t := &j.tasks[id.Task]
	if !t.live || t.number != id.Number {
		return nil, nil
	}
	return j, t
}

func (c *Core) markStarted(j *job, t *task) {
	if !t.accepted {
		t.accepted = true
		j.started++
	}
}

func (c *Core) attemptAccepted(id structs.AttemptID) {
	j, t := c.lookup(id)
	if j == nil {
		return
	}
	c.markStarted(j, t)
	switch t.state {
	case taskSent:
		t.state = taskAccepted
	case taskSentResolving:
		t.state = taskAcceptedResolving
	}
	c.answerIfDecided(j)
}

func (c *Core) attemptDone(e *AttemptDone) {
	j, t := c.lookup(e.Attempt)
	if j == nil {
		return
	}
	c.markStarted(j, t)
	t.state = taskDone
	t.output, t.runMS = e.Output, e.RunMS
	j.done++
	c.releaseSlot(j, t, attemptResult{ran: true, runMS: e.RunMS})
	c.answerIfDecided(j)
}

func (c *Core) attemptFailed(e *AttemptFailed) {
	j, t := c.lookup(e.Attempt)
	if j == nil {
		return
	}
	c.markStarted(j, t)
	t.state = taskFailed
	c.releaseSlot(j, t, attemptResult{ran: true, runMS: e.RunMS, failed: !j.stopping})
	c.stop(j, structs.ReasonTaskFailed, e.Message)
	if j.answered {
		c.removeIfDone(j)
		return
	}
	c.answer(j, structs.OutcomeFailed)
}

// attemptRefused retries the task on another target, but only if the refusal
// proves that the attempt has not started. A refusal of an acknowledged start
// contradicts the acknowledgement. For an unresponsive start, a refusal by another
// incarnation or because nothing was sent is no proof.
func (c *Core) attemptRefused(e *AttemptRefused) {
	j, t := c.lookup(e.Attempt)
	if j == nil {
		return
	}
	unresponsive := t.state != taskSent
	noProof := e.Cause == RefusedIncarnation || e.Cause == RefusedNotSent
	if t.accepted || unresponsive && noProof {
		c.attemptUnresolved(e.Attempt)
		return
	}
	c.releaseSlot(j, t, attemptResult{refused: e.Cause})
	j.maybeStarted--
	j.tenant.queued++
	if j.stopping {
		t.state = taskDropped
		j.tenant.queued--
		j.dropped++
		c.answerIfDecided(j)
		return
	}
	t.state = taskWaiting
	j.waiting++
	c.retry(j, e.Attempt.Task)
}

func (c *Core) attemptUnresponsive(id structs.AttemptID) {
	j, t := c.lookup(id)
	if j == nil {
		return
	}
	switch t.state {
	case taskSent:
		t.state = taskSentResolving
	case taskAccepted:
		t.state = taskAcceptedResolving
	default:
		return
	}
	c.suspectTarget(t)
	deadline := c.base.Add(max(j.deadline, c.now+resolveGrace))
	c.emit(ResolveAttempt{Attempt: id, Target: *t.slot.ref, Deadline: deadline})
}

func (c *Core) attemptUnresolved(id structs.AttemptID) {
	j, t := c.lookup(id)
	if j == nil {
		return
	}
	c.releaseSlot(j, t, attemptResult{})
	c.attemptLost(j, t, "the outcome of a task on its target could not be determined")
	c.answerIfDecided(j)
}
