package structs

import (
	"encoding/json"
	"time"
)

// Job is one submission: 1 to MaxTasks tasks that are answered together.
type Job struct {
	ID         JobID  `json:"job_id"`
	DataCentre string `json:"data_centre"` // the job's home
	Tenant     string `json:"tenant"`
	Class      string `json:"class"`
	// DeadlineUnixMS is the time by which the caller needs the answer, in
	// milliseconds since the Unix epoch.
	DeadlineUnixMS int64  `json:"deadline_unix_ms"`
	Tasks          []Task `json:"tasks"`
}

// Deadline returns the time by which the caller needs the answer.
func (j *Job) Deadline() time.Time { return time.UnixMilli(j.DeadlineUnixMS) }

// Task is one unit of work that runs in one slot of one target.
type Task struct {
	Payload       json.RawMessage `json:"payload,omitempty"` // opaque to the dispatcher
	DeclaredMS    int64           `json:"declared_ms"`       // declared run time in milliseconds
	DeclaredCores float64         `json:"declared_cores,omitempty"`
	DeclaredMB    int64           `json:"declared_mb,omitempty"`
	Idempotent    bool            `json:"idempotent,omitempty"`
}

// Outcome is the one result of a job.
type Outcome string

const (
	// OutcomeComplete means every task has completed; all results are included.
	OutcomeComplete Outcome = "complete"
	// OutcomeFailed means at least one task failed or was not run although
	// another task of the job was started.
	OutcomeFailed Outcome = "failed"
	// OutcomeNotRun means no task of the job has started and none will.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown means the job may have run.
	OutcomeUnknown Outcome = "unknown"
)

// Answer is the response to a request for a job.
type Answer struct {
	JobID   JobID        `json:"job_id,omitzero"` // zero if the request named no valid ID
	Outcome Outcome      `json:"outcome"`
	Reason  Reason       `json:"reason,omitempty"`
	Message string       `json:"message,omitempty"`
	Results []TaskResult `json:"results,omitempty"` // one per task, only when complete
}

// TaskResult is the result of one task.
type TaskResult struct {
	Task   int             `json:"task"`
	Target string          `json:"target,omitempty"`
	Output json.RawMessage `json:"output,omitempty"`
	RunMS  int64           `json:"run_ms"` // run time measured by the target, in milliseconds
}
