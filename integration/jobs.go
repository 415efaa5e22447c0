package integration

import (
	"encoding/json"
	"time"

	"hawthornshore.example/structs"
)

// Work is the behaviour of one task on the emulated target.
type Work struct {
	RunMS      int
	Fail       bool
	Idempotent bool
}

// taskPayload is the payload of a task. Echo identifies the task, so that its
// result can be distinguished from those of other tasks.
type taskPayload struct {
	RunMS int    `json:"run_ms"`
	Fail  bool   `json:"fail,omitempty"`
	Echo  string `json:"echo"`
}

// NewJob returns a job whose deadline is the given time from now. Its ID is
// owned by the given instance, or by any if it is nil.
func (c *Cluster) NewJob(owner *Instance, deadline time.Duration, work ...Work) structs.Job {
	id := structs.NewJobID()
	for owner != nil && c.Owner(id) != owner {
		id = structs.NewJobID()
	}
	job := structs.Job{
		ID:             id,
		DataCentre:     DataCentre,
		Tenant:         "desk",
		Class:          "urgent",
		DeadlineUnixMS: time.Now().Add(deadline).UnixMilli(),
	}
	for i, w := range work {
		payload, err := json.Marshal(taskPayload{RunMS: w.RunMS, Fail: w.Fail, Echo: echo(id, i)})
		if err != nil {
			panic(err) // the type can always be encoded
		}
		job.Tasks = append(job.Tasks, structs.Task{
			Payload:    payload,
			DeclaredMS: int64(max(w.RunMS, 1)),
			Idempotent: w.Idempotent,
		})
	}
	return job
}

// Repeat returns the same work n times.
func Repeat(n int, work Work) []Work {
	list := make([]Work, n)
	for i := range list {
		list[i] = work
	}
	return list
}

// echo returns the value that identifies the result of a task.
func echo(id structs.JobID, task int) string {
	return structs.AttemptID{Job: id, Task: task, Number: 1}.String()
}
