package placement

import "time"

// MaxLinkSkew bounds how long after one end of a link the other one detects its
// failure: the link timeout, the interval of its check and the delay of a message.
const MaxLinkSkew = 900 * time.Millisecond

// longestLease is the longest lease by this machine's clock. It is also the time
// after which a run is gone once its owner wants it to end or has lost its target:
// from then on nothing extends the lease.
func (c *Core) longestLease() time.Duration { return onSlowClock(c.options.Lease) }

// aliveAfterLinkLoss is how long the runs that another coordinator owns for this
// home may be alive after the loss of the link: it may detect the loss later, and
// start runs that were requested before.
func (c *Core) aliveAfterLinkLoss() time.Duration {
	return MaxLinkSkew + c.longestLease() + TickInterval
}

// aliveAfterHandOver is how long the runs of a target that was handed over may be
// alive after the loss of the link to its new owner, which may report to their homes
// first and be told by these, over links that fail, that the runs have to end.
func (c *Core) aliveAfterHandOver() time.Duration { return MaxLinkSkew + c.aliveAfterLinkLoss() }

// takeOverDelay is how long a new home waits until no order and no run of the
// earlier one is left.
func (c *Core) takeOverDelay() time.Duration {
	return homeLease + MaxLinkSkew + orderTimeout + c.longestLease() + c.options.StopTime + TickInterval
}
