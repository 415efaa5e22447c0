package placement

import (
	"time"

	"hawthornshore.example/placement/queuepolicy"
)

type taskState int

const (
	waiting  taskState = iota
	starting           // placed; its start is not confirmed
	running
	done
)

// job is a job whose home is this coordinator.
type job struct {
	Job
	caller      Caller
	answered    bool // the caller has its answer or has left
	submittedAt time.Duration
	tasks       [][]*task // by step
	remaining   int       // tasks that are not done
	inFlight    int       // tasks that are starting or running
	started     bool      // a task may have started
	begun       bool      // a task has started
	mayHaveRun  bool      // a run was reported as other than rejected
	queued      bool
	offered     bool // the cost order has counted the job
	tried       bool // a scheduling pass has looked for capacity
	rank        queuepolicy.Rank
	view        queuepolicy.Job // as of the last tick
	ending      bool            // no further starts; waits for the runs to end
	successor   *Submit         // a later submission of the ID, admitted after the end
	epoch       int             // of a stored job: number of moves to other homes
	runLimit    int             // of a stored job: highest run number to order

	aliveUntil time.Duration // lost runs may be alive until then
	refusals   refusals

	unservedSince    time.Duration // since then its service has had no usable target; 0: it has one
	unservedReported bool

	storedSuccessor *StoredJobChanged // a stored job with the same ID, adopted after the end
}

// task is one task of a job.
type task struct {
	job        *job
	step       int
	index      int
	state      taskState
	failures   int
	runs       int // number of the last run
	ref        uint64
	placedAt   time.Duration // time of the last placement
	peer       string        // coordinator that owns the target; empty: this one
	token      uint64        // fencing token of that owner; 0: not reported yet
	target     string        // that the last run was on
	offRack    bool          // of a run at another coordinator, as the next ones
	speedClass int           // of its target, as its owner has sent it
	startedAt  time.Duration // when its start was reported; 0: not yet
	waitLimit  time.Duration // until then it may wait for a faster target; 0: it does not wait
	avoid      string        // target that the last run failed on
	mayBeDone  bool          // of a stored job: the last run may count as done
	notBefore  time.Duration
	// trialNotBefore is when a task that may have crashed its targets may be tried again.
	trialNotBefore time.Duration
	losses         []loss // of runs that may have crashed their targets
	trial          bool   // the last run is alone on its target
	convicted      bool   // has crashed its targets; is not started again
}

func (t *task) name() string { return taskName(t.job.ID, t.step, t.index) }

// submit accepts a job. A job that is already active keeps its tasks: the second
// caller replaces the first one, or waits until the runs have ended.
func (c *Core) submit(e Submit) {
	if c.Cancelled(e.Job.ID) {
		c.refuseCancelled(e)
		return
	}
	if old := c.jobs[e.Job.ID]; old != nil {
		c.resubmit(old, e)
		return
	}
	if c.draining {
		c.emit(AnswerJob{
			Caller: e.Caller, JobID: e.Job.ID, Outcome: NotRun,
			Reason: "coordinator is leaving", RetryAfter: retryAfter,
		})
		return
	}
	j := newJob(&e.Job, c.now)
	j.caller = e.Caller
	c.followDocument(j)
	c.jobs[j.ID] = j
	c.callers[j.caller] = j
	c.enqueue(j)
	c.recallLosses(j)
}

func newJob(from *Job, now time.Duration) *job {
	j := &job{Job: *from, submittedAt: now}
	for step := range j.Steps {
		tasks := make([]*task, j.Steps[step].Count)
		for index := range tasks {
			tasks[index] = &task{job: j, step: step, index: index}
		}
		j.tasks = append(j.tasks, tasks)
		j.remaining += len(tasks)
	}
	return j
}

func (c *Core) resubmit(old *job, e Submit) {
	c.logDecision(Decision{Event: "job_resubmitted", Job: old.ID, Age: c.now - old.submittedAt})
	if old.Stored {
		c.emit(AnswerJob{Caller: e.Caller, JobID: old.ID, Outcome: Aborted, Reason: "a stored job has this ID"})
		return
	}
	if old.ending {
		if old.successor != nil {
			c.emit(AnswerJob{Caller: old.successor.Caller, JobID: old.ID, Outcome: Aborted, Reason: "submitted again"})
		}
		old.successor = &e
		return
	}
	c.answerJob(old, Aborted, "submitted again", 0)
	old.caller, old.answered = e.Caller, false
	c.callers[e.Caller] = old
}

