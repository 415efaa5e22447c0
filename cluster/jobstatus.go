package cluster

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/juju/errors"

	"hawthornshore.example/wire"
)

// ErrJobStatusUnavailable means that a possible home of a job did not respond.
var ErrJobStatusUnavailable = errors.New("a coordinator that may hold the job does not respond")

const (
	// jobQueryTimeout bounds a query or a cancellation of a job.
	jobQueryTimeout = 800 * time.Millisecond
	// lostHoldTime is how long a coordinator without a link may still hold a job:
	// callers of its other gateways wait a few seconds at most.
	lostHoldTime = 10 * time.Second
)

// JobStatus is the state of a job for its caller.
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

// Job returns the state of a job, which it first cancels if cancel is set. It
// queries the coordinators in turn.
func (g *Gateway) Job(ctx context.Context, id string, cancel bool) (JobStatus, error) {
	ctx, stop := context.WithTimeout(ctx, jobQueryTimeout)
	defer stop()
	current, unanswered := false, g.lostRecently()
	for _, name := range g.queryOrder() {
		reply, err := g.mesh.Call(ctx, name, &wire.Envelope{Body: &wire.Envelope_JobQuestion{
			JobQuestion: &wire.JobQuestion{JobId: id, Cancel: cancel},
		}})
		if err != nil {
			g.options.RequestLogger.Warn().Str("event", "job_question_failed").Str("job", id).Str("peer", name).Err(err).Send()
			unanswered = true
			continue
		}
		state := reply.GetJobState()
		if status := statusOf(state); status != JobUnknown {
			return status, nil
		}
		current = current || state.GetCurrent()
	}
	if !current || unanswered && cancel {
		return JobUnknown, ErrJobStatusUnavailable
	}
	return JobUnknown, nil
}

// queryOrder returns the coordinators that may hold a job. A draining or unresponsive
// one gets no more jobs, but holds its earlier ones.
func (g *Gateway) queryOrder() []string {
	names := g.submitOrder()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(g.coordinators)) {
		if !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	return names
}

// lostRecently reports whether a coordinator without a link may still hold a job.
func (g *Gateway) lostRecently() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for name, at := range g.lostAt {
		if g.coordinators[name] == nil && time.Since(at) < lostHoldTime {
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
