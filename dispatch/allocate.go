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
// the baselines of the others. Only a class that floods leaves any: a reserve
// against ordinary bursts would delay them while slots stay free.
func (c *Core) reserve(beyond *class) int {
	if !beyond.baseline.flooding {
		return 0
	}
	reserved := 0
	for _, cl := range c.ranked {
		if cl != beyond {
			reserved += max(0, cl.baseline.protected()-cl.usage)
		}
	}
	return reserved
}

// entitlement returns the slots that the two passes give to a class out of
// capacity when it demands the given number and the others what they have. The
// other classes' unused baselines are kept from a flooding class.
func (c *Core) entitlement(of *class, demand, capacity float64) float64 {
	left := capacity
	granted := 0.0
	for _, cl := range c.ranked {
		d := cl.demand(of, demand)
		g := min(d, float64(cl.baseline.protected()), left)
		left -= g
		if cl == of {
			granted = g
		}
	}
	if of.baseline.flooding {
		left -= min(left, c.unusedBaselines(of))
	}
	for _, cl := range c.ranked {
		d := cl.demand(of, demand)
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

// unusedBaselines returns the protected slots that the demand of the other
// classes does not reach.
func (c *Core) unusedBaselines(of *class) float64 {
	sum := 0.0
	for _, cl := range c.ranked {
		if cl != of {
			sum += max(0, float64(cl.baseline.protected())-cl.demand(of, 0))
		}
	}
	return sum
}

// demand returns what the class asks for, or at least usually asks for: waits
// last longer than the pauses between bursts.
func (cl *class) demand(of *class, demand float64) float64 {
	if cl == of {
		return demand
	}
	return float64(max(cl.running+cl.queued(), cl.baseline.usual))
}