func (c *Core) enqueue(j *job) {
	c.scheduleDue = true
	if !j.queued {
		j.queued = true
		c.queue = append(c.queue, j)
		c.offerJob(j)
	}
}

// refusable reports whether a job that is not stored has not run and has no run that
// may start yet. A rejected run was never started and never will be.
func (j *job) refusable() bool {
	return !j.ending && !j.Stored && (!j.started || j.inFlight == 0 && !j.mayHaveRun)
}

// answerJob answers the caller, at most once.
func (c *Core) answerJob(j *job, outcome Outcome, reason string, retry time.Duration) {
	if j.answered {
		return
	}
	j.answered = true
	delete(c.callers, j.caller)
	c.emit(AnswerJob{Caller: j.caller, JobID: j.ID, Outcome: outcome, Reason: reason, RetryAfter: retry})
	c.logDecision(Decision{
		Event: "job_answered", Job: j.ID, Reason: outcome.String() + " " + reason,
		Age: c.now - j.submittedAt, Value: int64(j.remaining),
	})
}

func (c *Core) withdraw(caller Caller, reason string) {
	j := c.callers[caller]
	if j == nil {
		for _, other := range c.jobs {
			if other.successor != nil && other.successor.Caller == caller {
				other.successor = nil
			}
		}
		return
	}
	j.answered = true
	delete(c.callers, caller)
	c.logDecision(Decision{Event: "job_withdrawn", Job: j.ID, Reason: reason, Age: c.now - j.submittedAt})
	c.endJob(j)
}

// Job reports whether a job that is not stored is active here, and whether a
// task may have started. One that waits for the end of earlier runs is active.
func (c *Core) Job(id string) (active, started bool) {
	j := c.jobs[id]
	if j == nil || j.ending && j.successor == nil || j.Stored {
		return false, false
	}
	return true, j.started
}

func (c *Core) gatewayDisconnected(gateway string) {
	for _, id := range sortedKeys(c.jobs) {
		j := c.jobs[id]
		if j == nil {
			continue
		}
		if j.successor != nil && j.successor.Caller.Gateway == gateway {
			j.successor = nil
		}
		if j.caller.Gateway == gateway && !j.answered {
			c.withdraw(j.caller, "link to the gateway lost")
		}
	}
}

// processPaused aborts all jobs that are not stored.
func (c *Core) processPaused() {
	for _, t := range c.targets {
		t.forgetRunStarts()
	}
	for _, id := range sortedKeys(c.jobs) {
		if j := c.jobs[id]; j != nil && !j.ending && !j.Stored {
			c.answerJob(j, Aborted, "coordinator was paused", 0)
			c.endJob(j)
		}
	}
}

// endJob stops the runs of a job and removes it once none is left.
func (c *Core) endJob(j *job) {
	if !j.ending {
		j.ending = true
		c.stopTasks(j)
	}
	c.removeEnded(j)
}

func (c *Core) stopTasks(j *job) {
	for _, tasks := range j.tasks {
		for _, t := range tasks {
			c.stopTask(t)
		}
	}
}

// overdueGrace is how long after its maximum age a job is aborted whatever the
// state of its runs. It is reached only if a run's end is never reported.
const overdueGrace = 10 * time.Second

// expireJobs answers the callers of jobs whose runs are unaccounted for.
func (c *Core) expireJobs() {
	if c.now-c.lastExpiry < time.Second {
		return
	}
	c.lastExpiry = c.now
	for _, id := range sortedKeys(c.jobs) {
		j := c.jobs[id]
		if j == nil || j.ending || j.Stored || c.now-j.submittedAt < abortFactor*j.objective()+overdueGrace {
			continue
		}
		c.logDecision(Decision{Event: "job_overdue", Job: j.ID, Age: c.now - j.submittedAt, Value: int64(j.inFlight)})
		c.answerJob(j, Aborted, "runs unaccounted for", 0)
		c.endJob(j)
	}
}

