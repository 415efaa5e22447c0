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
	members []*target // usable targets
	ejected []*target
	total   int // slots of usable targets
	free    int // free slots that may be used, probes included
	// failures is the smoothed failure rate of all runs, 0 to 1.
	failures float64
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

// refresh files the target again after a change of its state or load.
func (f *fleet) refresh(t *target) {
	total, free, tier := 0, 0, tierNormal
	switch {
	case t.usable():
		total = t.ann.Slots
		free = max(0, total-t.used-len(t.loans)-t.foreign)
		if t.slow {
			tier = tierSlow
		}
	case t.present() && t.due && !t.probing && t.used+len(t.loans) < t.ann.Slots:
		free, tier = 1, tierProbe
	}
	f.enlist(t, total > 0)
	f.total += total - t.counted
	f.free += free - t.free
	t.counted, t.free = total, free
	t.pool.file(t, tier, free)
}

// enlist keeps the list of usable targets.
func (f *fleet) enlist(t *target, usable bool) {
	if usable == (t.member > 0) {
		return
	}
	if usable {
		f.members = append(f.members, t)
		t.member = len(f.members)
		return
	}
	last := f.members[len(f.members)-1]
	f.members[t.member-1] = last
	last.member = t.member
	f.members = f.members[:len(f.members)-1]
	t.member = 0
}

// refresh files a target again and lets early-binding policies look at it.
func (c *Core) refresh(t *target) {
	c.fleet.refresh(t)
	if c.opts.Policy != PolicyHawthorn {
		c.touch(t)
	}
}

// pick returns a target with a free slot for the task, or nil.
// Slow targets are last, and only for work that has waited.
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

// canFit reports whether any managed target could ever run the task.
func (f *fleet) canFit(class string, task *structs.Task) bool {
	for _, p := range f.pools {
		if p.members > 0 && p.fits(class, task) {
			return true
		}
	}
	return false
}

func (c *Core) targetSeen(a *structs.Announcement) {
	t := c.fleet.targets[a.TargetID]
	if t == nil {
		t = &target{ref: &structs.TargetRef{}, foreign: a.Running}
		t.expiry.fire = func(c *Core) { c.targetGone(t) }
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
	c.refresh(t)
}

// moveToPool makes the target a managed member of the pool.
func (c *Core) moveToPool(t *target, p *pool) {
	if t.managed && t.pool == p {
		return
	}
	if t.pool != nil {
		t.pool.file(t, tierNormal, 0)
		if t.managed {
			t.pool.members--
		}
	}
	t.pool, t.managed = p, true
	p.members++
}

// newIncarnation gives up the attempts that the replaced process acknowledged.
// Unacknowledged ones end by their own reports.
func (c *Core) newIncarnation(t *target) {
	t.previous = t.ref.Incarnation
	t.epoch++
	c.endLoans(t, func(*lentSlot) bool { return true })
	t.used, t.foreign = 0, 0
	c.unlistEjected(t)
	t.health = health{}
	attempts := t.attempts
	t.attempts = nil
	for _, a := range attempts {
		task := &a.job.tasks[a.task]
		if !task.accepted {
			continue
		}
		c.releaseSlot(a.job, task, ending{})
		c.attemptLost(a.job, task, "the target restarted while a task ran")
		c.settle(a.job)
	}
}

func (c *Core) targetReleased(id string) {
	if t := c.fleet.targets[id]; t != nil {
		c.targetGone(t)
	}
}

// targetGone stops new work for a target that is released or went silent.
func (c *Core) targetGone(t *target) {
	c.timers.stop(&t.expiry)
	t.expired = true
	if t.managed {
		t.managed = false
		t.pool.members--
	}
	c.refresh(t)
	c.dropTarget(t)
}

// dropTarget forgets an unmanaged target once no attempt runs on it.
func (c *Core) dropTarget(t *target) {
	if !t.managed && len(t.attempts) == 0 && c.fleet.targets[t.ref.TargetID] == t {
		c.endLoans(t, func(*lentSlot) bool { return true })
		c.unlistEjected(t)
		delete(c.fleet.targets, t.ref.TargetID)
	}
}
