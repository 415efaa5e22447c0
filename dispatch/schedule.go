package dispatch

// enqueue makes the waiting tasks of a released job available for starts.
func (c *Core) enqueue(j *job) {
	j.queued = true
	j.class.waiting += j.waiting
	j.class.queue = append(j.class.queue, j)
}

// dequeue takes a job out of its class's queue.
func (c *Core) dequeue(j *job) {
	if !j.queued {
		return
	}
	j.queued = false
	j.class.waiting -= j.waiting
}

// retry offers a task again whose last attempt is proven not to have started.
func (c *Core) retry(j *job, i int) {
	j.next = min(j.next, i)
	if j.queued {
		j.class.waiting++
		return
	}
	c.enqueue(j)
}

// startTasks starts waiting tasks while there are free slots.
func (c *Core) startTasks() {
	if !c.leaseHeld {
		return
	}
	for _, cl := range c.ranked {
		for len(cl.queue) > 0 && c.fleet.free > 0 {
			j := cl.queue[0]
			if !j.queued || !c.startNext(j) {
				if j.queued {
					break
				}
				cl.queue = cl.queue[1:]
			}
		}
	}
}

// startNext starts the first waiting task of a job. It reports false if no
// target has a slot for it.
func (c *Core) startNext(j *job) bool {
	i := j.nextWaiting()
	tg := c.fleet.pick(j.class.spec.Name, &j.spec.Tasks[i], c.rng)
	if tg == nil {
		return false
	}
	c.start(j, i, c.takeSlot(tg, j, i))
	return true
}

// start sends the next attempt of a waiting task to a slot.
func (c *Core) start(j *job, i int, s slot) {
	t := &j.tasks[i]
	t.state, t.live, t.accepted = taskSent, true, false
	t.number++
	t.slot, t.sentAt = s, c.now
	j.waiting--
	j.class.waiting--
	j.maybe++
	j.live++
	j.class.running++
	j.tenant.running++
	if j.waiting == 0 {
		c.dequeue(j)
	}
	c.emit(StartAttempt{
		Attempt:  j.attemptID(i),
		Target:   s.ref(),
		Task:     j.spec.Tasks[i],
		Class:    j.class.spec.Name,
		Deadline: j.spec.Deadline(),
	})
}
