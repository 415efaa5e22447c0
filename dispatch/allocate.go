package dispatch

// nextClass returns the class that gets the next free slot, or nil. First pass:
// classes below their baselines in rank order. Second pass: the others in rank
// order, as long as slots remain beyond those kept for unused baselines.
func (c *Core) nextClass() *class {
	var beyond *class
	for _, cl := range c.ranked {
		if cl.stuck || !cl.hasWork() {
			continue
		}
		if cl.usage < cl.baseline.protected() {
			return cl
		}
		if beyond == nil && c.fleet.free > c.reserve(cl) {
			beyond = cl
		}
	}
	return beyond
}

// hasWork reports whether the class can use a free slot now.
func (cl *class) hasWork() bool { return len(cl.active) > 0 || len(cl.asks) > 0 }

// reserve returns the free slots that a class beyond its baseline must leave to
// the baselines of the others. Only a class that floods leaves all of them: a
// full reserve against ordinary bursts would delay them while slots stay free.
func (c *Core) reserve(beyond *class) int {
	if !beyond.baseline.flooding {
		return c.headroom(beyond)
	}
	reserved := 0
	for _, cl := range c.ranked {
		if cl != beyond {
			reserved += cl.unused()
		}
	}
	return reserved
}

// headroomPart bounds the slots that a class beyond its baseline leaves to higher
// ranks, as a part of all.
const headroomPart = 0.1

// headroom returns the free slots that a class beyond its baseline leaves to the
// unused baselines of higher ranks, so that their short tasks rarely wait.
func (c *Core) headroom(beyond *class) int {
	reserved := 0
	for _, cl := range c.ranked {
		if cl == beyond {
			break
		}
		reserved += cl.unused()
	}
	return min(reserved, int(headroomPart*float64(c.fleet.total)))
}

// unused returns the protected slots that the class does not use.
func (cl *class) unused() int { return max(0, cl.baseline.protected()-cl.usage) }

// load is what the allocation assumes that a class asks for, in slots.
type load func(cl *class) float64

// presentLoad is what the class asks for now, or at least usually asks for:
// waits last longer than the pauses between bursts.
func presentLoad(cl *class) float64 {
	return max(float64(cl.running+cl.queued()), cl.baseline.usualRunning())
}

// usualLoad is what the class asks for on average.
func usualLoad(cl *class) float64 { return cl.baseline.usualRunning() }

// entitlement returns the slots that the two passes give to a class out of
// capacity when it demands the given number and the others their load. The
// other classes' unused baselines are kept from a flooding class.
func (c *Core) entitlement(of *class, demand, capacity float64, others load) float64 {
	asked := func(cl *class) float64 {
		if cl == of {
			return demand
		}
		return others(cl)
	}
	left := capacity
	granted := 0.0
	for _, cl := range c.ranked {
		g := min(asked(cl), float64(cl.baseline.protected()), left)
		left -= g
		if cl == of {
			granted = g
		}
	}
	if of.baseline.flooding {
		left -= min(left, c.unusedBaselines(of, others))
	}
	for _, cl := range c.ranked {
		d := asked(cl)
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

// unusedBaselines returns the protected slots that the load of the other
// classes does not reach.
func (c *Core) unusedBaselines(of *class, others load) float64 {
	sum := 0.0
	for _, cl := range c.ranked {
		if cl != of {
			sum += max(0, float64(cl.baseline.protected())-others(cl))
		}
	}
	return sum
}

// backlogBefore returns the tasks beyond their usual number that classes of the
// same or a higher rank run or queue.
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
