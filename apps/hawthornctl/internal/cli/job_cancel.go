package cli

import (
	"github.com/juju/errors"

	"hawthornshore.example/structs"
)

type jobCancelCommand struct {
	JobID      string `arg:"" name:"job-id" help:"ID of the job."`
	DataCentre string `required:"" help:"Home data centre of the job."`
}

// Help implements kong.HelpProvider.
func (c *jobCancelCommand) Help() string {
	return `Prints the job's answer. A job that is cancelled before any task has started is not-run (exit code 11).`
}

// Run cancels the job.
func (c *jobCancelCommand) Run(e *environment) error {
	id, err := structs.ParseJobID(c.JobID)
	if err != nil {
		return &exitError{code: ExitUsage, err: err}
	}
	answer, err := e.client.CancelJob(e.ctx, id, c.DataCentre)
	if err != nil {
		return errors.Annotatef(err, "cancel job %s", id)
	}
	return printAnswer(e, &answer)
}
