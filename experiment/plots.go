package experiment

import (
	"math"
	"path/filepath"

	"github.com/juju/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
	barWidth   = 14 * vg.Millimeter / 2
)

// writePlots plots, per workload and scenario, the distribution of response time
// over ideal and the completed fraction of each class, for all policies.
func writePlots(folder string, results []*Result) error {
	seen := make(map[string]bool)
	for _, res := range results {
		name := res.Workload + "-" + res.Scenario
		if seen[name] {
			continue
		}
		seen[name] = true
		var group []*Result
		for _, other := range results {
			if other.Workload == res.Workload && other.Scenario == res.Scenario {
				group = append(group, other)
			}
		}
		if err := plotRatios(filepath.Join(folder, name+"-response.svg"), name, group); err != nil {
			return errors.Annotatef(err, "plot responses of %s", name)
		}
		if err := plotCompleted(filepath.Join(folder, name+"-completed.svg"), name, group); err != nil {
			return errors.Annotatef(err, "plot completed jobs of %s", name)
		}
	}
	return nil
}

func plotRatios(file, name string, group []*Result) error {
	p := plot.New()
	p.Title.Text = name + ": response time over ideal, completed jobs"
	p.X.Label.Text = "response time / ideal"
	p.X.Scale = plot.LogScale{}
	p.X.Tick.Marker = plot.LogTicks{Prec: -1}
	p.Y.Label.Text = "fraction of the jobs"
	var lines []any
	for _, res := range group {
		points := cumulative(res.All)
		if len(points) > 1 {
			lines = append(lines, res.Policy, points)
		}
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return errors.Trace(err)
	}
	p.Legend.Top = false
	return errors.Trace(p.Save(plotWidth, plotHeight, file))
}

// cumulative returns the cumulative distribution of the ratio.
func cumulative(c *ClassResult) plotter.XYs {
	var points plotter.XYs
	sum := int64(0)
	for _, b := range histogramBuckets(c.Ratio) {
		sum += b.Count
		points = append(points, plotter.XY{
			X: math.Max(1, float64(b.To)/ratioUnit),
			Y: float64(sum) / float64(c.Ratio.TotalCount()),
		})
	}
	return points
}

func plotCompleted(file, name string, group []*Result) error {
	p := plot.New()
	p.Title.Text = name + ": completed fraction of the jobs"
	p.Y.Min, p.Y.Max = 0, 1
	for i, res := range group {
		var values plotter.Values
		var labels []string
		for _, c := range res.Classes {
			values = append(values, c.CompletedFraction())
			labels = append(labels, c.Class)
		}
		chart, err := plotter.NewBarChart(values, barWidth)
		if err != nil {
			return errors.Trace(err)
		}
		chart.Color = plotutil.Color(i)
		chart.Offset = barWidth * vg.Length(2*i-len(group)+1) / 2
		p.Add(chart)
		p.Legend.Add(res.Policy, chart)
		p.NominalX(labels...)
	}
	p.Legend.Top = true
	return errors.Trace(p.Save(plotWidth, plotHeight, file))
}
