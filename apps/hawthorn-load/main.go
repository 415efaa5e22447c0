// Command hawthorn-load runs policy experiments in virtual time and sends load
// to running entry instances.
package main

import (
	"os"
	"runtime"
	"time"

	"github.com/alecthomas/kong"
	"github.com/juju/errors"

	"hawthornshore.example/dispatch"
	"hawthornshore.example/experiment"
)

type commandLine struct {
	Demo       demoCommand       `cmd:"" help:"Submit jobs through running entry instances and check the answers against the targets' start records."`
	HTTP       httpCommand       `cmd:"" name:"http" help:"Send an open-loop load over HTTP to running entry instances."`
	Experiment experimentCommand `cmd:"" help:"Compare policies in virtual time."`
}

type experimentCommand struct {
	Workload  []string      `default:"resin,lanyards" help:"Workloads: resin, lanyards."`
	Scenario  []string      `default:"${scenarios}" help:"Scenarios: ${scenarios}."`
	Policy    []string      `default:"hawthorn,random,least-loaded-of-two" help:"Policies to compare."`
	Seed      uint64        `default:"1" help:"Seed of the arrivals and of all random choices."`
	Seeds     uint64        `default:"1" help:"Number of consecutive seeds to run; the goals are reported as mean and worst."`
	Warmup    time.Duration `default:"60s" help:"Virtual time before the measurement window."`
	Measure   time.Duration `default:"60s" help:"Length of the measurement window."`
	Instances int           `help:"Number of entry instances; 0 uses the workload's number."`
	Targets   int           `help:"Number of targets; 0 uses the workload's number."`
	Parallel  int           `default:"4" help:"Number of concurrent runs."`
	Report    string        `help:"Folder for report.json and the plots." type:"path"`
}

func (c *experimentCommand) Run() error {
	suite := experiment.Suite{
		Scenarios: c.Scenario, Seed: c.Seed, Warmup: c.Warmup, Measure: c.Measure,
		Parallel: min(c.Parallel, runtime.NumCPU()),
	}
	for _, name := range c.Workload {
		w, err := experiment.WorkloadByName(name)
		if err != nil {
			return errors.Trace(err)
		}
		w.Resize(c.Instances, c.Targets)
		suite.Workloads = append(suite.Workloads, w)
	}
	for _, name := range c.Policy {
		suite.Policies = append(suite.Policies, dispatch.Policy(name))
	}
	var goalResults [][]experiment.GoalResult
	for i := range c.Seeds {
		suite.Seed = c.Seed + i
		results, err := suite.Run()
		if err != nil {
			return errors.Trace(err)
		}
		goalResults = append(goalResults, experiment.EvaluateGoals(results))
		if i > 0 {
			continue // the table and the report are those of the first seed
		}
		if err := c.write(results); err != nil {
			return errors.Trace(err)
		}
	}
	return errors.Trace(experiment.WriteSummary(os.Stdout, experiment.Summarize(goalResults)))
}

// write writes the table and, with --report, the report of one seed.
func (c *experimentCommand) write(results []*experiment.Result) error {
	if err := experiment.WriteTable(os.Stdout, results); err != nil {
		return errors.Trace(err)
	}
	if c.Report == "" {
		return nil
	}
	return errors.Trace(experiment.WriteReport(c.Report, results))
}

func main() {
	var cli commandLine
	var scenarios string
	for i, name := range experiment.ScenarioNames() {
		if i > 0 {
			scenarios += ","
		}
		scenarios += name
	}
	ctx := kong.Parse(&cli, kong.Name("hawthorn-load"), kong.Vars{"scenarios": scenarios})
	ctx.FatalIfErrorf(ctx.Run())
}
