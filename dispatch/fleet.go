package dispatch

import (
	"math/rand/v2"

	"hawthornshore.example/structs"
)

// fleet is the table of the targets that this instance manages.
type fleet struct {
	targets map[string]*target
	pools   []*pool
	byKey   map[poolKey]*pool
	usable  []*target
	ejected []*target
	total   int // slots of usable targets
	free    int // free slots, including those for probes
	// failureRate is the smoothed failure rate of all runs, 0 to 1.
	failureRate float64
}

func (f *fleet) init() {
	f.targets = make(map[string]*target)
	f.byKey = make(map[poolKey]*pool)
}

func (f *fleet) poolFor(a *structs.Announcement) *pool {
	key := keyOf(a)
	p := f.byKey[key]
	if p == nil {
		p = &pool{key: key, classes: a.Classes}
		f.byKey[key] = p
		f.pools = append(f.pools, p)
	}
	return p
}

// refresh updates the totals and the target's bucket after a change of the target.
func (f *fleet) refresh(t *target) {
	total, free, tier := 0, 0, tierNormal
	switch {
	case t.usable():
		total = t.ann.Slots
		free = max(0, total-t.used-len(t.loans)-t.foreign)
		if t.slow {
			tier = tierSlow
		}
	case t.ready() && t.probeDue && !t.probing && t.used+len(t.loans) < t.ann.Slots:
		free, tier = 1, tierProbe
	}
	f.updateUsable(t, total > 0)
	f.total += total - t.countedSlots
	f.free += free - t.free
	t.countedSlots, t.free = total, free
	t.pool.setBucket(t, tier, free)
}

// updateUsable adds the target to the usable ones or removes it.
func (f *fleet) updateUsable(t *target, usable bool) {
	if usable == (t.usableIndex > 0) {
		return
	}
	if usable {
		f.usable = append(f.usable, t)
		t.usableIndex = len(f.usable)
		return
	}
	last := f.usable[len(f.usable)-1]
	f.usable[t.usableIndex-1] = last
	last.usableIndex = t.usableIndex
	f.usable = f.usable[:len(f.usable)-1]
	t.usableIndex = 0
}

// refreshTarget refreshes a target and marks it dirty for early-binding policies.
func (c *Core) refreshTarget(t *target) {
	c.fleet.refresh(t)
	if c.opts.Policy != PolicyHawthorn {
		c.markDirty(t)
	}
}

// pick returns a target with a free slot for the task, or nil.
// Slow targets come last, and only for work that has waited.
func (f *fleet) pick(class string, task *structs.Task, waited bool, rng *rand.Rand) *target {
	tiers := tierSlow
	if waited {
		tiers = tierCount
	}
	for tier := range tiers {
		for _, p := range f.pools {
			if !p.fits(class, task) {
				continue
			}
			if t := p.pick(tier, rng); t != nil {
				return t
			}
		}
	}
	return nil
}

// canFit reports whether any managed target accepts the class and fits the task.
func (f *fleet) canFit(class string, task *structs.Task) bool {
	for _, p := range f.pools {
		if p.managed > 0 && p.fits(class, task) {
			return true
		}
	}
	return false
}

func (c *Core) targetAnnounced(a *structs.Announcement) {
	t := c.fleet.targets[a.TargetID]
	if t == nil {
		t = &target{ref: &structs.TargetRef{}, foreign: a.Running}
		t.expiry.fire = func(c *Core) { c.unmanageTarget(t) }
		c.fleet.targets[a.TargetID] = t
	}
	if a.Incarnation == t.previous && t.previous != "" {
		return // a delayed announcement of a process that was replaced
	}
	if t.ref.Incarnation != "" && a.Incarnation != t.ref.Incarnation {
		c.newIncarnation(t)
	}
	c.moveToPool(t, c.fleet.poolFor(a))
	t.ann = *a
	if ref := (structs.TargetRef{TargetID: a.TargetID, Incarnation: a.Incarnation, Address: a.Address}); ref != *t.ref {
		t.ref = &ref
	}
	t.expired, t.suspect = false, false
	c.reconcile(t, a.Running)
	c.timers.set(&t.expiry, c.now+structs.TargetTimeout)
	c.refreshTarget(t)
}

// moveToPool moves the target to the pool and marks it as managed.
func (c *Core) moveToPool(t *target, p *pool) {
	if t.managed && t.pool == p {
		return
	}
	if t.pool != nil {
		t.pool.setBucket(t, tierNormal, 0)
		if t.managed {
			t.pool.managed--
		}
	}
	t.pool, t.managed = p, true
	p.managed++
}

// newIncarnation ends the attempts that the replaced process acknowledged as lost.
// Unacknowledged ones end by their own reports.
func (c *Core) newIncarnation(t *target) {
	t.previous = t.ref.Incarnation
	t.epoch++
	c.endLoans(t, func(*loan) bool { return true })
	t.used, t.foreign = 0, 0
	c.removeEjected(t)
	t.health = health{}
	attempts := t.attempts
	t.attempts = nil
	for _, a := range attempts {
		task := &a.job.tasks[a.task]
		if !task.accepted {
			continue
		}
		c.releaseSlot(a.job, task, attemptResult{})
		c.attemptLost(a.job, task, "the target restarted while a task ran")
		c.answerIfDecided(a.job)
	}
}

func (c *Core) targetReassigned(id string) {
	if t := c.fleet.targets[id]; t != nil {
		c.unmanageTarget(t)
	}
}

// unmanageTarget stops new work for a target that was reassigned or has expired.
func (c *Core) unmanageTarget(t *target) {
	c.timers.stop(&t.expiry)
	t.expired = true
	if t.managed {
		t.managed = false
		t.pool.managed--
	}
	c.refreshTarget(t)
	c.removeTargetIfIdle(t)
}

// removeTargetIfIdle removes an unmanaged target without live attempts.
func (c *Core) removeTargetIfIdle(t *target) {
	if !t.managed && len(t.attempts) == 0 && c.fleet.targets[t.ref.TargetID] == t {
		c.endLoans(t, func(*loan) bool { return true })
		c.removeEjected(t)
		delete(c.fleet.targets, t.ref.TargetID)
	}
}
