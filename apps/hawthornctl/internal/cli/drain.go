package cli

import (
	"time"

	"github.com/juju/errors"

	"hawthornshore.example/operatorapi"
)

type drainCommand struct {
	Operator string `env:"USER" default:"unknown" help:"Operator who requests the drain; logged by the instance. Defaults to the user name."`
}

// Help implements kong.HelpProvider.
func (c *drainCommand) Help() string {
	return `Makes the instance report not ready, finish requests in flight, hand over its partitions and exit, as on SIGTERM. Exactly one address must be given, and the request is sent once.

Example:
  hawthornctl -a 127.0.0.1:18080 drain`
}

// Run requests the drain of the addressed instance.
func (c *drainCommand) Run(e *environment) error {
	if len(e.flags.Address) != 1 {
		return withCode(ExitUsage, "drain stops one instance: give exactly one --address, not %d", len(e.flags.Address))
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
