package experiment

import (
	"fmt"
	"time"

	"hawthornshore.example/structs"
)

// Bounds of section 3 of the design page.
const (
	MaxMedianRatio        = 1.05
	MaxP99Ratio           = 1.5
	MaxWastedPerStart     = 0.05
	MinOverloadThroughput = 0.95
	MaxOverloadP99Ratio   = 1.5
	MaxRefusalTime        = refusalLimit
	orderTolerance        = 0.01 // part of a class's jobs by which an order of service may look reversed
	refusalQuantile       = 100  // every refusal must be in time
	percentileOfTheP99    = 99
)

// GoalResult says whether one goal is reached.
type GoalResult struct {
	Workload string  `json:"workload"`
	Policy   string  `json:"policy"`
	Goal     string  `json:"goal"`
	Value    float64 `json:"value"`
	Bound    float64 `json:"bound"`
	AtLeast  bool    `json:"at_least"` // the bound is a minimum
	Met      bool    `json:"met"`
}

func (v GoalResult) String() string {
	sign, met := "<=", "reached"
	if v.AtLeast {
		sign = ">="
	}
	if !v.Met {
		met = "missed"
	}
	return fmt.Sprintf("%s %s: %s = %.4f, bound %s %.4f: %s", v.Workload, v.Policy, v.Goal, v.Value, sign, v.Bound, met)
}

// judge collects the verdicts of one workload and policy.
type judge struct {
	workload, policy string
	verdicts         []GoalResult
}

func (j *judge) atMost(goal string, value, bound float64) {
	j.verdicts = append(j.verdicts, GoalResult{
		Workload: j.workload, Policy: j.policy, Goal: goal, Value: value, Bound: bound, Met: value <= bound,
	})
}

func (j *judge) atLeast(goal string, value, bound float64) {
	j.verdicts = append(j.verdicts, GoalResult{
		Workload: j.workload, Policy: j.policy, Goal: goal, Value: value, Bound: bound, AtLeast: true, Met: value >= bound,
	})
}

// EvaluateGoals compares the results of a suite with the goals. The floods are compared
// with the steady run of the same workload and policy.
func EvaluateGoals(results []*Result) []GoalResult {
	var verdicts []GoalResult
	for _, steady := range results {
		if steady.Scenario != Steady {
			continue
		}
		j := &judge{workload: steady.Workload, policy: steady.Policy}
		j.atMost("steady: median response over ideal", steady.All.RatioQuantile(50), MaxMedianRatio)
		j.atMost("steady: p99 response over ideal", steady.All.RatioQuantile(percentileOfTheP99), MaxP99Ratio)
		for _, res := range results {
			if res.Workload == steady.Workload && res.Policy == steady.Policy {
				j.scenario(res, steady)
			}
		}
		verdicts = append(verdicts, j.verdicts...)
	}
	return verdicts
}

func (j *judge) scenario(res, steady *Result) {
	j.atMost(res.Scenario+": wasted messages per start", res.Messages.WastedPerStart(), MaxWastedPerStart)
	j.atMost(res.Scenario+": violations of guarantees", float64(len(res.Violations)), 0)
	switch res.Scenario {
	case OverloadLeastUrgent, OverloadMostUrgent:
		for i, c := range res.Classes {
			if c.Flooded {
				continue
			}
			base := steady.Classes[i]
			j.atLeast(res.Scenario+": kept throughput of "+c.Class, c.Throughput()/base.Throughput(), MinOverloadThroughput)
			j.atMost(res.Scenario+": p99 over no flood of "+c.Class,
				c.RatioQuantile(percentileOfTheP99)/base.RatioQuantile(percentileOfTheP99), MaxOverloadP99Ratio)
		}
	case ThirdGone:
		for i := 1; i < len(res.Classes); i++ {
			ahead, behind := res.Classes[i-1], res.Classes[i]
			j.atLeast(res.Scenario+": completed part of "+ahead.Class+" over "+behind.Class,
				ahead.CompletedFraction()-behind.CompletedFraction(), -orderTolerance)
		}
		j.atMost(res.Scenario+": part of refusals later than 10 ms", res.All.lateRefusals(), 0)
		j.atMost(res.Scenario+": longest refusal in ms", milliseconds(res.All.RefusalQuantile(refusalQuantile)), milliseconds(MaxRefusalTime))
	}
}

// lateRefusals returns the part of the jobs that neither completed nor were
// refused in time.
func (c *ClassResult) lateRefusals() float64 {
	missed := c.Sent - c.Outcomes[structs.OutcomeComplete]
	if missed == 0 {
		return 0
	}
	return float64(c.Late) / float64(missed)
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
