// Command hawthorn-load runs policy experiments in virtual time and sends load
// to running entry instances.
package main

import (
	"fmt"
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
	Workload []string      `default:"resin,lanyards" help:"Workloads: resin, lanyards."`
	Scenario []string      `default:"${scenarios}" help:"Scenarios: ${scenarios}."`
	Policy   []string      `default:"hawthorn,random,least-loaded-of-two" help:"Policies to compare."`
	Seed     uint64        `default:"1" help:"Seed of the arrivals and of all random choices."`
	Warmup   time.Duration `default:"60s" help:"Virtual time before the measured window."`
	Measure  time.Duration `default:"60s" help:"Length of the measured window."`
	Parallel int           `default:"4" help:"Runs at once."`
	Report   string        `help:"Folder for report.json and the plots." type:"path"`
}

func (c *experimentCommand) Run() error {
	suite := experiment.Suite{
		Scenarios: c.Scenario, Seed: c.Seed, Warmup: c.Warmup, Measure: c.Measure,
		Parallel: min(c.Parallel, runtime.NumCPU()),
	}
	for _, name := range c.Workload {
		w, err := experiment.WorkloadNamed(name)
		if err != nil {
			return errors.Trace(err)
		}
		suite.Workloads = append(suite.Workloads, w)
	}
	for _, name := range c.Policy {
		suite.Policies = append(suite.Policies, dispatch.Policy(name))
	}
	results, err := suite.Run()
	if err != nil {
		return errors.Trace(err)
	}
	if err := experiment.WriteTable(os.Stdout, results); err != nil {
		return errors.Trace(err)
	}
	for _, v := range experiment.Judge(results) {
		if v.Policy == string(dispatch.PolicyHawthorn) {
			fmt.Println(v)
		}
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
