package experiment

import (
	"time"

	"github.com/juju/errors"

	"hawthornshore.example/dispatch"
)

// FaultKind is the kind of a fault of targets, instances or callers.
type FaultKind string

// Kinds of faults.
const (
	FaultUnresponsive FaultKind = "die"       // targets stop responding and announcing
	FaultRefuse       FaultKind = "refuse"    // targets' processes end; connections are refused
	FaultLeave        FaultKind = "leave"     // targets announce the state leaving
	FaultSlow         FaultKind = "slow"      // targets run tasks Factor times as long
	FaultFail         FaultKind = "fail"      // targets fail all tasks after a few milliseconds
	FaultOverload     FaultKind = "flood"     // a class offers Factor times the fleet's capacity
	FaultCancel       FaultKind = "cancel"    // callers cancel the fraction Factor of the jobs in flight
	FaultResubmit     FaultKind = "resubmit"  // callers submit the fraction Factor of the jobs twice
	FaultLeaseLoss    FaultKind = "lease"     // one instance loses its lease
	FaultPeerLoss     FaultKind = "peer-loss" // the instances cannot reach each other
)

// Fault is one entry of the fault schedule. Times are relative to the start.
type Fault struct {
	Kind   FaultKind     `json:"kind"`
	At     time.Duration `json:"at"`
	Length time.Duration `json:"length"` // 0: until the end of the run
	Class  int           `json:"class,omitempty"`
	Count  int           `json:"count,omitempty"` // number of affected targets
	Factor float64       `json:"factor,omitempty"`
}

func (f *Fault) covers(since time.Duration) bool {
	return since >= f.At && (f.Length == 0 || since < f.At+f.Length)
}

// Scenario describes one run: a workload, a load, a fault schedule and a
// measurement window.
type Scenario struct {
	Name     string
	Workload Workload
	Policy   dispatch.Policy
	Seed     uint64
	Load     float64       // offered slot time as a fraction of the fleet's slots
	Warmup   time.Duration // not measured
	Measure  time.Duration // jobs sent in this time are measured
	Faults   []Fault
}

// Names of the built-in scenarios.
const (
	Steady              = "steady"
	OverloadLeastUrgent = "flood-least"
	OverloadMostUrgent  = "flood-urgent"
	ThirdOfTargetsLost  = "third-gone"
	BadTargets          = "bad-targets"
	MixedFaults         = "disturbances"
)

// ScenarioNames lists the built-in scenarios.
func ScenarioNames() []string {
	return []string{Steady, OverloadLeastUrgent, OverloadMostUrgent, ThirdOfTargetsLost, BadTargets, MixedFaults}
}

const (
	builtinLoad    = 0.8
	overloadFactor = 10
	// drainTime is long enough for the last measured jobs to reach their deadlines.
	drainTime = 12 * time.Second
)

// NewScenario returns a built-in scenario at 80% load.
func NewScenario(name string, w Workload, policy dispatch.Policy, seed uint64, warmup, measure time.Duration) (Scenario, error) {
	s := Scenario{
		Name: name, Workload: w, Policy: policy, Seed: seed, Load: builtinLoad, Warmup: warmup, Measure: measure,
	}
	third := (w.Targets + 2) / 3
	switch name {
	case Steady:
	case OverloadLeastUrgent:
		s.Faults = []Fault{{Kind: FaultOverload, At: warmup, Length: measure, Class: len(w.Classes) - 1, Factor: overloadFactor}}
	case OverloadMostUrgent:
		s.Faults = []Fault{{Kind: FaultOverload, At: warmup, Length: measure, Class: 0, Factor: overloadFactor}}
	case ThirdOfTargetsLost:
		// The targets fail before the measurement window; the scenario
		// disturbances covers the time of the failure itself.
		s.Faults = []Fault{{Kind: FaultRefuse, At: warmup - warmup/10, Count: third}}
	case BadTargets:
		s.Faults = []Fault{
			{Kind: FaultSlow, At: warmup, Count: 1, Factor: 5},
			{Kind: FaultFail, At: warmup, Count: 1},
		}
	case MixedFaults:
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
