package placement

import (
	"hash/fnv"
	"math"
	"time"
)

const (
	// scarceTasks is the number of tasks for which an owner has free capacity below
	// which homes that compete for it share it out. With 348 targets at 95% load, 10
	// gave more rejections than 20, and 40 hardly fewer.
	scarceTasks = 20
	// lastTasks is the number of tasks below which the capacity is left to the owner's
	// own tasks for shareDuration. 2 gave half as many rejections again as 4.
	lastTasks = 4
	// shareDuration is how long scarce capacity that has not changed is kept for one
	// home. It covers some updates (10 ms) and the way of a request; 100 ms gave hardly
	// fewer rejections.
	shareDuration = 50 * time.Millisecond
)

// contention is how scarce the free capacity at an owner is for tasks of a kind.
type contention int

const (
	unknown contention = iota
	ample              // or no other home competes for it
	scarce             // each target is kept for one home
	last               // left to the owner
)

// contentionAt returns the contention for a task at an owner. The result depends on the
// demand of other homes, so that a home that is alone uses all capacity at once.
func (c *Core) contentionAt(p *peer, j *job, step *Step) contention {
	if !c.hasCompetitors(p) {
		return ample
	}
	var tasks int64
	for i := range p.targets {
		t := &p.targets[i]
		if !step.Need.Fits(t.Free) || t.Service != j.Service || !matches(t.Labels, step.Requirement) {
			continue
		}
		tasks += t.Free.CPUMillis / max(step.Need.CPUMillis, 1)
		if tasks >= scarceTasks {
			return ample
		}
	}
	if tasks < lastTasks {
		return last
	}
	return scarce
}

func (c *Core) hasCompetitors(p *peer) bool {
	_, own := p.demand[c.options.Name]
	return len(p.demand) > 1 || len(p.demand) == 1 && !own
}

// mayUse reports whether this home may use a target of an owner for a task: capacity is
// ample there, the target is kept for this home, that time is over, or the job would
// soon be refused. It determines the contention at the first call for an owner.
func (c *Core) mayUse(p *peer, t *AvailableTarget, level *contention, j *job, step *Step) bool {
	if *level == unknown {
		*level = c.contentionAt(p, j, step)
	}
	if *level == ample {
		return true
	}
	changedAt, recent := p.changedAt[t.Target]
	switch {
	case !recent || c.now-changedAt >= shareDuration:
		return true
	case !j.started && c.now-j.submittedAt >= j.StartTimeout()/2:
		return true
	case *level == last:
		return false
	}
	own := shareRank(c.options.Name, t.Target, p.demand[c.options.Name])
	for name, demand := range p.demand {
		if name != c.options.Name && shareRank(name, t.Target, demand) < own {
			return false
		}
	}
	return true
}

// shareRank ranks a home for a target by weighted rendezvous hashing: a home has the
// lowest rank for a share of the targets that is in proportion to its demand.
func shareRank(home, target string, demand uint32) float64 {
	hash := fnv.New64a()
	hash.Write([]byte(home))
	hash.Write([]byte{0})
	hash.Write([]byte(target))
	// FNV leaves the high bits of similar names alike; this is the mix of splitmix64.
	x := hash.Sum64()
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	x ^= x >> 31
	uniform := (float64(x>>11) + 1) / (1 << 53)
	return -math.Log(uniform) / float64(max(demand, 1))
}
