package experiment

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"text/tabwriter"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
	"github.com/juju/errors"

	"hawthornshore.example/structs"
)

// WriteTable writes a table of the results by class and policy.
func WriteTable(w io.Writer, results []*Result) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "workload\tscenario\tclass\tpolicy\tsent\tcomplete\tper s\tp50/ideal\tp99/ideal\tkept\tp99/steady\tnot-run\tlate\twasted/start")
	for _, res := range results {
		steady := findResult(results, res.Workload, Steady, res.Policy)
		for i, c := range append(res.Classes[:len(res.Classes):len(res.Classes)], res.All) {
			throughputKept, p99Growth := "-", "-"
			if steady != nil && i < len(res.Classes) && !c.Flooded {
				base := steady.Classes[i]
				throughputKept = fmt.Sprintf("%.3f", c.Throughput()/base.Throughput())
				p99Growth = fmt.Sprintf("%.2f", c.RatioQuantile(99)/base.RatioQuantile(99))
			}
			name := c.Class
			if c.Flooded {
				name += " (flood)"
			}
			fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%d\t%.4f\t%.1f\t%.3f\t%.3f\t%s\t%s\t%d\t%d\t%.4f\n",
				res.Workload, res.Scenario, name, res.Policy, c.Sent, c.CompletedFraction(), c.Throughput(),
				c.RatioQuantile(50), c.RatioQuantile(99), throughputKept, p99Growth, c.Outcomes[structs.OutcomeNotRun], c.Late,
				res.Messages.WastedPerStart())
		}
	}
	return errors.Annotate(t.Flush(), "write table")
}

func findResult(results []*Result, workload, scenario, policy string) *Result {
	for _, res := range results {
		if res.Workload == workload && res.Scenario == scenario && res.Policy == policy {
			return res
		}
	}
	return nil
}

// Bucket is one non-empty value range of a histogram.
type Bucket struct {
	From  int64 `json:"from"`
	To    int64 `json:"to"`
	Count int64 `json:"count"`
}

func histogramBuckets(h *hdr.Histogram) []Bucket {
	var out []Bucket
	for _, b := range h.Distribution() {
		if b.Count > 0 {
			out = append(out, Bucket{From: b.From, To: b.To, Count: b.Count})
		}
	}
	return out
}

// MarshalJSON adds the histograms and their p50 and p99.
func (c *ClassResult) MarshalJSON() ([]byte, error) {
	type plain ClassResult
	return json.Marshal(struct {
		*plain
		Completed  float64  `json:"completed"`
		Throughput float64  `json:"throughput_per_s"`
		P50        float64  `json:"p50_ratio"`
		P99        float64  `json:"p99_ratio"`
		Ratios     []Bucket `json:"ratio_thousandths"`
		Responses  []Bucket `json:"response_us"`
		Refusals   []Bucket `json:"refusal_us"`
	}{
		(*plain)(c), c.CompletedFraction(), c.Throughput(), c.RatioQuantile(50), c.RatioQuantile(99),
		histogramBuckets(c.Ratio), histogramBuckets(c.Response), histogramBuckets(c.Refusal),
	})
}

// Report is the content of report.json.
type Report struct {
	Results  []*Result    `json:"results"`
	Verdicts []GoalResult `json:"verdicts"`
}

// WriteReport writes report.json and the plots into a folder.
func WriteReport(folder string, results []*Result) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return errors.Annotate(err, "create report folder")
	}
	body, err := json.Marshal(Report{Results: results, Verdicts: EvaluateGoals(results)})
	if err != nil {
		return errors.Annotate(err, "encode report")
	}
	if err := os.WriteFile(filepath.Join(folder, "report.json"), body, 0o644); err != nil {
		return errors.Annotate(err, "write report")
	}
	return writePlots(folder, results)
}
