package demo

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"hawthornshore.example/structs"
)

const (
	// jobTimeout is the time from submission to the deadline of a demo job.
	jobTimeout = 10 * time.Second
	// One job in resubmitEvery is submitted twice, one in failEvery has a failing
	// task, and one in oversizedEvery requires more memory than any target has.
	resubmitEvery  = 4
	failEvery      = 20
	oversizedEvery = 25
	// oversizedMB is more memory than any target of the demo has.
	oversizedMB = 1 << 20
	// maxDemoTasks is the maximum number of tasks of a job.
	maxDemoTasks = 12
)

// plannedJob is one job of the demo with its entry instances.
type plannedJob struct {
	job        structs.Job
	submitTo   string          // entry instance of the first submission
	resubmitTo string          // entry instance of the resubmission; empty: none
	want       expectedOutcome // the only accepted outcome
}

type expectedOutcome = structs.Outcome

// planJob returns the i-th job. Entries are the addresses by data centre.
func planJob(rng *rand.Rand, i int, options *Options) plannedJob {
	centre := options.DataCentres[i%len(options.DataCentres)]
	entries := options.allEntries()
	p := plannedJob{
		job: structs.Job{
			ID:             structs.NewJobID(),
			DataCentre:     centre.Name,
			Tenant:         options.Tenants[i%len(options.Tenants)],
			Class:          options.Classes[rng.IntN(len(options.Classes))],
			DeadlineUnixMS: time.Now().Add(jobTimeout).UnixMilli(),
			Tasks:          planTasks(rng),
		},
		submitTo: entries[rng.IntN(len(entries))],
		want:     structs.OutcomeComplete,
	}
	if i%resubmitEvery == 0 {
		p.resubmitTo = entries[(i/resubmitEvery)%len(entries)]
	}
	switch {
	case i%failEvery == failEvery-1:
		p.job.Tasks[0].Payload = json.RawMessage(`{"run_ms":50,"fail":true}`)
		p.want = structs.OutcomeFailed
	case i%oversizedEvery == oversizedEvery-1:
		p.job.Tasks[0].DeclaredMB = oversizedMB
		p.want = structs.OutcomeNotRun
	}
	return p
}

func planTasks(rng *rand.Rand) []structs.Task {
	tasks := make([]structs.Task, 1+rng.IntN(maxDemoTasks))
	for i := range tasks {
		runMS := 50 + rng.Int64N(250)
		tasks[i] = structs.Task{
			Payload:    json.RawMessage(fmt.Sprintf(`{"run_ms":%d}`, runMS)),
			DeclaredMS: runMS,
		}
	}
	return tasks
}
