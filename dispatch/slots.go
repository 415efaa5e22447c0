package dispatch

import "hawthornshore.example/structs"

// slot is the place where an attempt runs: on a managed target, or on a loan.
type slot struct {
	target *target // nil for a loan
	// ref names the incarnation that got the start. Only that one can say
	// whether the attempt began, also after the target restarted.
	ref   *structs.TargetRef
	peer  string // lender of the loan
	epoch int
	index int // position in target.attempts
}

// ending says how an attempt gave up its slot.
type ending struct {
	ran     bool // the target reported a run time
	failed  bool
	runMS   int64
	refused RefusalCause
}

// takeSlot binds an attempt to a free slot of a managed target.
func (c *Core) takeSlot(t *target, j *job, i int) slot {
	t.used++
	t.attempts = append(t.attempts, attemptRef{job: j, task: i})
	if t.ejected {
		t.probing = true
	}
	c.refresh(t)
	return slot{target: t, epoch: t.epoch, index: len(t.attempts) - 1, ref: t.ref}
}

// releaseSlot ends the current attempt of a task.
func (c *Core) releaseSlot(j *job, t *task, e ending) {
	t.live = false
	j.live--
	c.unaccount(j, t, e)
	if e.ran && !e.failed && !j.stopping {
		j.class.runtimes.record(e.runMS)
	}
	if t.slot.target == nil {
		c.borrowed--
		c.emit(ReturnSlot{
			Peer: t.slot.peer, TargetID: t.slot.ref.TargetID, Failed: e.failed, RunMS: e.runMS,
			Busy: e.refused == RefusedBusy, Class: j.class.spec.Name,
		})
		return
	}
	j.class.usage--
	tg := t.slot.target
	if t.slot.epoch != tg.epoch {
		return
	}
	last := len(tg.attempts) - 1
	moved := tg.attempts[last]
	tg.attempts[t.slot.index] = moved
	moved.job.tasks[moved.task].slot.index = t.slot.index
	tg.attempts[last] = attemptRef{}
	tg.attempts = tg.attempts[:last]
	tg.used--
	c.observe(tg, j.class, e)
	c.refresh(tg)
	c.dropTarget(tg)
}

// unaccount books the end of an attempt and corrects the tenant's charge by
// what it really used.
func (c *Core) unaccount(j *job, t *task, e ending) {
	j.class.running--
	j.tenant.running--
	q := j.class.queue(j.tenant)
	q.running--
	switch {
	case e.ran:
		q.charge(float64(e.runMS) - t.charged)
	case e.refused != "":
		q.charge(-t.charged)
	}
	for _, q := range j.tenant.queues {
		q.refresh()
	}
}

// slotSilent keeps new work from a target that does not answer until its next
// announcement.
func (c *Core) slotSilent(t *task) {
	tg := t.slot.target
	if tg != nil && t.slot.epoch == tg.epoch {
		tg.suspect = true
		c.refresh(tg)
	}
}
