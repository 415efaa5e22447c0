package dispatch

import (
	"container/heap"
	"time"
)

// enqueue makes the waiting tasks of a released job available for starts.
func (c *Core) enqueue(j *job) {
	q := j.class.queue(j.tenant)
	j.queue = q
	heap.Push(&q.jobs, j)
	q.waiting += j.waiting
	j.class.waiting += j.waiting
	q.refresh()
}

// dequeue removes a job from its tenant's queue.
func (c *Core) dequeue(j *job) {
	q := j.queue
	if q == nil {
		return
	}
	j.queue = nil
	heap.Remove(&q.jobs, j.queueIndex)
	q.waiting -= j.waiting
	j.class.waiting -= j.waiting
	if j.class.current == j {
		j.class.current = nil
	}
	q.refresh()
}

// retry makes a task available again whose last attempt is proven not started.
func (c *Core) retry(j *job, i int) {
	j.next = min(j.next, i)
	if c.opts.Policy != PolicyHawthorn {
		j.class.waiting++
		c.bind(j, i)
		return
	}
	if j.queue != nil {
		j.queue.waiting++
		j.class.waiting++
		return
	}
	if !j.deferred {
		c.enqueue(j)
	}
}

// deferJob dequeues a job until the retry budget allows its next start.
func (c *Core) deferJob(j *job) {
	c.dequeue(j)
	j.deferred = true
	j.class.deferred = append(j.class.deferred, j)
}

// resumeDeferred enqueues the deferred jobs if the retry budget allows a start.
func (c *Core) resumeDeferred(cl *class) {
	if len(cl.deferred) == 0 || !c.mayRetry(cl) {
		return
	}
	for _, j := range cl.deferred {
		j.deferred = false
		if j.waiting > 0 && !j.stopping {
			c.enqueue(j)
		}
	}
	clear(cl.deferred)
	cl.deferred = cl.deferred[:0]
}

// startTasks starts waiting tasks, and lends slots to peers, while slots are free.
func (c *Core) startTasks() {
	if c.opts.Policy != PolicyHawthorn {
		c.startBound()
		return
	}
	for _, cl := range c.ranked {
		if len(cl.heldLoans) > 0 && c.leaseHeld {
			c.startOnHeldLoans(cl)
		}
	}
	for c.fleet.free > 0 {
		cl := c.nextClass()
		if cl == nil {
			break
		}
		c.serve(cl)
	}
	c.saturated = false
	for _, cl := range c.ranked {
		cl.blocked = false
		c.saturated = c.saturated || len(cl.active) > 0
	}
	c.answerDueRequests()
	if c.saturated {
		c.borrow()
	}
}

// serve allocates the next free slot to the oldest work of a class: a job of this
// instance or a request of a peer.
func (c *Core) serve(cl *class) {
	var j *job
	if c.leaseHeld {
		j = cl.nextJob()
	}
	if len(cl.incomingRequests) > 0 && (j == nil || cl.incomingRequests[0].waitingSince < j.enqueuedAt) {
		if !c.lend(cl, cl.incomingRequests[0]) {
			cl.blocked = true
		}
		return
	}
	if j == nil || !c.startNext(j) {
		cl.blocked = true
	}
}

// startNext starts the first waiting task of a queued job on a managed target.
// It returns false if no target has a slot for it.
func (c *Core) startNext(j *job) bool {
	i := j.nextWaiting()
	if !c.mayStart(j, i) {
		return true
	}
	tg := c.fleet.pick(j.class.spec.Name, &j.spec.Tasks[i], c.hasWaited(j.class, j.enqueuedAt), c.rng)
	if tg == nil {
		return false
	}
	j.class.usage++
	c.start(j, i, c.takeSlot(tg, j, i))
	return true
}

// hasWaited reports whether work has waited for the median run time of its class,
// so that a slow target serves it sooner than further waiting.
func (c *Core) hasWaited(cl *class, since time.Duration) bool {
	return c.now-since >= time.Duration(cl.runtimes.medianMS()*float64(time.Millisecond))
}

// mayStart reports whether a task may start, and defers the job if it may not.
func (c *Core) mayStart(j *job, i int) bool {
	if j.tasks[i].number > 0 && !c.mayRetry(j.class) {
		c.deferJob(j)
		return false
	}
	return true
}

// mayRetry reports whether the retry budget allows a retry. A draining instance is
// exempt: it admits no jobs, so its retries cannot add to an overload, and it has
// hardly any new starts for the budget to be a fraction of.
func (c *Core) mayRetry(cl *class) bool { return c.draining || cl.budget.allows(c.now) }

// start starts the next attempt of a waiting task on a slot.
func (c *Core) start(j *job, i int, s slot) {
	t := &j.tasks[i]
	if t.number > 0 {
		j.class.budget.recordRetry(c.now)
	}
	t.state, t.live, t.accepted = taskSent, true, false
	t.number++
	t.slot = s
	j.waiting--
	j.maybeStarted++
	j.live++
	c.recordStart(j, i)
	c.emit(StartAttempt{
		Attempt:  j.attemptID(i),
		Target:   *s.ref,
		Task:     j.spec.Tasks[i],
		Class:    j.class.spec.Name,
		Deadline: j.spec.Deadline(),
	})
}

// recordStart updates the counters of the job's class, tenant and queue.
func (c *Core) recordStart(j *job, i int) {
	cl, t := j.class, j.tenant
	cl.budget.recordStart(c.now)
	cl.waiting--
	cl.running++
	t.queued--
	t.running++
	q := cl.queue(t)
	q.running++
	if j.queue != nil {
		q.waiting--
		cl.vclock = max(cl.vclock, q.vtime)
	}
	j.tasks[i].charged = cl.runtimes.taskMS(j.spec.Tasks[i].DeclaredMS)
	q.charge(j.tasks[i].charged)
	if j.waiting == 0 {
		c.dequeue(j)
	} else if j.queue != nil {
		cl.current = j
	}
	if t.atQuota() {
		for _, other := range t.queues {
			other.refresh()
		}
	}
}
