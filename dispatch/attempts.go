package dispatch

import (
	"time"

	"hawthornshore.example/structs"
)

// resolveGrace is how long a silent attempt of an already answered job is asked
// about, so that its start is still prevented where possible.
const resolveGrace = 1 * time.Second

// lookup returns the job and task of an attempt that awaits a final report, or
// nil for stale reports.
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
	case taskSilent:
		t.state = taskLost
	}
	c.settle(j)
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
	c.releaseSlot(j, t, ending{ran: true, runMS: e.RunMS})
	c.settle(j)
}

func (c *Core) attemptFailed(e *AttemptFailed) {
	j, t := c.lookup(e.Attempt)
	if j == nil {
		return
	}
	c.markStarted(j, t)
	t.state = taskFailed
	c.releaseSlot(j, t, ending{ran: true, runMS: e.RunMS, failed: !j.stopping})
	c.stop(j, structs.ReasonTaskFailed, e.Message)
	if j.answered {
		c.forget(j)
		return
	}
	c.answer(j, structs.OutcomeFailed)
}

// attemptRefused lets the task go to another target, but only on proof that the
// attempt has not started. A refusal of an acknowledged start contradicts the
// acknowledgement, and one by another incarnation, or of a silent start that
// was not sent, says nothing about the silent one.
func (c *Core) attemptRefused(e *AttemptRefused) {
	j, t := c.lookup(e.Attempt)
	if j == nil {
		return
	}
	silent := t.state != taskSent
	weak := e.Cause == RefusedIncarnation || e.Cause == RefusedNotSent
	if t.accepted || silent && weak {
		c.attemptUnresolved(e.Attempt)
		return
	}
	c.releaseSlot(j, t, ending{refused: e.Cause})
	j.maybe--
	j.tenant.queued++
	if j.stopping {
		t.state = taskDropped
		j.tenant.queued--
		j.dropped++
		c.settle(j)
		return
	}
	t.state = taskWaiting
	j.waiting++
	c.retry(j, e.Attempt.Task)
}

func (c *Core) attemptSilent(id structs.AttemptID) {
	j, t := c.lookup(id)
	if j == nil {
		return
	}
	switch t.state {
	case taskSent:
		t.state = taskSilent
	case taskAccepted:
		t.state = taskLost
	default:
		return
	}
	c.slotSilent(t)
	giveUp := c.base.Add(max(j.deadline, c.now+resolveGrace))
	c.emit(ResolveAttempt{Attempt: id, Target: *t.slot.ref, Deadline: giveUp})
}

func (c *Core) attemptUnresolved(id structs.AttemptID) {
	j, t := c.lookup(id)
	if j == nil {
		return
	}
	c.releaseSlot(j, t, ending{})
	c.attemptLost(j, t, "the target could not say what became of a task")
	c.settle(j)
}
