package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/juju/errors"

	"hawthornshore.example/experiment"
)

// httpCommand sends an open-loop load to running entry instances.
type httpCommand struct {
	Entry       []string      `required:"" help:"Entry instances as HOST:PORT."`
	DataCentre  string        `required:"" help:"Home data centre of the jobs."`
	Workload    string        `default:"lanyards" help:"Workload: resin, lanyards."`
	Classes     []string      `help:"Class names by rank, if the configuration uses other names than the workload."`
	Tenants     []string      `help:"Tenant names, if the configuration uses other names than the workload."`
	Targets     int           `help:"Number of targets that the rate is based on; 0 uses the workload's number."`
	Tasks       int           `help:"Tasks per job; 0 samples the number from the workload."`
	TaskRun     time.Duration `name:"run" default:"50ms" help:"Run time of every task, with --tasks."`
	Load        float64       `default:"0.8" help:"Offered load as a share of all slots."`
	Duration    time.Duration `default:"10s" help:"Time during which jobs are sent; at most 10m."`
	Seed        uint64        `default:"1" help:"Seed of the arrivals and sizes."`
	MaxInFlight int           `default:"2000" help:"Maximum number of unanswered jobs."`
	Report      string        `help:"Folder for report.json and the plots." type:"path"`
}

// maxDuration bounds the time for which one command sends load.
const maxDuration = 10 * time.Minute

// Run is called by kong.
func (c *httpCommand) Run() error {
	w, err := experiment.WorkloadByName(c.Workload)
	if err != nil {
		return errors.Trace(err)
	}
	if err := w.Rename(c.Classes, c.Tenants); err != nil {
		return errors.Trace(err)
	}
	if c.Tasks > 0 {
		if err := w.FixTasks(c.Tasks, c.TaskRun); err != nil {
			return errors.Trace(err)
		}
	}
	w.Resize(0, c.Targets)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	result, err := experiment.GenerateLoad(ctx, &experiment.LoadOptions{
		Workload: w, DataCentre: c.DataCentre, Entries: c.Entry, Load: c.Load,
		Duration: min(c.Duration, maxDuration), Seed: c.Seed, MaxInFlight: c.MaxInFlight,
	})
	if err != nil {
		return errors.Annotate(err, "send load")
	}
	results := []*experiment.Result{result.Result}
	if err := experiment.WriteTable(os.Stdout, results); err != nil {
		return errors.Trace(err)
	}
	fmt.Printf("not_sent=%d errors=%d wrong_id=%d outcomes=%v reasons=%v\n",
		result.NotSent, result.Errors, result.WrongID, result.All.Outcomes, result.All.Reasons)
	if c.Report == "" {
		return nil
	}
	return errors.Trace(experiment.WriteReport(c.Report, results))
}
