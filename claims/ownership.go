package claims

import (
	"slices"

	"hawthornshore.example/structs"
)

// membersChanged applies newer agreed members. A partition that this instance did
// not own before is not ready until the lease for the new members is held.
func (c *Core) membersChanged(e MembersChanged) {
	if e.Epoch <= c.epoch && c.members != nil {
		return
	}
	consecutive := e.Epoch == c.epoch+1
	c.epoch = e.Epoch
	c.members = slices.Clone(e.Members)
	slices.Sort(c.members)
	c.members = slices.Compact(c.members)
	for i := range c.partitions {
		p := &c.partitions[i]
		previousOwner := p.owner
		p.owner, p.backup = topTwo(c.members, partitionKey(i))
		p.ready = p.ready && p.owner == c.opts.Instance && !e.MembershipInterrupted
		p.seal = nil
		if s, ok := c.matchedSeals[i]; ok && consecutive && e.Token != 0 && s.token == e.Token && previousOwner == e.Left {
			p.seal = &s
		}
	}
	clear(c.matchedSeals)
	c.outgoing = nil
	c.redistribute()
	c.activateOwned()
	c.releaseAwaitingLease()
	c.resubmitDeferred()
}

func (c *Core) leaseChanged(e LeaseChanged) {
	c.lease = e
	c.activateOwned()
	c.releaseAwaitingLease()
	c.resubmitDeferred()
}

// activateOwned makes the owned partitions ready. IDs from before now may have
// been admitted by an earlier owner, unless it has transferred all its records.
func (c *Core) activateOwned() {
	if !c.leaseHeld() || c.lease.Epoch != 0 && !c.lease.Confirmed {
		return
	}
	for i := range c.partitions {
		p := &c.partitions[i]
		if p.owner != c.opts.Instance || p.ready {
			continue
		}
		p.ready = true
		horizon := c.wall + horizonMargin.Milliseconds()
		if p.seal != nil {
			horizon = p.seal.horizon
		}
		p.horizon = max(p.horizon, horizon)
		p.seal = nil
	}
}

// releaseAwaitingLease releases the jobs whose claims were copied while the lease was
// not held.
func (c *Core) releaseAwaitingLease() {
	if !c.leaseHeld() {
		return
	}
	ids := c.awaitingLease
	c.awaitingLease = nil
	for _, id := range ids {
		if r := c.records[id]; r != nil && r.state == awaitingLease {
			c.claimCopied(r)
		}
	}
}

// clockChanged refuses new jobs while the clock is skewed. When the skew ends, IDs
// from before now may have been dropped too early or admitted by an earlier
// process, so that the horizon is moved past them.
func (c *Core) clockChanged(skewed bool) {
	if c.skewed && !skewed {
		for i := range c.partitions {
			p := &c.partitions[i]
			p.horizon = max(p.horizon, c.wall+horizonMargin.Milliseconds())
		}
	}
	c.skewed = skewed
}

func (c *Core) isMember(instance string) bool {
	_, ok := slices.BinarySearch(c.members, instance)
	return ok
}

// orphaned reports whether the instance that admitted a job is lost, so that no
// answer will arrive.
func (c *Core) orphaned(r *record) bool {
	return r.state == remote && (r.originLost || r.origin == c.opts.Instance || !c.isMember(r.origin))
}

func (c *Core) partitionOf(id structs.JobID) *partition { return &c.partitions[Partition(id)] }
