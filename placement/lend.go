package placement

import "slices"

// peer is another coordinator.
type peer struct {
	name     string
	draining bool
	targets  []AvailableTarget // its available targets, less what was placed on them since
	speed    targetSpeed       // slowness of its targets by the speeds that it sends, compared with those here
	silent   bool              // has not answered a placement in time; no more until its next message
}

func (c *Core) peerAvailability(e PeerAvailability) {
	c.scheduleDue = true
	c.evacuations.hadPeers = true
	if !e.Partial {
		p := &peer{name: e.Peer, draining: e.Draining, targets: e.Targets}
		if old := c.peers[e.Peer]; old != nil {
			p.speed = old.speed
			if len(e.Targets) < len(old.targets) {
				c.evacuations.withdrawnAt = c.now
			}
		}
		c.peers[e.Peer] = p
		return
	}
	if p := c.peers[e.Peer]; p != nil { // otherwise all targets follow over a new link
		p.draining = e.Draining
		if len(e.Removed) > 0 {
			c.evacuations.withdrawnAt = c.now
		}
		p.update(e.Targets, e.Removed)
	}
}

// update applies the changes of a partial update.
func (p *peer) update(changed []AvailableTarget, removed []string) {
	positions := make(map[string]int, len(p.targets))
	for i := range p.targets {
		positions[p.targets[i].Target] = i
	}
	for _, t := range changed {
		i, known := positions[t.Target]
		switch {
		case known && t.Service == "":
			p.targets[i].Free, p.targets[i].Suspect, p.targets[i].Idle, p.targets[i].Cold = t.Free, t.Suspect, t.Idle, t.Cold
			p.targets[i].SpeedPermille, p.targets[i].HasSuspect = t.SpeedPermille, t.HasSuspect
		case known:
			p.targets[i] = t
		case t.Service != "":
			positions[t.Target] = len(p.targets)
			p.targets = append(p.targets, t)
		}
	}
	if len(removed) > 0 {
		p.targets = slices.DeleteFunc(p.targets, func(t AvailableTarget) bool { return slices.Contains(removed, t.Target) })
	}
}

// checkPeers marks the coordinators that have not answered a placement in time, so
// that no more tasks go to one that may be down. The link's failure is detected later.
func (c *Core) checkPeers() {
	for _, t := range c.placements {
		if t.peer == "" || t.state != starting || c.now-max(t.placedAt, c.peerHeardAt[t.peer]) < placementTimeout {
			continue
		}
		if p := c.peers[t.peer]; p != nil && !p.silent {
			p.silent = true
			c.logDecision(Decision{Event: "peer_silent", Peer: p.name, Age: c.now - t.placedAt})
		}
	}
}

// peerHeard records a message of another coordinator.
func (c *Core) peerHeard(name string) {
	c.linked[name] = true
	c.peerHeardAt[name] = c.now
	if p := c.peers[name]; p != nil && p.silent {
		p.silent = false
		c.scheduleDue = true
	}
}

// peerDisconnected gives up what was placed at a coordinator and what it placed
// here. The peer detects the failure within MaxLinkSkew and stops the runs; if it has
// failed itself, their leases expire.
func (c *Core) peerDisconnected(name string) {
	delete(c.peers, name)
	c.evacuations.withdrawnAt = c.now
	delete(c.linked, name)
	delete(c.peerHeardAt, name)
	c.failHandOvers(name)
	for _, id := range sortedKeys(c.targets) {
		t := c.targets[id]
		for _, r := range sortedRuns(t) {
			if r.home == name {
				c.stopRun(t, r)
			}
		}
	}
	safe := c.aliveAfterLinkLoss()
	for _, ref := range c.placedAt(name) {
		c.placementReported(Report{Ref: ref, Kind: RunLost, SafeAfter: safe, Reason: "link lost"})
	}
}

func (c *Core) placedAt(name string) []uint64 {
	var refs []uint64
	for ref, t := range c.placements {
		if t.peer == name {
			refs = append(refs, ref)
		}
	}
	slices.Sort(refs)
	return refs
}

// placementsRequested runs tasks of another home, or rejects them at once.
func (c *Core) placementsRequested(e PlacementsRequested) {
	for i := range e.Placements {
		p := &e.Placements[i]
		t, refusal := c.targetFor(e.Peer, p)
		if t == nil || t.ID != p.Target {
			// The home has taken the task's need off the target that it has chosen.
			c.emit(AvailabilityCorrected{Target: p.Target})
			c.availabilityDirty = true
		}
		if t == nil {
			c.queueReport(e.Peer, Report{Ref: p.Ref, Kind: RunRejected, Target: p.Target, Reason: refusal})
			continue
		}
		c.startRun(t, &run{
			key: runKey{p.Task, p.Run}, home: e.Peer, ref: p.Ref, queue: p.Queue,
			need: p.Need, expected: p.Expected, stored: p.Stored, exclusive: p.Alone, suspect: p.Suspect,
			offRack: !onRack(t.Labels, p.Rack),
		}, p.Spec)
	}
}

