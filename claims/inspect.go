package claims

import "time"

// Ownership describes which jobs an instance may admit.
type Ownership struct {
	Owned int // partitions assigned to the instance under the agreed members
	Ready int // owned partitions whose jobs it may admit
	// Horizon is the time from which job IDs are admitted in all owned partitions.
	Horizon time.Time
}

// Ownership returns which jobs this instance may admit now.
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
