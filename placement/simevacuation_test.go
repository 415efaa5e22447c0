package placement_test

import (
	"fmt"
	"slices"
	"time"

	"hawthornshore.example/placement"
)

// simEvacuations are the evacuation orders of a simulation: a list of sets, of which
// each coordinator applies the newest with the log.
type simEvacuations struct {
	versions [][]string // evacuated data centres after each order
	// bound is how long after its acknowledgement an order may be without effect.
	bound          time.Duration
	acknowledgedAt map[string]time.Duration // of data centres that are evacuated
	disksLost      bool                     // at each end of a coordinator's process
	late           int                      // starts there before the bound
}

// evacuate evacuates data centres and returns the others to service. It is acknowledged
// at once.
func (s *simulation) evacuate(dataCentres ...string) {
	e := &s.evacuations
	e.versions = append(e.versions, dataCentres)
	acknowledged := map[string]time.Duration{}
	for _, name := range dataCentres {
		acknowledged[name] = s.now
		if at, before := e.acknowledgedAt[name]; before {
			acknowledged[name] = at
		}
	}
	e.acknowledgedAt = acknowledged
}

// started records a violation if a start is later than the bound.
func (e *simEvacuations) started(s *simulation, t *simTarget, task string) {
	at, evacuated := e.acknowledgedAt[t.runner.Description.DataCentre]
	if !evacuated {
		return
	}
	if s.now-at > e.bound {
		s.violations = append(s.violations, fmt.Sprintf("task %s starts on %s %s after the order to evacuate", task, t.runner.Description.ID, s.now-at))
	}
	e.late++
}

// startEvacuations passes what a coordinator's disk holds to its new process.
func (s *simulation) startEvacuations(c *simCoordinator) {
	e := &s.evacuations
	if len(e.versions) == 0 {
		return
	}
	if e.disksLost {
		c.evacuationVersion = 0
		s.step(c, placement.EvacuationsChanged{Unknown: true})
		return
	}
	if c.evacuationVersion > 0 {
		s.step(c, placement.EvacuationsChanged{DataCentres: e.versions[c.evacuationVersion-1]})
	}
}

// applyEvacuations passes the newest set to a coordinator.
func (s *simulation) applyEvacuations(c *simCoordinator) {
	if newest := len(s.evacuations.versions); c.evacuationVersion < newest && !c.down {
		c.evacuationVersion = newest
		s.step(c, placement.EvacuationsChanged{DataCentres: slices.Clone(s.evacuations.versions[newest-1])})
	}
}
