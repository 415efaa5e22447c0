package placement

import (
	"maps"
	"math"
	"slices"
	"time"
)

// ReasonNoRoom is the reason of a rejection because no target has the free capacity.
const ReasonNoRoom = "no room"

// peerView is what a home knows about the free capacity of another coordinator beside
// its last update.
type peerView struct {
	pending []pendingPlacement // not included in the last update, in order of their refs
	full    []rejectedNeed     // rejected there since the last update
	demand  map[string]uint32  // placements requested there of late, by home
	// changedAt has the arrival of the last update with a target, for shareDuration.
	changedAt map[string]time.Duration
}

// pendingPlacement is a placement that was on its way to the target's owner when the
// owner sent its last update.
type pendingPlacement struct {
	ref    uint64
	target string
	need   Resources
}

// rejectedNeed is the need of a task that fitted none of the owner's targets.
type rejectedNeed struct {
	service, requirement, rack string
	need                       Resources
}

// requester is another coordinator that has requested placements over the present link.
type requester struct {
	lastRef uint64
	at      time.Duration // of the last request
	demand  float64       // requested placements, decaying with demandDecay
}

// demandDecay is the time constant of the demand of a requester. It covers a burst
// and is as long as a typical run.
const demandDecay = 500 * time.Millisecond

func (r requester) demandAt(now time.Duration) float64 {
	return r.demand * math.Exp(-float64(now-r.at)/float64(demandDecay))
}

func (c *Core) notePlacementRequest(peer string, ref uint64) {
	c.requesters[peer] = requester{lastRef: ref, at: c.now, demand: c.requesters[peer].demandAt(c.now) + 1}
}

// IncludedRef returns the ref of the last placement that another coordinator has
// requested over the present link; 0: none. AvailableTargets includes it and all
// earlier ones, because requests arrive in the order of their refs.
func (c *Core) IncludedRef(peer string) uint64 { return c.requesters[peer].lastRef }

// Demand returns how many placements each other coordinator has requested of late.
func (c *Core) Demand() map[string]uint32 {
	demand := make(map[string]uint32, len(c.requesters))
	for name, r := range c.requesters {
		if d := math.Round(r.demandAt(c.now)); d >= 1 {
			demand[name] = uint32(d)
		}
	}
	return demand
}

// updated completes the view after an update of the targets.
func (p *peer) updated(now time.Duration, e *PeerAvailability) {
	p.full, p.demand = nil, e.Demand
	if e.IncludedRef == nil {
		p.pending, p.demand = nil, nil
		return
	}
	if p.changedAt == nil {
		p.changedAt = map[string]time.Duration{}
	}
	maps.DeleteFunc(p.changedAt, func(_ string, at time.Duration) bool { return now-at >= shareDuration })
	inUpdate := make(map[string]bool, len(e.Targets))
	for i := range e.Targets {
		inUpdate[e.Targets[i].Target] = true
		p.changedAt[e.Targets[i].Target] = now
	}
	changes := p.pendingChanges(e, inUpdate)
	if len(changes) == 0 {
		return
	}
	for i := range p.targets {
		t := &p.targets[i]
		if change, changed := changes[t.Target]; changed {
			t.Free = t.Free.Add(change)
			t.Idle = t.Idle && !inUpdate[t.Target]
		}
	}
}

// pendingChanges drops the pending placements that an update includes. It returns
// what has to be added to the free capacity of targets for the pending placements.
func (p *peer) pendingChanges(e *PeerAvailability, inUpdate map[string]bool) map[string]Resources {
	changes := make(map[string]Resources, len(p.pending))
	kept := p.pending[:0]
	for _, placed := range p.pending {
		included := placed.ref <= *e.IncludedRef
		switch {
		case !included && inUpdate[placed.target]:
			changes[placed.target] = changes[placed.target].Sub(placed.need)
		case included && !inUpdate[placed.target]:
			// The owner's free capacity is as before the placement, so as much has been
			// released. In the view the placement is still subtracted.
			changes[placed.target] = changes[placed.target].Add(placed.need)
		}
		if !included {
			kept = append(kept, placed)
		}
	}
	p.pending = kept
	return changes
}

// rejected records that an owner has rejected a task. It has sent its next update
// only after the rejection. Until then no task with such a need is placed there.
func (p *peer) rejected(t *task, report *Report) {
	if p == nil {
		return
	}
	p.pending = slices.DeleteFunc(p.pending, func(placed pendingPlacement) bool { return placed.ref == report.Ref })
	if report.Reason == ReasonNoRoom && !t.trial && !t.suspected() {
		step := &t.job.Steps[t.step]
		p.full = append(p.full, rejectedNeed{t.job.Service, step.Requirement, step.Rack, step.Need})
	}
}

// lacksRoom reports whether the owner has rejected a task with the same or a smaller
// need since its last update.
func (p *peer) lacksRoom(j *job, step *Step) bool {
	for i := range p.full {
		f := &p.full[i]
		if f.service == j.Service && f.requirement == step.Requirement && f.rack == step.Rack && f.need.Fits(step.Need) {
			return true
		}
	}
	return false
}
