// Command hawthorn-platform runs hawthornshore on the users' platform, as a
// gateway for callers or as a coordinator for targets and operators.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
)

// arguments is the command line.
type arguments struct {
	Gateway     gatewayCommand     `cmd:"" help:"Serve callers: accept jobs and forward them to coordinators."`
	Coordinator coordinatorCommand `cmd:"" help:"Serve targets and operators: store the configuration and place tasks."`
	Check       checkCommand       `cmd:"" help:"Check the settings file, report errors and exit."`
}

// stopSignal holds the context that ends on SIGTERM or SIGINT.
type stopSignal struct{ context.Context }

func main() {
	// The platform may stop a process within milliseconds of its start; without a
	// handler the signal would end it.
	stopping, release := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer release()
	var args arguments
	command := kong.Parse(&args,
		kong.Name("hawthorn-platform"),
		kong.Description("Runs hawthornshore on the users' platform. The path of the settings file is taken from the environment."))
	if err := command.Run(stopSignal{stopping}); err != nil {
		release()
		fmt.Fprintln(os.Stderr, "hawthorn-platform:", err)
		os.Exit(1)
	}
}