// targetFor returns the target for another home's task, or why there is none. Only the
// owner sees all runs on a target, those of earlier homes and those that are being
// stopped among them, so it checks each condition of the task there. It uses another
// target than the home has chosen only if no condition depends on which one it is: the
// home counts on its choice until the report of the start arrives. A home of an earlier
// version does not send the limit of the step.
func (c *Core) targetFor(home string, p *Placement) (*target, string) {
	if c.draining {
		return nil, "coordinator is leaving"
	}
	if p.Alone {
		if idle := c.idleTarget(p); idle != nil {
			return idle, ""
		}
		return nil, "no idle target"
	}
	chosen := c.targets[p.Target]
	refusal := c.refusalFor(chosen, p)
	if refusal == "" {
		return chosen, ""
	}
	if p.PerTarget == 0 && !p.Suspect && c.checksStepLimits[home] {
		if other := c.otherTarget(p); other != nil {
			return other, ""
		}
	}
	if chosen != nil && chosen.evacuated {
		c.logDecision(Decision{Event: "start_withheld", Task: p.Task, Target: chosen.ID, Reason: refusal, Value: int64(p.Run)})
	}
	return nil, refusal
}

// otherTarget returns the target with the least free CPU time that may run another home's
// task and is on the rack of its data.
func (c *Core) otherTarget(p *Placement) *target {
	var best *target
	for _, id := range sortedKeys(c.targets) {
		t := c.targets[id]
		if id == p.Avoid || !onRack(t.Labels, p.Rack) || c.refusalFor(t, p) != "" {
			continue
		}
		if best == nil || t.free().CPUMillis < best.free().CPUMillis {
			best = t
		}
	}
	return best
}

// refusalFor returns why another home's task may not start on a target; empty: it may.
func (c *Core) refusalFor(t *target, p *Placement) string {
	switch {
	case t == nil:
		return "target is not owned here"
	case t.evacuated:
		return c.evacuationReason(t)
	case t.Service != p.Service || !matches(t.Labels, p.Requirement):
		return "target does not match"
	case !p.Need.Fits(t.free()):
		return "no room"
	case !t.usable(c.now):
		return "target is not available"
	case p.Suspect && t.hasSuspect():
		return "beside another suspect"
	case t.atStepLimit(p.Task, p.PerTarget):
		return "limit of the step"
	case t.runs[runKey{p.Task, p.Run}] != nil:
		return "the run is there already"
	}
	return ""
}

func (c *Core) stopRequested(e StopRequested) {
	for _, ref := range e.Refs {
		if t, r := c.findRun(e.Peer, ref); r != nil {
			c.stopRun(t, r)
		}
	}
}

// placementsReported processes reports of the owners of targets. A target may have
// been handed over since the placement, and reports of its owners overtake each
// other: the one with the higher token owns it now. An end is accepted from any
// owner, because a placement's ref is never used again.
func (c *Core) placementsReported(e PlacementsReported) {
	for _, report := range e.Reports {
		t := c.placements[report.Ref]
		if t == nil {
			if report.Kind == RunStarted {
				c.emit(SendStops{Peer: e.Peer, Refs: []uint64{report.Ref}}) // given up in the meantime
			}
			continue
		}
		if report.Kind == RunRejected {
			c.clearFree(e.Peer, report.Target)
		}
		if report.Kind == RunStarted && report.Token < t.token {
			continue // of an earlier owner
		}
		if report.Kind == RunLost && report.Token < t.token {
			continue // the earlier owner has lost the target to the current one
		}
		if report.Kind == RunStarted {
			c.ownerChanged(t, e.Peer)
		}
		c.placementReported(report)
	}
}

// ownerChanged records the owner of a task's target. A task of a job that has
// ended in the meantime is stopped there.
func (c *Core) ownerChanged(t *task, owner string) {
	if t.peer == owner {
		return
	}
	t.peer = owner
	if t.job.ending {
		c.emit(SendStops{Peer: owner, Refs: []uint64{t.ref}})
	}
}

// clearFree treats a target that has rejected a task as full until the next update.
func (c *Core) clearFree(name, id string) {
	p := c.peers[name]
	if p == nil {
		return
	}
	for i := range p.targets {
		if p.targets[i].Target == id {
			p.targets[i].Free = Resources{}
		}
	}
}
