package dispatch

// ending says how an attempt gave up its slot.
type ending struct {
	ran     bool
	failed  bool
	runMS   int64
	refused RefusalCause
}

// takeSlot binds an attempt to a free slot of a managed target.
func (c *Core) takeSlot(t *target, j *job, i int) slot {
	t.used++
	t.attempts = append(t.attempts, attemptRef{job: j, task: i})
	c.fleet.refresh(t)
	return slot{target: t, epoch: t.epoch, index: len(t.attempts) - 1, targetID: t.ref.TargetID}
}

// releaseSlot ends the current attempt of a task.
func (c *Core) releaseSlot(j *job, t *task, e ending) {
	t.live = false
	j.live--
	j.class.running--
	j.tenant.running--
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
	if e.refused != "" && e.refused != RefusedTombstone {
		tg.suspect = true
	}
	c.fleet.refresh(tg)
	c.dropTarget(tg)
}

// slotSilent keeps new work from a target that does not answer until its next
// announcement.
func (c *Core) slotSilent(t *task) {
	if tg := t.slot.target; t.slot.epoch == tg.epoch {
		tg.suspect = true
		c.fleet.refresh(tg)
	}
}
