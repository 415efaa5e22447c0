package cluster

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/juju/errors"

	"hawthornshore.example/wire"
)

// ErrJobStatusUnavailable means that a coordinator that may be the home of a job did not answer.
var ErrJobStatusUnavailable = errors.New("a coordinator that may hold the job does not answer")

const (
	// questionTimeout bounds a question about a job.
	questionTimeout = 800 * time.Millisecond
	// unsureTime is how long a coordinator without a link may still hold a job:
	// its other gateways' callers wait a few seconds at most.
	unsureTime = 10 * time.Second
)

// JobStatus is what a caller is told of a job.
type JobStatus int

// States of a job. A job that is not stored is unknown once it has ended.
const (
	JobUnknown JobStatus = iota
	JobQueued
	JobRunning
	JobCompleted
	JobFailed
	JobCancelled
)

// Job returns what is known of a job, after cancelling it if asked to. It asks
// the coordinators in turn.
func (g *Gateway) Job(ctx context.Context, id string, cancel bool) (JobStatus, error) {
	ctx, stop := context.WithTimeout(ctx, questionTimeout)
	defer stop()
	current, unsure := false, g.lostLately()
	for _, name := range g.holders() {
		reply, err := g.mesh.Call(ctx, name, &wire.Envelope{Body: &wire.Envelope_JobQuestion{
			JobQuestion: &wire.JobQuestion{JobId: id, Cancel: cancel},
		}})
		if err != nil {
			g.options.Logger.Warn().Str("event", "job_question_failed").Str("job", id).Str("peer", name).Err(err).Send()
			unsure = true
			continue
		}
		state := reply.GetJobState()
		if status := statusOf(state); status != JobUnknown {
			return status, nil
		}
		current = current || state.GetCurrent()
	}
	if !current || unsure && cancel {
		return JobUnknown, ErrJobStatusUnavailable
	}
	return JobUnknown, nil
}

// holders returns the coordinators that may hold a job. One that is leaving takes
// no more jobs, but holds those that it has.
func (g *Gateway) holders() []string {
	holders := g.choices()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(g.homes)) {
		if g.homes[name].draining {
			holders = append(holders, name)
		}
	}
	return holders
}

// lostLately reports whether a coordinator without a link may hold a job still.
func (g *Gateway) lostLately() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for name, at := range g.lost {
		if g.homes[name] == nil && time.Since(at) < unsureTime {
			return true
		}
	}
	return false
}

func statusOf(state *wire.JobState) JobStatus {
	switch {
	case state.GetActive() && state.GetStarted():
		return JobRunning
	case state.GetActive():
		return JobQueued
	}
	return map[wire.StoredState]JobStatus{
		wire.StoredState_STORED_STATE_QUEUED:    JobQueued,
		wire.StoredState_STORED_STATE_RUNNING:   JobRunning,
		wire.StoredState_STORED_STATE_COMPLETED: JobCompleted,
		wire.StoredState_STORED_STATE_FAILED:    JobFailed,
		wire.StoredState_STORED_STATE_CANCELLED: JobCancelled,
	}[state.GetStored()]
}
