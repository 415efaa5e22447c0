package cli

import (
	"context"
	"fmt"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"hawthornshore.example/apps/hawthornctl/internal/api"
)

// commands are the global flags and the commands.
type commands struct {
	globalFlags

	Config  configCommands `cmd:"" help:"Check, compare, apply and show settings."`
	Status  statusCommand  `cmd:"" help:"Show the state of the addressed instances."`
	Members membersCommand `cmd:"" help:"List the entry instances as seen by one instance."`
	Targets targetsCommand `cmd:"" help:"List the targets known to the addressed instances."`
	Classes classesCommand `cmd:"" help:"Show load, estimated run times and slots by class."`
	Job     jobCommands    `cmd:"" help:"Submit, query and cancel jobs."`
	Drain   drainCommand   `cmd:"" help:"Stop one instance gracefully."`

	Deployment deploymentCommands `cmd:"" help:"Show the state of coordinators on the users' platform."`
}

type deploymentCommands struct {
	Evacuations deploymentEvacuationsCommand `cmd:"" help:"List the evacuated data centres known to the addressed coordinators."`
}

type configCommands struct {
	Check   configCheckCommand   `cmd:"" help:"Check a settings folder without contacting an instance."`
	Diff    configDiffCommand    `cmd:"" help:"Compare a folder with the configuration in force."`
	Apply   configApplyCommand   `cmd:"" help:"Apply a folder unless the configuration has changed since the expected version."`
	Show    configShowCommand    `cmd:"" help:"Show the configuration in force as an INI file."`
	History configHistoryCommand `cmd:"" help:"List applied changes, newest first."`
	Keys    configKeysCommand    `cmd:"" help:"List all settings keys."`
}

type jobCommands struct {
	Submit jobSubmitCommand `cmd:"" help:"Submit a job and wait for its answer."`
	Get    jobGetCommand    `cmd:"" help:"Query a job by its ID."`
	Cancel jobCancelCommand `cmd:"" help:"Cancel a job by its ID."`
}

// environment is the context that kong passes to the commands.
type environment struct {
	ctx     context.Context
	client  *api.Client
	print   *printer
	flags   *globalFlags
	streams Streams
}

// warn writes a line to the error stream.
func (e *environment) warn(format string, args ...any) {
	fmt.Fprintf(e.streams.Err, "hawthornctl: "+format+"\n", args...)
}

const description = `Command-line client of hawthornshore for operators and for submitting jobs.

Getting started:
  hawthornctl config check examples/resin/system
  hawthornctl config diff examples/resin/system
  hawthornctl config apply examples/resin/system --expect-version 4 --wait

` + exitHelp

// Run runs one command line and returns the exit code.
func Run(args []string, streams Streams) int {
	var line commands
	exited := -1
	parser, err := newParser(&line, streams, func(code int) { exited = code })
	if err != nil {
		fmt.Fprintf(streams.Err, "hawthornctl: %v\n", err)
		return int(ExitError)
	}
	selected, err := parser.Parse(args)
	if exited >= 0 {
		return exited // help was printed
	}
	if err != nil {
		fmt.Fprintf(streams.Err, "hawthornctl: %v\nTry: hawthornctl --help\n", err)
		return int(ExitUsage)
	}
	err = runSelected(selected, &line.globalFlags, streams)
	if err != nil {
		fmt.Fprintf(streams.Err, "hawthornctl: %v\n", err)
	}
	return int(exitCode(err))
}

func newParser(line *commands, streams Streams, exit func(code int)) (*kong.Kong, error) {
	return kong.New(line,
		kong.Name("hawthornctl"),
		kong.Description(description),
		kong.Writers(streams.Out, streams.Err),
		kong.Exit(exit),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true, WrapUpperBound: 110}),
	)
}

func runSelected(selected *kong.Context, flags *globalFlags, streams Streams) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	client, err := flags.client()
	if err != nil {
		return err
	}
	return selected.Run(&environment{
		ctx:     ctx,
		client:  client,
		print:   &printer{out: streams.Out, json: flags.JSON, header: !flags.NoHeader},
		flags:   flags,
		streams: streams,
	})
}
