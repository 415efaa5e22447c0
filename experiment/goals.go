package experiment

import (
	"fmt"
	"time"

	"hawthornshore.example/structs"
)

// Bounds of section 3 of docs/design.md.
const (
	MaxMedianRatio        = 1.05
	MaxP99Ratio           = 1.5
	MaxWastedPerStart     = 0.05
	MinOverloadThroughput = 0.95
	MaxOverloadP99Ratio   = 1.5
	MaxRefusalTime        = refusalTimeLimit
	orderTolerance        = 0.01 // fraction of a class's jobs by which a lower class may complete more
	maxQuantile           = 100  // the bound holds for every refusal
	p99Quantile           = 99
)

// GoalResult is the result of one goal.
type GoalResult struct {
	Workload string  `json:"workload"`
	Policy   string  `json:"policy"`
	Goal     string  `json:"goal"`
	Value    float64 `json:"value"`
	Bound    float64 `json:"bound"`
	AtLeast  bool    `json:"at_least"` // the bound is a minimum
	Met      bool    `json:"met"`
}

func (g GoalResult) String() string {
	sign, outcome := "<=", "reached"
	if g.AtLeast {
		sign = ">="
	}
	if !g.Met {
		outcome = "missed"
	}
	return fmt.Sprintf("%s %s: %s = %.4f, bound %s %.4f: %s", g.Workload, g.Policy, g.Goal, g.Value, sign, g.Bound, outcome)
}

// goalEvaluator collects the goal results of one workload and policy.
type goalEvaluator struct {
	workload, policy string
	results          []GoalResult
}

func (e *goalEvaluator) atMost(goal string, value, bound float64) {
	e.results = append(e.results, GoalResult{
		Workload: e.workload, Policy: e.policy, Goal: goal, Value: value, Bound: bound, Met: value <= bound,
	})
}

func (e *goalEvaluator) atLeast(goal string, value, bound float64) {
	e.results = append(e.results, GoalResult{
		Workload: e.workload, Policy: e.policy, Goal: goal, Value: value, Bound: bound, AtLeast: true, Met: value >= bound,
	})
}

// EvaluateGoals compares the results of a suite with the goals. The overload
// scenarios are compared with the steady run of the same workload and policy.
func EvaluateGoals(results []*Result) []GoalResult {
	var goalResults []GoalResult
	for _, steady := range results {
		if steady.Scenario != Steady {
			continue
		}
		e := &goalEvaluator{workload: steady.Workload, policy: steady.Policy}
		e.atMost("steady: median response over ideal", steady.All.RatioQuantile(50), MaxMedianRatio)
		e.atMost("steady: p99 response over ideal", steady.All.RatioQuantile(p99Quantile), MaxP99Ratio)
		for _, res := range results {
			if res.Workload == steady.Workload && res.Policy == steady.Policy {
				e.evaluateScenario(res, steady)
			}
		}
		goalResults = append(goalResults, e.results...)
	}
	return goalResults
}

func (e *goalEvaluator) evaluateScenario(res, steady *Result) {
	e.atMost(res.Scenario+": wasted messages per start", res.Messages.WastedPerStart(), MaxWastedPerStart)
	e.atMost(res.Scenario+": violations of guarantees", float64(len(res.Violations)), 0)
	switch res.Scenario {
	case OverloadLeastUrgent, OverloadMostUrgent:
		for i, c := range res.Classes {
			if c.Flooded {
				continue
			}
			base := steady.Classes[i]
			e.atLeast(res.Scenario+": kept throughput of "+c.Class, c.Throughput()/base.Throughput(), MinOverloadThroughput)
			e.atMost(res.Scenario+": p99 over no flood of "+c.Class,
				c.RatioQuantile(p99Quantile)/base.RatioQuantile(p99Quantile), MaxOverloadP99Ratio)
		}
	case ThirdOfTargetsLost:
		for i := 1; i < len(res.Classes); i++ {
			higher, lower := res.Classes[i-1], res.Classes[i]
			e.atLeast(res.Scenario+": completed part of "+higher.Class+" over "+lower.Class,
				higher.CompletedFraction()-lower.CompletedFraction(), -orderTolerance)
		}
		e.atMost(res.Scenario+": part of refusals later than 10 ms", res.All.lateRefusalFraction(), 0)
		e.atMost(res.Scenario+": longest refusal in ms", milliseconds(res.All.RefusalQuantile(maxQuantile)), milliseconds(MaxRefusalTime))
	}
}

// lateRefusalFraction returns the fraction of the incomplete jobs that were not
// refused in time.
func (c *ClassResult) lateRefusalFraction() float64 {
	incomplete := c.Sent - c.Outcomes[structs.OutcomeComplete]
	if incomplete == 0 {
		return 0
	}
	return float64(c.Late) / float64(incomplete)
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
