package dispatch

// nextClass returns the class that gets the next free slot, or nil: the first
// class in rank order that is below its baseline, otherwise the first one that
// leaves the slots reserved for unused baselines free.
func (c *Core) nextClass() *class {
	var above *class
	for _, cl := range c.ranked {
		if cl.blocked || !cl.hasWork() {
			continue
		}
		if cl.usage < cl.baseline.protected() {
			return cl
		}
		if above == nil && c.fleet.free > c.reserve(cl) {
			above = cl
		}
	}
	return above
}

// hasWork reports whether the class can use a free slot now.
func (cl *class) hasWork() bool { return len(cl.active) > 0 || len(cl.incomingRequests) > 0 }

// reserve returns the free slots that a class above its baseline must leave for
// the baselines of the others. Only an overloaded class leaves all of them: a
// full reserve against ordinary bursts would delay them while slots stay free.
func (c *Core) reserve(above *class) int {
	if !above.baseline.overloaded {
		return c.headroom(above)
	}
	reserved := 0
	for _, cl := range c.ranked {
		if cl != above {
			reserved += cl.unusedBaseline()
		}
	}
	return reserved
}

// headroomFraction bounds the slots that a class above its baseline leaves for
// higher ranks, as a fraction of all slots.
const headroomFraction = 0.1

// headroom returns the free slots that a class above its baseline leaves for the
// unused baselines of higher ranks, so that their short tasks rarely wait.
func (c *Core) headroom(above *class) int {
	reserved := 0
	for _, cl := range c.ranked {
		if cl == above {
			break
		}
		reserved += cl.unusedBaseline()
	}
	return min(reserved, int(headroomFraction*float64(c.fleet.total)))
}

// unusedBaseline returns the protected slots that the class does not use.
func (cl *class) unusedBaseline() int { return max(0, cl.baseline.protected()-cl.usage) }

// demandFunc estimates the demand of a class, in slots.
type demandFunc func(cl *class) float64

// currentDemand returns the current demand of the class, but at least its usual
// one: waits last longer than the pauses between bursts.
func currentDemand(cl *class) float64 {
	return max(float64(cl.running+cl.queued()), cl.baseline.usualRunning())
}

// usualDemand returns the average demand of the class.
func usualDemand(cl *class) float64 { return cl.baseline.usualRunning() }

// entitlement returns the slots out of capacity that a class gets by the rules
// of nextClass, given its demand and an estimate of the others'. An overloaded
// class gets none of the other classes' unused baselines.
func (c *Core) entitlement(of *class, demand, capacity float64, others demandFunc) float64 {
	demandOf := func(cl *class) float64 {
		if cl == of {
			return demand
		}
		return others(cl)
	}
	left := capacity
	granted := 0.0
	for _, cl := range c.ranked {
		g := min(demandOf(cl), float64(cl.baseline.protected()), left)
		left -= g
		if cl == of {
			granted = g
		}
	}
	if of.baseline.overloaded {
		left -= min(left, c.unusedBaselines(of, others))
	}
	for _, cl := range c.ranked {
		d := demandOf(cl)
		if d <= float64(cl.baseline.protected()) {
			continue
		}
		g := min(d-float64(cl.baseline.protected()), left)
		left -= g
		if cl == of {
			granted += g
		}
	}
	return granted
}

// unusedBaselines returns the protected slots of the other classes beyond their
// demand.
func (c *Core) unusedBaselines(of *class, others demandFunc) float64 {
	sum := 0.0
	for _, cl := range c.ranked {
		if cl != of {
			sum += max(0, float64(cl.baseline.protected())-others(cl))
		}
	}
	return sum
}

// backlogBefore returns the tasks, beyond the usual number, that the classes
// ordered before this one run or queue.
func (c *Core) backlogBefore(of *class) float64 {
	sum := 0.0
	for _, cl := range c.ranked {
		if cl == of {
			break
		}
		sum += max(0, float64(cl.running+cl.queued())-cl.baseline.usualRunning())
	}
	return sum
}
