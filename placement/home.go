package placement

import (
	"time"
)

type taskState int

const (
	waiting taskState = iota
	asked             // placed, not known to have started
	running
	done
)

// job is a job whose home this coordinator is.
type job struct {
	Job
	caller    Caller
	answered  bool // the caller has its answer or has left
	arrived   time.Duration
	tasks     [][]*task // by step
	left      int       // tasks that are not done
	inFlight  int       // tasks that are asked or running
	started   bool      // a task may have started
	queued    bool
	ending    bool    // no further starts; waits for the runs to end
	successor *Submit // a second submission of the ID, after the end
	epoch     int     // of a stored job: number of moves to other homes

	storedNext *StoredJobChanged // a stored job with the same ID, after the end
}

// task is one task of a job.
type task struct {
	job       *job
	step      int
	index     int
	state     taskState
	failures  int
	runs      int // number of the last run
	ref       uint64
	peer      string // coordinator that owns the target; empty: this one
	token     uint64 // of that ownership; 0: not told yet
	target    string // that the last run was on
	avoid     string // target that the last run failed on
	unsure    bool   // of a stored job: the last run may count as done
	notBefore time.Duration
}

func (t *task) name() string { return taskName(t.job.ID, t.step, t.index) }

// submit takes a job. An ID that is active keeps its tasks: the second caller
// takes the place of the first one, or waits until the runs have ended.
func (c *Core) submit(e Submit) {
	if old := c.jobs[e.Job.ID]; old != nil {
		c.resubmitted(old, e)
		return
	}
	if c.leaving {
		c.emit(AnswerJob{
			Caller: e.Caller, JobID: e.Job.ID, Outcome: NotRun,
			Reason: "coordinator is leaving", RetryAfter: retryAfter,
		})
		return
	}
	j := newJob(&e.Job, c.now)
	j.caller = e.Caller
	c.jobs[j.ID] = j
	c.callers[j.caller] = j
	c.enqueue(j)
}

func newJob(from *Job, now time.Duration) *job {
	j := &job{Job: *from, arrived: now}
	for step := range j.Steps {
		tasks := make([]*task, j.Steps[step].Count)
		for index := range tasks {
			tasks[index] = &task{job: j, step: step, index: index}
		}
		j.tasks = append(j.tasks, tasks)
		j.left += len(tasks)
	}
	return j
}

func (c *Core) resubmitted(old *job, e Submit) {
	c.decide(Decision{Event: "job_resubmitted", Job: old.ID, Age: c.now - old.arrived})
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
	c.answer(old, Aborted, "submitted again", 0)
	old.caller, old.answered = e.Caller, false
	c.callers[e.Caller] = old
}

func (c *Core) enqueue(j *job) {
	c.scheduleDue = true
	if !j.queued {
		j.queued = true
		c.queue = append(c.queue, j)
	}
}

