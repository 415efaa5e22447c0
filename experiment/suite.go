package experiment

import (
	"time"

	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"hawthornshore.example/dispatch"
)

// Suite selects the runs of an experiment: every workload under every scenario
// with every policy. All runs have the same arrivals.
type Suite struct {
	Workloads []Workload
	Scenarios []string
	Policies  []dispatch.Policy
	Seed      uint64
	Warmup    time.Duration
	Measure   time.Duration
	Parallel  int // number of concurrent runs, at least 1
}

// Policies returns all policies that an experiment can compare.
func Policies() []dispatch.Policy {
	return []dispatch.Policy{dispatch.PolicyHawthorn, dispatch.PolicyRandom, dispatch.PolicyTwoChoices}
}

// WorkloadByName returns the built-in workload with the given name.
func WorkloadByName(name string) (Workload, error) {
	for _, w := range []Workload{Resin(), Lanyards()} {
		if w.Name == name {
			return w, nil
		}
	}
	return Workload{}, errors.NotFoundf("workload %q", name)
}

// Run executes all runs and returns the results ordered by workload, scenario and
// policy.
func (s *Suite) Run() ([]*Result, error) {
	var scenarios []Scenario
	for _, w := range s.Workloads {
		for _, name := range s.Scenarios {
			for _, p := range s.Policies {
				sc, err := NewScenario(name, w, p, s.Seed, s.Warmup, s.Measure)
				if err != nil {
					return nil, errors.Annotate(err, "create scenario")
				}
				scenarios = append(scenarios, sc)
			}
		}
	}
	results := make([]*Result, len(scenarios))
	var group errgroup.Group
	group.SetLimit(max(1, s.Parallel))
	for i := range scenarios {
		group.Go(func() error {
			results[i] = Run(&scenarios[i])
			return nil
		})
	}
	_ = group.Wait() // the runs return no errors
	return results, nil
}
