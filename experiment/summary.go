package experiment

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/juju/errors"
)

// Summary aggregates one goal over the runs with several seeds.
type Summary struct {
	GoalResult         // result of the first seed
	Mean       float64 `json:"mean"`
	Worst      float64 `json:"worst"`
	Reached    int     `json:"reached"` // number of seeds that reach the goal
	Seeds      int     `json:"seeds"`
}

// Summarize groups the results of several seeds by goal, in the order of the first
// seed.
func Summarize(bySeed [][]GoalResult) []Summary {
	type key struct{ workload, policy, goal string }
	index := make(map[key]int)
	var out []Summary
	for _, goalResults := range bySeed {
		for _, v := range goalResults {
			k := key{v.Workload, v.Policy, v.Goal}
			i, known := index[k]
			if !known {
				i = len(out)
				index[k] = i
				out = append(out, Summary{GoalResult: v, Worst: v.Value})
			}
			out[i].add(v)
		}
	}
	return out
}

func (s *Summary) add(v GoalResult) {
	s.Mean = (s.Mean*float64(s.Seeds) + v.Value) / float64(s.Seeds+1)
	s.Seeds++
	if v.Met {
		s.Reached++
	}
	if v.AtLeast {
		s.Worst = min(s.Worst, v.Value)
	} else {
		s.Worst = max(s.Worst, v.Value)
	}
}

// WriteSummary writes the goals with their mean and worst values.
func WriteSummary(w io.Writer, summaries []Summary) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "workload\tpolicy\tgoal\tmean\tworst\tbound\treached")
	for _, s := range summaries {
		sign := "<="
		if s.AtLeast {
			sign = ">="
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%.4f\t%.4f\t%s %.2f\t%d of %d\n",
			s.Workload, s.Policy, s.Goal, s.Mean, s.Worst, sign, s.Bound, s.Reached, s.Seeds)
	}
	return errors.Annotate(t.Flush(), "write summary")
}
