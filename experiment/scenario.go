package experiment

import (
	"time"

	"github.com/juju/errors"

	"hawthornshore.example/dispatch"
)

// FaultKind names what happens to the fleet or to the callers.
type FaultKind string

// Kinds of faults.
const (
	FaultUnresponsive FaultKind = "die"       // targets stop answering and announcing
	FaultRefuse       FaultKind = "refuse"    // targets' processes end; connections are refused
	FaultLeave        FaultKind = "leave"     // targets announce that they leave
	FaultSlow         FaultKind = "slow"      // targets run Factor times as long
	FaultFail         FaultKind = "fail"      // targets fail everything after a few milliseconds
	FaultOverload     FaultKind = "flood"     // a class offers Factor times the capacity
	FaultCancel       FaultKind = "cancel"    // callers cancel Factor of the jobs in flight
	FaultResubmit     FaultKind = "resubmit"  // callers send Factor of the jobs twice
	FaultLeaseLoss    FaultKind = "lease"     // an instance lacks its lease
	FaultPeerLoss     FaultKind = "peer-loss" // the instances do not reach each other
)

// Fault is one entry of the fault timetable, in time since the start.
type Fault struct {
	Kind   FaultKind     `json:"kind"`
	At     time.Duration `json:"at"`
	Length time.Duration `json:"length"` // 0 means to the end
	Class  int           `json:"class,omitempty"`
	Count  int           `json:"count,omitempty"` // targets concerned
	Factor float64       `json:"factor,omitempty"`
}

func (f *Fault) covers(since time.Duration) bool {
	return since >= f.At && (f.Length == 0 || since < f.At+f.Length)
}

// Scenario is one run: a workload, a load, a fault timetable and a window that
// is measured.
type Scenario struct {
	Name     string
	Workload Workload
	Policy   dispatch.Policy
	Seed     uint64
	Load     float64       // offered slot time over the slots of the whole fleet
	Warmup   time.Duration // not measured
	Measure  time.Duration // jobs sent in this time are measured
	Faults   []Fault
}

// Names of the built-in scenarios.
const (
	Steady              = "steady"
	OverloadLeastUrgent = "flood-least"
	OverloadMostUrgent  = "flood-urgent"
	ThirdGone           = "third-gone"
	BadTargets          = "bad-targets"
	Disturbances        = "disturbances"
)

// ScenarioNames lists the built-in scenarios.
func ScenarioNames() []string {
	return []string{Steady, OverloadLeastUrgent, OverloadMostUrgent, ThirdGone, BadTargets, Disturbances}
}

const (
	goalLoad    = 0.8
	floodFactor = 10
	// drainTime lets the last measured jobs reach their deadlines.
	drainTime = 12 * time.Second
)

// NewScenario returns a built-in scenario at 80% load.
func NewScenario(name string, w Workload, policy dispatch.Policy, seed uint64, warmup, measure time.Duration) (Scenario, error) {
	s := Scenario{
		Name: name, Workload: w, Policy: policy, Seed: seed, Load: goalLoad, Warmup: warmup, Measure: measure,
	}
	third := (w.Targets + 2) / 3
	switch name {
	case Steady:
	case OverloadLeastUrgent:
		s.Faults = []Fault{{Kind: FaultOverload, At: warmup, Length: measure, Class: len(w.Classes) - 1, Factor: floodFactor}}
	case OverloadMostUrgent:
		s.Faults = []Fault{{Kind: FaultOverload, At: warmup, Length: measure, Class: 0, Factor: floodFactor}}
	case ThirdGone:
		// The third is gone before the measured window; the moment of the loss
		// belongs to the scenario with disturbances.
		s.Faults = []Fault{{Kind: FaultRefuse, At: warmup - warmup/10, Count: third}}
	case BadTargets:
		s.Faults = []Fault{
			{Kind: FaultSlow, At: warmup, Count: 1, Factor: 5},
			{Kind: FaultFail, At: warmup, Count: 1},
		}
	case Disturbances:
		s.Faults = []Fault{
			{Kind: FaultUnresponsive, At: warmup + measure/10, Length: measure / 5, Count: 2},
			{Kind: FaultLeave, At: warmup + 3*measure/10, Length: measure / 5, Count: 2},
			{Kind: FaultCancel, At: warmup + measure/2, Factor: 0.8},
			{Kind: FaultResubmit, At: warmup + measure/2, Length: measure / 10, Factor: 0.5},
			{Kind: FaultPeerLoss, At: warmup + 6*measure/10, Length: measure / 10},
			{Kind: FaultSlow, At: warmup + 7*measure/10, Length: measure / 5, Count: 1, Factor: 8},
			{Kind: FaultLeaseLoss, At: warmup + 9*measure/10, Length: measure / 50},
		}
	default:
		return Scenario{}, errors.NotFoundf("scenario %q", name)
	}
	return s, nil
}
