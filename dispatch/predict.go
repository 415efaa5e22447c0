package dispatch

import (
	"math"
	"time"

	"hawthornshore.example/structs"
)

// waitMargin is the factor on predicted waits: work of higher ranks that arrives
// later overtakes the job, and late refusals cost the caller more than early ones.
const waitMargin = 3

// expectedSlots returns the slots that the jobs of this instance can expect: its
// own less the lent ones, the borrowed ones, and those that peers offer. An equal
// share of the data centre's slots would be too high for an instance with few
// targets, as its peers run work of their own. The part that depends on peers is
// smoothed: a burst of a second is no reason to refuse work that may wait longer.
func (c *Core) expectedSlots() float64 {
	all := float64(c.fleet.total)
	for _, p := range c.peers {
		all += float64(p.total)
	}
	return max(float64(c.fleet.total)+c.peerBalance, minShareFraction*all/float64(len(c.peers)+1))
}

// minShareFraction is the minimum fraction of an equal share of the data centre's
// slots that an instance expects. Without it an instance that manages no target
// would refuse all jobs, and so borrow nothing, once its peers were saturated.
const minShareFraction = 0.25

// currentPeerBalance returns the slots borrowed or offered by peers, less those
// lent to them.
func (c *Core) currentPeerBalance() int {
	sum := c.borrowed - c.lent
	for _, p := range c.peers {
		sum += p.free
	}
	return sum
}

// peerBalanceTimeConstant smooths the peer balance.
const peerBalanceTimeConstant = 2 * time.Second

func (c *Core) updatePeerBalance(interval time.Duration) {
	rate := 1 - math.Exp(-float64(interval)/float64(peerBalanceTimeConstant))
	c.peerBalance += rate * (float64(c.currentPeerBalance()) - c.peerBalance)
}

// predict returns the predicted time from now until the job's last task ends, and
// the reason for a refusal if that is too late.
func (c *Core) predict(j *job) (time.Duration, structs.Reason) {
	n := float64(len(j.spec.Tasks))
	run := j.class.runtimes.longestMS(j.spec.Tasks)
	mean := j.class.runtimes.taskMS(j.spec.Tasks[0].DeclaredMS)
	wait := c.waitRounds(j, n) * mean
	reason := structs.ReasonWaitTooLong
	if t := j.tenant; t.quota > 0 {
		byQuota := extraRounds(float64(t.running+t.queued)+n, float64(t.quota)) * mean
		if byQuota > wait {
			wait, reason = byQuota, structs.ReasonQuota
		}
	}
	total := waitMargin*wait + run
	if total > math.MaxInt64/float64(2*time.Millisecond) {
		return math.MaxInt64 / 2, reason
	}
	return time.Duration(total * float64(time.Millisecond)), reason
}

// waitRounds returns the wait of the job's last task in mean run times. A class
// waits as if the current demand of the others lasted, or, in a burst, until the
// backlog of the classes before it is done. A tenant waits no longer than its
// class, and no longer than its weight requires.
func (c *Core) waitRounds(j *job, n float64) float64 {
	cl := j.class
	demand := float64(cl.running+cl.queued()) + n
	slots := c.entitlement(cl, demand, c.expectedSlots(), currentDemand)
	wait := extraRounds(demand, slots)
	if wait > 0 && c.offeredLoad() < c.expectedSlots() {
		wait = min(wait, c.backlogWaitRounds(cl, demand))
	}
	if wait == 0 {
		return 0
	}
	weights := 0.0
	for _, q := range cl.active {
		weights += q.tenant.weight()
	}
	q := cl.queue(j.tenant)
	if q.index == 0 {
		weights += j.tenant.weight()
	}
	own := float64(q.running+q.waiting) + n
	return min(wait, extraRounds(own, slots*j.tenant.weight()/weights))
}

// offeredLoad returns the load offered to this instance, refused work included, in
// slots. Below expectedSlots every backlog is a burst that ends.
func (c *Core) offeredLoad() float64 {
	sum := 0.0
	for _, cl := range c.ranked {
		sum += cl.baseline.offeredSlots
	}
	return sum
}

// backlogWaitRounds returns the wait, in mean run times, if the class is served
// after the backlog of the classes before it, and those have their usual demand
// from then on.
func (c *Core) backlogWaitRounds(cl *class, demand float64) float64 {
	backlog := c.backlogBefore(cl)
	slots := c.entitlement(cl, demand+backlog, c.expectedSlots(), usualDemand)
	return extraRounds(demand+backlog, slots)
}

// extraRounds returns the wait of the demand beyond the slots, in run times.
func extraRounds(demand, slots float64) float64 {
	if demand <= slots {
		return 0
	}
	if slots <= 0 {
		return math.Inf(1)
	}
	return (demand - slots) / slots
}
