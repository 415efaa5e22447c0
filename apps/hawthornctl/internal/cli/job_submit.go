package cli

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/juju/errors"

	"hawthornshore.example/structs"
)

type jobSubmitCommand struct {
	File       string        `short:"f" placeholder:"FILE" help:"JSON file with the job, or - for standard input. Flags set the fields that it omits."`
	JobID      string        `name:"job-id" help:"ID of the job, to resubmit it unchanged; generated if omitted."`
	DataCentre string        `help:"Home data centre of the job."`
	Tenant     string        `help:"Tenant of the job."`
	Class      string        `help:"Class of the job."`
	Deadline   time.Duration `default:"10s" help:"Time until the deadline, unless the file sets deadline_unix_ms."`
	Tasks      int           `default:"1" help:"Number of identical tasks, unless the file sets tasks (1 to 150)."`
	Payload    string        `default:"null" help:"JSON payload of each task."`
	DeclaredMS int64         `name:"declared-ms" default:"0" help:"Declared run time of each task in milliseconds."`
	Cores      float64       `default:"0" help:"Declared cores of each task."`
	MB         int64         `name:"mb" default:"0" help:"Declared memory of each task in MB."`
	Idempotent bool          `help:"Mark the tasks as idempotent."`
	DryRun     bool          `help:"Print the body instead of sending it, for a later resubmission with --file."`
}

// Help implements kong.HelpProvider.
func (c *jobSubmitCommand) Help() string {
	return `Sends the job and waits for its answer. If the answer is lost, the unchanged body is resubmitted to the next address, at most --tries times in all; the job ID makes this safe, as a job never starts twice. The exit code gives the outcome: 0 complete, 10 failed, 11 not-run, 12 unknown, 5 no answer.

To resubmit later, the whole body must be the same, deadline included: write it with --dry-run first.

Examples:
  hawthornctl job submit --data-centre yard1 --tenant weighbridge --class lot-check --payload '{"lot":17}'
  hawthornctl job submit --dry-run ... > job.json; hawthornctl job submit --file job.json`
}

// Run submits the job.
func (c *jobSubmitCommand) Run(e *environment) error {
	job, err := c.job(e.streams.In)
	if err != nil {
		return &exitError{code: ExitInvalid, err: err}
	}
	if c.DryRun {
		return e.print.object(job)
	}
	answer, err := e.client.SubmitJob(e.ctx, job)
	if err != nil {
		return errors.Annotatef(err, "job %s may or may not have run; query it with: hawthornctl job get %s --data-centre %s",
			job.ID, job.ID, job.DataCentre)
	}
	return printAnswer(e, &answer)
}

// job reads the file, sets omitted fields from the flags and validates the job.
func (c *jobSubmitCommand) job(in io.Reader) (*structs.Job, error) {
	job := &structs.Job{}
	if c.File != "" {
		if err := readJob(c.File, in, job); err != nil {
			return nil, err
		}
	}
	if err := c.fill(job); err != nil {
		return nil, err
	}
	return job, checkJob(job)
}

func readJob(file string, in io.Reader, job *structs.Job) error {
	if file != "-" {
		opened, err := os.Open(file)
		if err != nil {
			return errors.Annotate(err, "read job")
		}
		defer opened.Close()
		in = opened
	}
	data, err := io.ReadAll(io.LimitReader(in, structs.MaxBodyBytes+1))
	if err != nil {
		return errors.Annotatef(err, "read job from %s", file)
	}
	if len(data) > structs.MaxBodyBytes {
		return errors.Errorf("read job from %s: larger than %d bytes", file, structs.MaxBodyBytes)
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(job); err != nil {
		return errors.Annotatef(err, "read job from %s", file)
	}
	if _, err := decoder.Token(); err != io.EOF {
		return errors.Errorf("read job from %s: trailing data after the JSON object", file)
	}
	return nil
}

func (c *jobSubmitCommand) fill(job *structs.Job) error {
	if c.JobID != "" {
		id, err := structs.ParseJobID(c.JobID)
		if err != nil {
			return errors.Trace(err)
		}
		if job.ID != (structs.JobID{}) && job.ID != id {
			return errors.Errorf("--job-id %s differs from the file's job_id %s", id, job.ID)
		}
		job.ID = id
	}
	if job.ID == (structs.JobID{}) {
		job.ID = structs.NewJobID()
	}
	job.DataCentre = orDefault(job.DataCentre, c.DataCentre)
	job.Tenant = orDefault(job.Tenant, c.Tenant)
	job.Class = orDefault(job.Class, c.Class)
	if job.DeadlineUnixMS == 0 {
		job.DeadlineUnixMS = time.Now().Add(c.Deadline).UnixMilli()
	}
	if job.Tasks == nil {
		return c.fillTasks(job)
	}
	return nil
}

func (c *jobSubmitCommand) fillTasks(job *structs.Job) error {
	if c.Tasks < 1 || c.Tasks > structs.MaxTasks {
		return errors.Errorf("--tasks must be 1 to %d", structs.MaxTasks)
	}
	if !json.Valid([]byte(c.Payload)) {
		return errors.Errorf("--payload %s is not JSON", c.Payload)
	}
	for range c.Tasks {
		task := structs.Task{DeclaredMS: c.DeclaredMS, DeclaredCores: c.Cores, DeclaredMB: c.MB, Idempotent: c.Idempotent}
		if c.Payload != "null" {
			task.Payload = json.RawMessage(c.Payload)
		}
		job.Tasks = append(job.Tasks, task)
	}
	return nil
}

func orDefault(value, fallback string) string {
	if value == "" {
		return fallback
	}
	return value
}

// checkJob reports errors for which every instance rejects a job.
func checkJob(job *structs.Job) error {
	for _, field := range []struct{ flag, value string }{
		{"--data-centre", job.DataCentre}, {"--tenant", job.Tenant}, {"--class", job.Class},
	} {
		if field.value == "" || len(field.value) > structs.MaxNameLength {
			return fmt.Errorf("%s must have 1 to %d bytes", field.flag, structs.MaxNameLength)
		}
	}
	if n := len(job.Tasks); n < 1 || n > structs.MaxTasks {
		return fmt.Errorf("a job has 1 to %d tasks, got %d", structs.MaxTasks, n)
	}
	return nil
}