// removeEnded removes a job that is ending and has no runs, and admits its successor.
// While a lost run may be alive, the job keeps its ID.
func (c *Core) removeEnded(j *job) {
	if !j.ending || j.inFlight > 0 || c.jobs[j.ID] != j {
		return
	}
	if j.aliveUntil > c.now {
		if !c.reserved[j.ID] {
			c.reserved[j.ID] = true
			c.logDecision(Decision{Event: "job_reserved", Job: j.ID, Age: c.now - j.submittedAt, SafeAfter: j.aliveUntil - c.now})
		}
		return
	}
	c.rememberLosses(j)
	delete(c.reserved, j.ID)
	delete(c.jobs, j.ID)
	delete(c.callers, j.caller)
	c.dequeue(j)
	switch {
	case j.storedSuccessor != nil:
		c.storedJobChanged(*j.storedSuccessor)
	case j.successor != nil:
		c.submit(*j.successor)
	}
}

// removeReserved removes the jobs whose lost runs are over.
func (c *Core) removeReserved() {
	for _, id := range sortedKeys(c.reserved) {
		c.removeEnded(c.jobs[id])
	}
}

func (c *Core) stopTask(t *task) {
	if t.state != starting && t.state != running {
		return
	}
	if t.peer != "" {
		c.emit(SendStops{Peer: t.peer, Refs: []uint64{t.ref}})
		return
	}
	if owner, r := c.findRun("", t.ref); r != nil {
		c.stopRun(owner, r)
	}
}

// findRun returns the local run of a home's placement.
func (c *Core) findRun(home string, ref uint64) (*target, *run) {
	for _, t := range c.targets {
		for _, r := range t.runs {
			if r.ref == ref && r.home == home && !r.unknown {
				return t, r
			}
		}
	}
	return nil, nil
}

// placementReported processes a report on a task's run.
func (c *Core) placementReported(report Report) {
	t := c.placements[report.Ref]
	if t == nil {
		return
	}
	j := t.job
	j.mayHaveRun = j.mayHaveRun || report.Kind != RunRejected || report.Loss != nil
	if report.Kind == RunStarted {
		if t.startedAt == 0 {
			t.startedAt = c.now
		}
		t.state, t.target, t.token = running, report.Target, max(t.token, report.Token)
		t.noteAccepted(report.Target)
		j.begun = true
		return
	}
	if report.Kind == RunDone {
		c.noteRemoteDone(t, &report)
	}
	if report.Kind == RunRejected {
		t.noteRefusal(report.Target, c.now)
	}
	if report.Kind != RunDone {
		c.logRunEnded(t, &report)
	}
	if j.Stored {
		c.storedRunEnded(t, &report)
		return
	}
	delete(c.placements, report.Ref)
	j.inFlight--
	t.state, t.peer, t.token, t.avoid = waiting, "", 0, ""
	c.scheduleDue = true
	switch report.Kind {
	case RunDone:
		t.state = done
		j.remaining--
	case RunFailed:
		t.failures++
		t.avoid = report.Target
		if t.failures >= j.MaxAttempts {
			c.answerJob(j, Failed, "task "+t.name()+" has used up its attempts", 0)
			c.endJob(j)
		}
	case RunLost:
		t.notBefore = c.now + report.SafeAfter
		j.aliveUntil = max(j.aliveUntil, t.notBefore)
		t.avoid = report.Target
	case RunRejected, RunStopped:
		t.avoid = report.Target
	}
	c.recordLoss(t, &report)
	switch {
	case j.ending:
		c.removeEnded(j)
	case j.remaining == 0:
		c.answerJob(j, Completed, "", 0)
		c.endJob(j)
	case t.state == waiting:
		c.enqueue(j)
	default:
		c.enqueueNextSteps(j)
	}
}

// logRunEnded logs a run that has ended otherwise than as done, or was not started.
func (c *Core) logRunEnded(t *task, report *Report) {
	d := Decision{Event: "run_ended", Reason: report.Kind.String() + " " + report.Reason}
	if report.Kind == RunRejected {
		d = Decision{Event: "placement_refused", Reason: report.Reason}
	}
	d.Job, d.Task, d.Target, d.Peer = t.job.ID, t.name(), report.Target, t.peer
	d.Age, d.Value, d.SafeAfter = c.now-t.job.submittedAt, int64(t.runs), report.SafeAfter
	c.logDecision(d)
}

// enqueueNextSteps queues a job whose next steps may be ready.
func (c *Core) enqueueNextSteps(j *job) {
	if len(j.Steps) > 1 {
		c.enqueue(j)
	}
}
