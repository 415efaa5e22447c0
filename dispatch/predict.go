package dispatch

import (
	"math"
	"time"

	"hawthornshore.example/structs"
)

// waitMargin is the factor on predicted waits: work of higher ranks that arrives
// later passes the job, and a late refusal costs the caller more than an early.
const waitMargin = 3

// capacity returns the slots that the jobs of this instance can expect: its own
// less the lent ones, the borrowed ones, and those that peers offer. An equal
// part of the data centre's slots would promise too much to an instance with few
// targets, whose peers serve work of their own.
// The part that depends on peers is smoothed: a burst of a second is no reason
// to refuse work that may wait longer.
func (c *Core) capacity() float64 {
	all := float64(c.fleet.total)
	for _, p := range c.peers {
		all += float64(p.total)
	}
	return max(float64(c.fleet.total)+c.exchanged, minPart*all/float64(len(c.peers)+1))
}

// minPart is the least part of its equal share of the data centre's slots that
// an instance expects. Without it an instance that manages no target would
// refuse everything, and so borrow nothing, once its peers were saturated.
const minPart = 0.25

// exchange returns the slots that this instance has, or can get, from its peers
// less those that it lent.
func (c *Core) exchange() int {
	sum := c.borrowed - c.lent
	for _, p := range c.peers {
		sum += p.free
	}
	return sum
}

// exchangeTime is the time constant with which the exchange of slots is smoothed.
const exchangeTime = 2 * time.Second

func (c *Core) smoothExchange(interval time.Duration) {
	rate := 1 - math.Exp(-float64(interval)/float64(exchangeTime))
	c.exchanged += rate * (float64(c.exchange()) - c.exchanged)
}

// predict returns the time from now until the last task of the job would end,
// and the reason to give if that is too late.
func (c *Core) predict(j *job) (time.Duration, structs.Reason) {
	n := float64(len(j.spec.Tasks))
	run := j.class.runtimes.longestMS(j.spec.Tasks)
	mean := j.class.runtimes.taskMS(j.spec.Tasks[0].DeclaredMS)
	wait := c.waitSlots(j, n) * mean
	reason := structs.ReasonWaitTooLong
	if t := j.tenant; t.quota > 0 {
		byQuota := excess(float64(t.running+t.queued)+n, float64(t.quota)) * mean
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

// waitSlots returns the wait of the job's last task in mean run times. A class
// waits as if the present demand of the others lasted, or, in a burst, until the
// backlog of the classes before it is worked off. A tenant waits no longer than
// its class, and no longer than its weight demands.
func (c *Core) waitSlots(j *job, n float64) float64 {
	cl := j.class
	demand := float64(cl.running+cl.queued()) + n
	slots := c.entitlement(cl, demand, c.capacity(), presentLoad)
	wait := excess(demand, slots)
	if wait > 0 && c.offeredLoad() < c.capacity() {
		wait = min(wait, c.waitForBacklog(cl, demand))
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
	return min(wait, excess(own, slots*j.tenant.weight()/weights))
}

// offeredLoad returns the work that callers offer to this instance, refused work
// included, in slots. Below the capacity every backlog is a burst that ends.
func (c *Core) offeredLoad() float64 {
	sum := 0.0
	for _, cl := range c.ranked {
		sum += cl.baseline.offered
	}
	return sum
}

// waitForBacklog returns the wait, in mean run times, if the class comes after
// all the backlog of the classes before it and those ask for their usual load
// from then on.
func (c *Core) waitForBacklog(cl *class, demand float64) float64 {
	backlog := c.backlogBefore(cl)
	slots := c.entitlement(cl, demand+backlog, c.capacity(), usualLoad)
	return excess(demand+backlog, slots)
}

// excess returns how many rounds of the slots the demand beyond them takes.
func excess(demand, slots float64) float64 {
	if demand <= slots {
		return 0
	}
	if slots <= 0 {
		return math.Inf(1)
	}
	return (demand - slots) / slots
}
