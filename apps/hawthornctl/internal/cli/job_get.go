package cli

import (
	"github.com/juju/errors"

	"hawthornshore.example/structs"
)

type jobGetCommand struct {
	JobID      string `arg:"" name:"job-id" help:"ID of the job."`
	DataCentre string `required:"" help:"Home data centre of the job."`
}

// Help implements kong.HelpProvider.
func (c *jobGetCommand) Help() string {
	return `Answers are kept for 60 s. The exit code gives the outcome, as for job submit.

Example:
  hawthornctl job get 01890a5d-ac96-774b-bcce-b302099a8057 --data-centre yard1`
}

// Run queries the job.
func (c *jobGetCommand) Run(e *environment) error {
	id, err := structs.ParseJobID(c.JobID)
	if err != nil {
		return &exitError{code: ExitUsage, err: err}
	}
	answer, err := e.client.QueryJob(e.ctx, id, c.DataCentre)
	if err != nil {
		return errors.Annotatef(err, "query job %s", id)
	}
	return printAnswer(e, &answer)
}