// answer answers the caller, once.
func (c *Core) answer(j *job, outcome Outcome, reason string, retry time.Duration) {
	if j.answered {
		return
	}
	j.answered = true
	delete(c.callers, j.caller)
	c.emit(AnswerJob{Caller: j.caller, JobID: j.ID, Outcome: outcome, Reason: reason, RetryAfter: retry})
	c.decide(Decision{
		Event: "job_answered", Job: j.ID, Reason: outcome.String() + " " + reason,
		Age: c.now - j.arrived, Value: int64(j.left),
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
	c.decide(Decision{Event: "job_withdrawn", Job: j.ID, Reason: reason, Age: c.now - j.arrived})
	c.end(j)
}

// Job reports whether a job that is not stored is active here, and whether a
// task may have started.
func (c *Core) Job(id string) (active, started bool) {
	j := c.jobs[id]
	if j == nil || j.ending || j.Stored {
		return false, false
	}
	return true, j.started
}

func (c *Core) cancel(id string) {
	if j := c.jobs[id]; j != nil && !j.ending && !j.Stored {
		c.answer(j, Cancelled, "cancelled", 0)
		c.end(j)
	}
}

func (c *Core) gatewayLost(gateway string) {
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

// interrupted gives up all jobs that are not stored.
func (c *Core) interrupted() {
	for _, id := range sortedKeys(c.jobs) {
		if j := c.jobs[id]; j != nil && !j.ending && !j.Stored {
			c.answer(j, Aborted, "coordinator stood still", 0)
			c.end(j)
		}
	}
}

// end stops what runs of a job and forgets it once nothing does.
func (c *Core) end(j *job) {
	if !j.ending {
		j.ending = true
		c.stopTasks(j)
	}
	c.forgetEnded(j)
}

func (c *Core) stopTasks(j *job) {
	for _, tasks := range j.tasks {
		for _, t := range tasks {
			c.stopTask(t)
		}
	}
}

// overdue is how long after its last useful moment a job is given up whatever
// has become of its runs. It is reached only if a run's end is never told.
const overdue = 10 * time.Second

// expireJobs answers the callers of jobs whose runs are unaccounted for.
func (c *Core) expireJobs() {
	if c.now-c.lastExpiry < time.Second {
		return
	}
	c.lastExpiry = c.now
	for _, id := range sortedKeys(c.jobs) {
		j := c.jobs[id]
		if j == nil || j.ending || j.Stored || c.now-j.arrived < lateFactor*j.objective()+overdue {
			continue
		}
		c.decide(Decision{Event: "job_overdue", Job: j.ID, Age: c.now - j.arrived, Value: int64(j.inFlight)})
		c.answer(j, Aborted, "runs unaccounted for", 0)
		c.end(j)
	}
}

// forgetEnded removes a job that is ending and has no runs, and admits its successor.
func (c *Core) forgetEnded(j *job) {
	if !j.ending || j.inFlight > 0 || c.jobs[j.ID] != j {
		return
	}
	delete(c.jobs, j.ID)
	delete(c.callers, j.caller)
	c.dequeue(j)
	switch {
	case j.storedNext != nil:
		c.storedChanged(*j.storedNext)
	case j.successor != nil:
		c.submit(*j.successor)
	}
}

func (c *Core) stopTask(t *task) {
	if t.state != asked && t.state != running {
		return
	}
	if t.peer != "" {
		c.emit(SendStops{Peer: t.peer, Refs: []uint64{t.ref}})
		return
	}
	if owner, r := c.findRun("", t.ref); r != nil {
		c.stop(owner, r)
	}
}

// findRun returns the run of a home's placement here.
func (c *Core) findRun(home string, ref uint64) (*target, *run) {
	for _, t := range c.targets {
		for _, r := range t.runs {
			if r.ref == ref && r.home == home && !r.stranger {
				return t, r
			}
		}
	}
	return nil, nil
}

// placementReported takes what became of a task's run.
func (c *Core) placementReported(report Report) {
	t := c.placed[report.Ref]
	if t == nil {
		return
	}
	j := t.job
	if report.Kind == RunStarted {
		t.state, t.target, t.token = running, report.Target, max(t.token, report.Token)
		return
	}
	if report.Kind != RunDone {
		c.decide(Decision{
			Event: "run_ended", Job: j.ID, Task: t.name(), Target: report.Target, Peer: t.peer,
			Reason: report.Kind.String() + " " + report.Reason, Age: c.now - j.arrived, Value: int64(t.runs),
		})
	}
	if j.Stored {
		c.storedRunEnded(t, &report)
		return
	}
	delete(c.placed, report.Ref)
	j.inFlight--
	t.state, t.peer, t.token, t.avoid = waiting, "", 0, ""
	c.scheduleDue = true
	switch report.Kind {
	case RunDone:
		t.state = done
		j.left--
	case RunFailed:
		t.failures++
		t.avoid = report.Target
		if t.failures >= j.MaxAttempts {
			c.answer(j, Failed, "task "+t.name()+" has used up its attempts", 0)
			c.end(j)
		}
	case RunLost:
		t.notBefore = c.now + report.SafeAfter
		t.avoid = report.Target
	case RunRejected, RunStopped:
		t.avoid = report.Target
	}
	switch {
	case j.ending:
		c.forgetEnded(j)
	case j.left == 0:
		c.answer(j, Completed, "", 0)
		c.end(j)
	case t.state == waiting:
		c.enqueue(j)
	default:
		c.unlock(j)
	}
}

// unlock queues a job whose next steps may begin now.
func (c *Core) unlock(j *job) {
	if len(j.Steps) > 1 {
		c.enqueue(j)
	}
}
