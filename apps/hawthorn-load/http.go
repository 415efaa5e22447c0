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
	DataCentre  string        `required:"" help:"Home of the jobs."`
	Workload    string        `default:"lanyards" help:"Workload: resin, lanyards."`
	Classes     []string      `help:"Names for the workload's classes, by rank, if the configuration has others."`
	Tenants     []string      `help:"Names of tenants, if the configuration has others."`
	Targets     int           `help:"Targets that the rate is based on; 0 is the workload's number."`
	Tasks       int           `help:"Tasks of every job; 0 draws them from the workload."`
	TaskRun     time.Duration `name:"run" default:"50ms" help:"Run time of every task, with --tasks."`
	Load        float64       `default:"0.8" help:"Offered slot time over all slots."`
	Duration    time.Duration `default:"10s" help:"Time during which jobs are sent; at most 10m."`
	Seed        uint64        `default:"1" help:"Seed of the arrivals and sizes."`
	MaxInFlight int           `default:"2000" help:"Most unanswered jobs."`
	Report      string        `help:"Folder for report.json and the plots." type:"path"`
}

// maxDuration bounds the load that one command sends.
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
