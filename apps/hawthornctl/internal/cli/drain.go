package cli

import (
	"time"

	"github.com/juju/errors"

	"hawthornshore.example/operatorapi"
)

type drainCommand struct {
	Operator string `env:"USER" default:"unknown" help:"Who asks; logged by the instance. Defaults to the user name."`
}

// Help is shown by --help.
func (c *drainCommand) Help() string {
	return `The instance reports not ready, finishes requests in flight, hands over and exits. It is the same as SIGTERM. Exactly one address must be given, and the call is sent once.

Example:
  hawthornctl -a 127.0.0.1:18080 drain`
}

// Run asks the addressed instance to stop.
func (c *drainCommand) Run(e *environment) error {
	if len(e.global.Address) != 1 {
		return withCode(ExitUsage, "drain stops one instance: give exactly one --address, not %d", len(e.global.Address))
	}
	reply, err := e.client.Drain(e.ctx, operatorapi.DrainRequest{Operator: c.Operator})
	if err != nil {
		return errors.Trace(err)
	}
	if e.print.json {
		return e.print.object(reply)
	}
	return e.print.line("draining instance=%s open_requests=%d running_tasks=%d timeout=%s",
		reply.Instance, reply.OpenRequests, reply.RunningTasks, time.Duration(reply.TimeoutMS)*time.Millisecond)
}
