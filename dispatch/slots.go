package dispatch

import "hawthornshore.example/structs"

// slot is the slot of an attempt: of a managed target, or on loan from a peer.
type slot struct {
	target *target // nil for a loan
	// ref names the incarnation that the start was sent to. Only that one has a
	// record of the attempt, also after the target restarted.
	ref   *structs.TargetRef
	peer  string // lender of the loan
	epoch int
	index int // position in target.attempts
}

// attemptResult describes the end of an attempt.
type attemptResult struct {
	ran     bool // the target reported a run time
	failed  bool
	runMS   int64
	refused RefusalCause
}

// takeSlot allocates a free slot of a managed target to an attempt.
func (c *Core) takeSlot(t *target, j *job, i int) slot {
	t.used++
	t.attempts = append(t.attempts, attemptRef{job: j, task: i})
	if t.ejected {
		t.probing = true
	}
	c.refreshTarget(t)
	return slot{target: t, epoch: t.epoch, index: len(t.attempts) - 1, ref: t.ref}
}

// releaseSlot ends the current attempt of a task and frees or returns its slot.
func (c *Core) releaseSlot(j *job, t *task, result attemptResult) {
	t.live = false
	j.live--
	c.recordEnd(j, t, result)
	if result.ran && !result.failed && !j.stopping {
		j.class.runtimes.record(result.runMS)
	}
	if t.slot.target == nil {
		c.borrowed--
		c.emit(ReturnSlot{
			Peer: t.slot.peer, TargetID: t.slot.ref.TargetID, Failed: result.failed, RunMS: result.runMS,
			Busy: result.refused == RefusedBusy, Class: j.class.spec.Name,
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
	c.recordResult(tg, j.class, result)
	c.refreshTarget(tg)
	c.removeTargetIfIdle(tg)
}

// recordEnd updates the counters at the end of an attempt and corrects the
// tenant's charge to the measured run time.
func (c *Core) recordEnd(j *job, t *task, result attemptResult) {
	j.class.running--
	j.tenant.running--
	q := j.class.queue(j.tenant)
	q.running--
	switch {
	case result.ran:
		q.charge(float64(result.runMS) - t.charged)
	case result.refused != "":
		q.charge(-t.charged)
	}
	for _, q := range j.tenant.queues {
		q.refresh()
	}
}

// suspectTarget stops new work for the target of an unresponsive attempt until its
// next announcement.
func (c *Core) suspectTarget(t *task) {
	tg := t.slot.target
	if tg != nil && t.slot.epoch == tg.epoch {
		tg.suspect = true
		c.refreshTarget(tg)
	}
}
