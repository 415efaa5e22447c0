package cli

import (
	"context"
	"fmt"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"hawthornshore.example/apps/hawthornctl/internal/api"
)

// commands is the command line.
type commands struct {
	global

	Config  configCommands `cmd:"" help:"Check, compare, apply and show settings."`
	Status  statusCommand  `cmd:"" help:"Show the state of the addressed instances."`
	Members membersCommand `cmd:"" help:"List the instances that an instance knows."`
	Targets targetsCommand `cmd:"" help:"List the targets that the addressed instances know."`
	Classes classesCommand `cmd:"" help:"Show load, learned run times and slots by class."`
	Job     jobCommands    `cmd:"" help:"Submit, query and cancel jobs."`
	Drain   drainCommand   `cmd:"" help:"Stop one instance gracefully."`
}

type configCommands struct {
	Check   configCheckCommand   `cmd:"" help:"Check a folder of settings without any instance."`
	Diff    configDiffCommand    `cmd:"" help:"Compare a folder with the configuration in force."`
	Apply   configApplyCommand   `cmd:"" help:"Put a folder in force if nobody else has changed the configuration."`
	Show    configShowCommand    `cmd:"" help:"Show the configuration in force as an INI file."`
	History configHistoryCommand `cmd:"" help:"List applied changes, newest first."`
	Keys    configKeysCommand    `cmd:"" help:"Describe all keys of settings."`
}

type jobCommands struct {
	Submit jobSubmitCommand `cmd:"" help:"Submit a job and wait for its answer."`
	Get    jobGetCommand    `cmd:"" help:"Query a job by its ID."`
	Cancel jobCancelCommand `cmd:"" help:"Cancel a job by its ID."`
}

// environment is what commands run with.
type environment struct {
	ctx     context.Context
	client  *api.Client
	print   *printer
	global  *global
	streams Streams
}

// warn writes a line to the error stream.
func (e *environment) warn(format string, args ...any) {
	fmt.Fprintf(e.streams.Err, "hawthornctl: "+format+"\n", args...)
}

const description = `Command-line tool of hawthornshore for operators and for submitting jobs.

A first session:
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
	err = runSelected(selected, &line.global, streams)
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

func runSelected(selected *kong.Context, flags *global, streams Streams) error {
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
		global:  flags,
		streams: streams,
	})
}
