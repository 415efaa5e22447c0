package dispatch

import "hawthornshore.example/structs"

// admitJob decides on a new job. An ID that the core already holds is ignored:
// the first submission's answer stands.
func (c *Core) admitJob(spec *structs.Job) {
	if _, exists := c.jobs[spec.ID]; exists {
		return
	}
	j := &job{spec: *spec, deadline: c.since(spec.Deadline())}
	if reason, message := c.refusal(j); reason != "" {
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
	c.emit(JobAdmitted{JobID: spec.ID})
}

// refusal returns why the job cannot be admitted, or an empty reason.
func (c *Core) refusal(j *job) (structs.Reason, string) {
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
	if c.fleet.total == 0 && len(c.fleet.targets) == 0 {
		return structs.ReasonNoCapacity, "no target is known"
	}
	for i := range j.spec.Tasks {
		if !c.fleet.canFit(j.spec.Class, &j.spec.Tasks[i]) {
			return structs.ReasonNeverFits, "a task fits no target"
		}
	}
	if j.class.waiting+len(j.spec.Tasks) > j.class.maxQueue() {
		return structs.ReasonQueueFull, "the queue of the class is full"
	}
	return "", ""
}

func (c *Core) releaseJob(id structs.JobID) {
	j := c.jobs[id]
	if j == nil || j.released || j.stopping {
		return
	}
	j.released = true
	c.enqueue(j)
}

func (c *Core) cancelJob(id structs.JobID) {
	j := c.jobs[id]
	if j == nil || j.answered {
		return
	}
	c.stop(j, structs.ReasonCancelled, "the caller cancelled the job")
	c.settle(j)
}
