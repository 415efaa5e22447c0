package placement

import "time"

const (
	// maxOrderDelay bounds how late a target carries an order out that it has not
	// answered.
	maxOrderDelay = 12 * time.Second
	// fenceInterval is the interval between the polls of a lost target. A next boot
	// accepts late starts until the first of them arrives.
	fenceInterval = 50 * time.Millisecond
	// idleFenceInterval is the interval after a response: the boot that sent it refuses
	// the late starts.
	idleFenceInterval = 200 * time.Millisecond
)

// fence keeps a start without a response, whose task may run elsewhere by now, from
// being carried out by a later boot of its target. Only a boot that was polled under a
// newer token refuses that start. So a target that does not respond, or that another
// coordinator may own, is polled until the start can no longer arrive.
type fence struct {
	target TargetRef
	token  uint64 // newer than those of the starts, older than that of a next owner
	until  time.Duration
	pollAt time.Duration // of the next poll
}

// awaitLateStart remembers that the start of a run may arrive late. Until it cannot any
// more, the target is polled even if it is idle, so that the end of its boot is noticed.
func (t *target) awaitLateStart(r *run) {
	t.lateStartUntil = max(t.lateStartUntil, r.orderedAt+maxOrderDelay)
}

// fenceTarget installs the fence of a target if a start may arrive there late.
func (c *Core) fenceTarget(t *target) {
	if t.lateStartUntil > c.now {
		c.fences[t.ID] = &fence{target: t.ref(), token: t.token + 1, until: t.lateStartUntil, pollAt: c.now + fenceInterval}
	}
}

// fenceDropped installs the fence of a target that is dropped. Starts that are in
// flight may arrive late, too.
func (c *Core) fenceDropped(t *target) {
	for _, r := range t.runs {
		if !r.confirmed {
			t.awaitLateStart(r)
		}
	}
	c.fenceTarget(t)
	if f := c.fences[t.ID]; f != nil {
		c.logDecision(Decision{Event: "late_start_awaited", Target: t.ID, BootUnixMS: t.BootUnixMS, SafeAfter: f.until - c.now})
	}
}

// removeFence removes the fence of a target that has been polled under a newer token.
func (c *Core) removeFence(t *target) {
	if f := c.fences[t.ID]; f != nil {
		t.lateStartUntil = max(t.lateStartUntil, f.until)
		delete(c.fences, t.ID)
	}
}

// pollFences sends the polls that are due. It does not wait for responses: a target may
// come up right after a poll that it does not get.
func (c *Core) pollFences() {
	for _, id := range sortedKeys(c.fences) {
		f := c.fences[id]
		if c.now >= f.until {
			delete(c.fences, id)
			continue
		}
		if c.now < f.pollAt {
			continue
		}
		f.pollAt = c.now + fenceInterval
		order := c.newOrder(&order{kind: fencePollOrder, fence: f})
		c.emit(PollOrder{Order: order, Target: f.target, Token: f.token, Timeout: orderTimeout})
	}
}

func (c *Core) fencePolled(f *fence, result Result) {
	switch {
	case c.fences[f.target.ID] != f:
	case result == OtherBoot: // another target has the address
		delete(c.fences, f.target.ID)
	case result == OK || result == Fenced:
		f.pollAt = c.now + idleFenceInterval
	}
}
