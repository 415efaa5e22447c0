package dispatch

import "hawthornshore.example/structs"

// admitJob admits or refuses a new job. A known job ID is ignored: the answer to
// the first submission applies.
func (c *Core) admitJob(spec *structs.Job) {
	if _, exists := c.jobs[spec.ID]; exists {
		return
	}
	j := &job{spec: *spec, deadline: c.sinceBase(spec.Deadline())}
	if reason, message := c.refusalReason(j); reason != "" {
		c.emit(JobFinished{Answer: structs.Answer{
			JobID: spec.ID, Outcome: structs.OutcomeNotRun, Reason: reason, Message: message,
		}})
		return
	}
	j.tasks = make([]task, len(spec.Tasks))
	j.waiting = len(spec.Tasks)
	j.timer.fire = func(c *Core) { c.deadlinePassed(j) }
	c.timers.set(&j.timer, j.deadline)
	c.jobs[spec.ID] = j
	j.class.pending += j.waiting
	j.tenant.queued += j.waiting
	c.emit(JobAdmitted{JobID: spec.ID})
}

// refusalReason returns why the job cannot be admitted, or an empty reason.
func (c *Core) refusalReason(j *job) (structs.Reason, string) {
	if c.draining {
		return structs.ReasonDraining, "the instance is draining"
	}
	if n := len(j.spec.Tasks); n == 0 || n > structs.MaxTasks {
		return structs.ReasonBadTaskCount, "the number of tasks is out of range"
	}
	j.class = c.classes[j.spec.Class]
	if j.class == nil || j.class.removed {
		return structs.ReasonUnknownClass, "the class is not configured"
	}
	j.tenant = c.tenants[j.spec.Tenant]
	if j.tenant == nil || j.tenant.removed {
		return structs.ReasonUnknownTenant, "the tenant is not configured"
	}
	if j.deadline <= c.now {
		return structs.ReasonDeadlinePassed, "the deadline has passed"
	}
	if !c.leaseHeld {
		return structs.ReasonNoLease, "the instance holds no lease"
	}
	j.class.recordOfferedLoad(j.spec.Tasks)
	if j.class.queued()+len(j.spec.Tasks) > j.class.maxQueue() {
		return structs.ReasonQueueFull, "the queue of the class is full"
	}
	if !c.anyTarget() {
		if c.hadTargetRecently() {
			return "", ""
		}
		return structs.ReasonNoCapacity, "no target is usable"
	}
	for i := range j.spec.Tasks {
		if !c.canFit(j.spec.Class, &j.spec.Tasks[i]) {
			return structs.ReasonNeverFits, "a task fits no target"
		}
	}
	if c.opts.Policy != PolicyHawthorn {
		return "", ""
	}
	if total, reason := c.predict(j); c.now+total > j.deadline {
		return reason, "the predicted wait and run time exceed the deadline"
	}
	return "", ""
}

// noTargetGrace is how long jobs are still admitted after the last target was
// usable. When a target moves to another managing instance, peers receive that
// instance's capacity with its next heartbeat; jobs must not be refused meanwhile.
const noTargetGrace = 2 * structs.LinkHeartbeatInterval

// hadTargetRecently reports whether a target was usable within noTargetGrace. The
// early-binding policies need a target on release and get no grace.
func (c *Core) hadTargetRecently() bool {
	recent := c.lastTargetUsable > 0 && c.now-c.lastTargetUsable <= noTargetGrace
	return recent && c.opts.Policy == PolicyHawthorn
}

// anyTarget reports whether this instance or a peer has a usable target.
func (c *Core) anyTarget() bool {
	for _, p := range c.peers {
		if p.total > 0 || p.free > 0 {
			return true
		}
	}
	return c.fleet.total > 0
}

// canFit reports whether any target of this instance or of a peer is large enough
// for the task.
func (c *Core) canFit(class string, t *structs.Task) bool {
	if c.fleet.canFit(class, t) {
		return true
	}
	for _, p := range c.peers {
		if p.total > 0 && fits(p.maxCores, p.maxMB, t) {
			return true
		}
	}
	return false
}

func (c *Core) releaseJob(id structs.JobID) {
	j := c.jobs[id]
	if j == nil || j.released || j.stopping {
		return
	}
	j.released = true
	j.class.pending -= j.waiting
	if c.opts.Policy == PolicyHawthorn {
		j.enqueuedAt = c.now
		c.setOrder(j)
		c.enqueue(j)
		return
	}
	j.class.waiting += j.waiting
	for i := range j.tasks {
		c.bind(j, i)
	}
}

func (c *Core) cancelJob(id structs.JobID) {
	j := c.jobs[id]
	if j == nil || j.answered {
		return
	}
	c.stop(j, structs.ReasonCancelled, "the caller cancelled the job")
	c.answerIfDecided(j)
}
