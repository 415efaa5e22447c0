package claims

import "time"

// Ownership describes what an instance may admit.
type Ownership struct {
	Owned int // partitions that the agreed members give to the instance
	Ready int // those of them that it may admit jobs of
	// Horizon is the time from which on job IDs are admitted in all of them.
	Horizon time.Time
}

// Ownership returns what this instance may admit now.
func (c *Core) Ownership() Ownership {
	var o Ownership
	var horizon int64
	held := c.leaseHeld()
	for i := range c.partitions {
		p := &c.partitions[i]
		if p.owner != c.opts.Instance {
			continue
		}
		o.Owned++
		if p.ready && held {
			o.Ready++
		}
		horizon = max(horizon, p.horizon)
	}
	o.Horizon = time.UnixMilli(horizon)
	return o
}
