// Command hawthorn-platform runs hawthornshore on the users' platform, as a
// gateway for callers or as a coordinator for targets and operators.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"
)

// arguments is the command line.
type arguments struct {
	Gateway     gatewayCommand     `cmd:"" help:"Serve callers: accept jobs and forward them to coordinators."`
	Coordinator coordinatorCommand `cmd:"" help:"Serve targets and operators: store the configuration and place tasks."`
	Check       checkCommand       `cmd:"" help:"Check the settings file, report errors and exit."`
}

func main() {
	var args arguments
	command := kong.Parse(&args,
		kong.Name("hawthorn-platform"),
		kong.Description("Runs hawthornshore on the users' platform. The path of the settings file is taken from the environment."))
	if err := command.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "hawthorn-platform:", err)
		os.Exit(1)
	}
}
