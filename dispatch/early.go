package dispatch

// The early-binding policies choose a task's target when the job is released;
// the task then waits for a slot of that target, whatever becomes free
// elsewhere. Classes, tenants and predictions play no part.

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
	c.touch(t)
}

// load returns the attempts and the waiting tasks of a target per slot.
func (t *target) load() float64 {
	return float64(t.used+len(t.bound)) / float64(max(1, t.ann.Slots))
}

// randomTarget returns a random usable target that fits the task, or nil.
func (c *Core) randomTarget(j *job, i int) *target {
	const tries = 8
	for range tries {
		if len(c.fleet.members) == 0 {
			return nil
		}
		t := c.fleet.members[c.rng.IntN(len(c.fleet.members))]
		if t.pool.fits(j.spec.Class, &j.spec.Tasks[i]) {
			return t
		}
	}
	return nil
}

// touch notes that a target may be able to start a bound task.
func (c *Core) touch(t *target) {
	if !t.touched {
		t.touched = true
		c.touched = append(c.touched, t)
	}
}

// startBound starts bound tasks on targets whose state changed.
func (c *Core) startBound() {
	if !c.leaseHeld {
		return
	}
	for len(c.touched) > 0 {
		t := c.touched[len(c.touched)-1]
		c.touched = c.touched[:len(c.touched)-1]
		t.touched = false
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

// rebind moves the bound tasks of an unusable target to others.
func (c *Core) rebind(t *target) {
	if t.suspect && !t.expired {
		return // it may be back with its next announcement
	}
	c.unbound = append(c.unbound, t.bound...)
	t.bound = nil
}

// bindUnbound gives tasks without a target another try.
func (c *Core) bindUnbound() {
	tasks := c.unbound
	c.unbound = nil
	for _, r := range tasks {
		if r.job.tasks[r.task].state == taskWaiting {
			c.bind(r.job, r.task)
		}
	}
}
