package placement

import (
	"slices"
	"strings"
	"time"
)

const (
	// evacuatedRetryAfter is the retry delay of a job that only evacuated targets can
	// serve. An evacuation lasts minutes; the delay is the longest that callers accept.
	evacuatedRetryAfter = 4 * time.Second
	// withdrawalGrace is how long after another coordinator has withdrawn a target a job
	// without any other target is not refused yet. An owner also withdraws a target for
	// this time while it is unavailable.
	withdrawalGrace = unavailablePause
)

// EvacuationsChanged replaces the set of evacuated data centres. Their targets get no
// new starts; what runs there ends there.
type EvacuationsChanged struct {
	DataCentres []string
	// Unknown means that the set is not known yet, so that no target here gets a start.
	Unknown bool
}

// evacuations are the data centres whose targets get no new starts.
type evacuations struct {
	dataCentres map[string]bool
	unknown     bool
	// withdrawnAt is when another coordinator last withdrew a target. Until
	// withdrawalGrace later it may offer it again.
	withdrawnAt time.Duration
	hadPeers    bool // another coordinator has sent its targets
}

func (c *Core) evacuationsChanged(e EvacuationsChanged) {
	c.evacuations.unknown = e.Unknown
	c.evacuations.dataCentres = make(map[string]bool, len(e.DataCentres))
	for _, name := range e.DataCentres {
		c.evacuations.dataCentres[name] = true
	}
	for _, t := range c.targets {
		c.updateEvacuated(t)
	}
	c.withdrawUnsentStarts()
	c.scheduleDue = true // jobs may have to be refused
}

// updateEvacuated updates the flag of a target that placement checks.
func (c *Core) updateEvacuated(t *target) {
	evacuated := c.evacuations.unknown || c.evacuations.dataCentres[t.DataCentre]
	if evacuated != t.evacuated {
		t.evacuated = evacuated
		c.availabilityChanged()
	}
}

// withdrawUnsentStarts takes back the starts on evacuated targets that wait among the
// effects. They were never sent, so their tasks may start elsewhere at once.
func (c *Core) withdrawUnsentStarts() {
	var withdrawn []*order
	c.effects = slices.DeleteFunc(c.effects, func(effect Effect) bool {
		start, ok := effect.(StartOrder)
		if !ok {
			return false
		}
		o := c.orders[start.Order]
		if o == nil || !o.target.evacuated || c.targets[o.target.ID] != o.target {
			return false
		}
		delete(c.orders, start.Order)
		withdrawn = append(withdrawn, o)
		return true
	})
	for _, o := range withdrawn {
		c.logDecision(Decision{
			Event: "start_withheld", Task: o.run.key.task, Target: o.target.ID, Reason: c.evacuationReason(o.target), Value: int64(o.run.key.run),
		})
		c.finishRun(o.target, o.run, Report{Kind: RunRejected, Reason: c.evacuationReason(o.target)})
	}
}

// evacuationReason returns why a target gets no starts.
func (c *Core) evacuationReason(t *target) string {
	if !c.evacuations.dataCentres[t.DataCentre] {
		return "evacuations are not known yet"
	}
	return "data centre " + t.DataCentre + " is evacuated"
}

// refuseEvacuated refuses the jobs that wait for their first start and that no target
// outside the evacuated data centres can serve. A coordinator that has lost all others
// does not know their targets, and refuses jobs as without evacuations.
func (c *Core) refuseEvacuated() {
	e := &c.evacuations
	if len(e.dataCentres) == 0 || e.unknown || c.now-e.withdrawnAt < withdrawalGrace || e.hadPeers && len(c.peers) == 0 {
		return
	}
	for _, j := range slices.Clone(c.queue) {
		if !j.refusable() || c.servableElsewhere(j) {
			continue
		}
		c.answerJob(j, NotRun, "no target outside the evacuated data centres: "+strings.Join(sortedKeys(c.evacuations.dataCentres), ", "), evacuatedRetryAfter)
		c.endJob(j)
	}
}

// servableElsewhere reports whether each step of a job has a target outside the
// evacuated data centres, now or once it is free and available again.
func (c *Core) servableElsewhere(j *job) bool {
	for i := range j.Steps {
		if !c.stepServable(j.Service, &j.Steps[i]) {
			return false
		}
	}
	return true
}

func (c *Core) stepServable(service string, step *Step) bool {
	for _, t := range c.targets {
		if !t.evacuated && !t.Draining && t.Service == service && matches(t.Labels, step.Requirement) && step.Need.Fits(t.Capacity) {
			return true
		}
	}
	// The capacity of the others' targets is not known here, only what is free of it.
	for _, p := range c.peers {
		for i := range p.targets {
			if p.targets[i].Service == service && matches(p.targets[i].Labels, step.Requirement) {
				return true
			}
		}
	}
	return false
}
