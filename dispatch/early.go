package dispatch

// The early-binding policies choose a task's target when the job is released;
// the task then waits for a slot of that target, even if others are free. They
// ignore classes, tenants and predictions.

// bind chooses a target for a waiting task and appends it to its queue.
func (c *Core) bind(j *job, i int) {
	t := c.randomTarget(j, i)
	if t == nil {
		c.unbound = append(c.unbound, attemptRef{job: j, task: i})
		return
	}
	if c.opts.Policy == PolicyTwoChoices {
		if other := c.randomTarget(j, i); other != nil && other.load() < t.load() {
			t = other
		}
	}
	t.bound = append(t.bound, attemptRef{job: j, task: i})
	c.markDirty(t)
}

// load returns the running and bound tasks of a target per slot.
func (t *target) load() float64 {
	return float64(t.used+len(t.bound)) / float64(max(1, t.ann.Slots))
}

// randomTarget returns a random usable target that fits the task, or nil.
func (c *Core) randomTarget(j *job, i int) *target {
	const tries = 8
	for range tries {
		if len(c.fleet.usable) == 0 {
			return nil
		}
		t := c.fleet.usable[c.rng.IntN(len(c.fleet.usable))]
		if t.pool.fits(j.spec.Class, &j.spec.Tasks[i]) {
			return t
		}
	}
	return nil
}

// markDirty schedules a check for bound tasks that the target can start.
func (c *Core) markDirty(t *target) {
	if !t.dirty {
		t.dirty = true
		c.dirtyTargets = append(c.dirtyTargets, t)
	}
}

// startBound starts bound tasks on dirty targets.
func (c *Core) startBound() {
	if !c.leaseHeld {
		return
	}
	for len(c.dirtyTargets) > 0 {
		t := c.dirtyTargets[len(c.dirtyTargets)-1]
		c.dirtyTargets = c.dirtyTargets[:len(c.dirtyTargets)-1]
		t.dirty = false
		if !t.usable() {
			c.rebind(t)
			continue
		}
		for t.free > 0 && len(t.bound) > 0 {
			r := t.bound[0]
			t.bound = t.bound[1:]
			if r.job.tasks[r.task].state == taskWaiting {
				r.job.class.usage++
				c.start(r.job, r.task, c.takeSlot(t, r.job, r.task))
			}
		}
	}
}

// rebind unbinds the tasks of an unusable target.
func (c *Core) rebind(t *target) {
	if t.suspect && !t.expired {
		return // the next announcement may clear the suspicion
	}
	c.unbound = append(c.unbound, t.bound...)
	t.bound = nil
}

// bindUnbound tries again to bind the tasks without a target.
func (c *Core) bindUnbound() {
	tasks := c.unbound
	c.unbound = nil
	for _, r := range tasks {
		if r.job.tasks[r.task].state == taskWaiting {
			c.bind(r.job, r.task)
		}
	}
}
