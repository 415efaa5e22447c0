package dispatch

import (
	"encoding/json"
	"time"

	"hawthornshore.example/structs"
)

// taskState is the state of a task. A task that is neither waiting nor dropped
// has, or may have, started.
type taskState uint8

const (
	taskWaiting           taskState = iota // no attempt may have started
	taskSent                               // a start was sent and not acknowledged
	taskSentResolving                      // resolving an unacknowledged start
	taskAccepted                           // the target acknowledged the start
	taskAcceptedResolving                  // resolving an acknowledged start
	taskDone
	taskFailed
	taskUnknown // the attempt may have run; its outcome stays unknown
	taskDropped // never started and never will
)

// task is one task of a job and its current attempt.
type task struct {
	state    taskState
	live     bool // the current attempt holds a slot and has no final report
	accepted bool // the current attempt is known to have started
	number   int  // attempt number, from 1
	slot     slot
	charged  float64 // milliseconds charged to the tenant for the attempt
	output   json.RawMessage
	runMS    int64
}

// job is an admitted job, kept until it is answered and none of its attempts holds
// a slot.
type job struct {
	spec     structs.Job
	class    *class
	tenant   *tenant
	deadline time.Duration
	timer    timer // fires at the deadline
	tasks    []task

	waiting      int // tasks in taskWaiting
	next         int // no task below this index is waiting
	live         int // tasks with a live attempt
	done         int
	dropped      int
	started      int // tasks known to have started
	maybeStarted int // tasks that may have started, including known ones
	released     bool
	stopping     bool // no further starts
	answered     bool
	deferred     bool // waiting for the retry budget
	reason       structs.Reason
	message      string

	queue      *tenantQueue // nil if not queued
	queueIndex int
	order      time.Duration // sort key among the tenant's jobs
	enqueuedAt time.Duration
}

// nextWaiting returns the index of the first waiting task. The job must have one.
func (j *job) nextWaiting() int {
	for j.tasks[j.next].state != taskWaiting {
		j.next++
	}
	return j.next
}

func (j *job) attemptID(i int) structs.AttemptID {
	return structs.AttemptID{Job: j.spec.ID, Task: i, Number: j.tasks[i].number}
}

// dropWaiting drops the waiting tasks of the job.
func (c *Core) dropWaiting(j *job) {
	c.dequeue(j)
	if j.waiting == 0 {
		return
	}
	j.tenant.queued -= j.waiting
	switch {
	case !j.released:
		j.class.pending -= j.waiting
	case c.opts.Policy != PolicyHawthorn:
		j.class.waiting -= j.waiting
	}
	for i := range j.tasks {
		if j.tasks[i].state == taskWaiting {
			j.tasks[i].state = taskDropped
		}
	}
	j.dropped += j.waiting
	j.waiting = 0
}

// stop ends the job early: waiting tasks are dropped and running ones cancelled.
// The first reason is kept.
func (c *Core) stop(j *job, reason structs.Reason, message string) {
	if j.stopping {
		return
	}
	j.stopping = true
	j.reason, j.message = reason, message
	c.dropWaiting(j)
	for i := range j.tasks {
		if t := &j.tasks[i]; t.live {
			c.emit(CancelAttempt{Attempt: j.attemptID(i), Target: *t.slot.ref})
		}
	}
}

// answerIfDecided answers the job once its outcome is determined.
func (c *Core) answerIfDecided(j *job) {
	if j.answered {
		c.removeIfDone(j)
		return
	}
	switch {
	case j.done == len(j.tasks):
		c.answer(j, structs.OutcomeComplete)
	case !j.stopping:
	case j.maybeStarted == 0:
		c.answer(j, structs.OutcomeNotRun)
	case j.dropped > 0 && j.started > 0:
		c.answer(j, structs.OutcomeFailed)
	case j.live == 0:
		c.answer(j, structs.OutcomeUnknown)
	}
}

// answer emits the job's answer, once per job.
func (c *Core) answer(j *job, outcome structs.Outcome) {
	a := structs.Answer{JobID: j.spec.ID, Outcome: outcome, Reason: j.reason, Message: j.message}
	if outcome == structs.OutcomeComplete {
		a.Reason, a.Message = "", ""
		a.Results = make([]structs.TaskResult, len(j.tasks))
		for i := range j.tasks {
			t := &j.tasks[i]
			a.Results[i] = structs.TaskResult{Task: i, Target: t.slot.ref.TargetID, Output: t.output, RunMS: t.runMS}
		}
	}
	j.answered = true
	c.timers.stop(&j.timer)
	c.emit(JobFinished{Answer: a})
	c.removeIfDone(j)
}

// removeIfDone removes an answered job once none of its attempts holds a slot.
func (c *Core) removeIfDone(j *job) {
	if j.answered && j.live == 0 {
		delete(c.jobs, j.spec.ID)
	}
}

// deadlinePassed answers a job at its deadline, as unknown if undecided.
func (c *Core) deadlinePassed(j *job) {
	reason := structs.ReasonDeadlinePassed
	if !c.leaseHeld && j.maybeStarted == 0 {
		reason = structs.ReasonNoLease
	}
	c.stop(j, reason, "the deadline passed")
	c.answerIfDecided(j)
	if !j.answered {
		c.answer(j, structs.OutcomeUnknown)
	}
}

// attemptLost handles an attempt whose outcome stays unknown: the job cannot
// complete, so the rest of it is stopped.
func (c *Core) attemptLost(j *job, t *task, message string) {
	t.state = taskUnknown
	c.stop(j, structs.ReasonTargetLost, message)
}
