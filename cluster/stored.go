package cluster

import (
	"context"
	"time"

	"github.com/juju/errors"

	"hawthornshore.example/cluster/admission"
	"hawthornshore.example/placement"
	"hawthornshore.example/wire"
)

// handleStoredSubmission stores a job in the log and answers its gateway.
func (c *Coordinator) handleStoredSubmission(ctx context.Context, gateway string, submission *wire.Submission) {
	answer := c.storeJob(ctx, submission)
	answer.Ref = submission.GetRef()
	c.options.RequestLogger.Info().Str("event", "job_stored").Str("job", submission.GetJobId()).Str("queue", submission.GetQueue()).
		Str("outcome", placement.Outcome(answer.GetOutcome()).String()).Str("reason", answer.GetReason()).Send()
	c.send(gateway, &wire.Envelope{Body: &wire.Envelope_SubmissionAnswer{SubmissionAnswer: answer}})
}

func (c *Coordinator) storeJob(ctx context.Context, submission *wire.Submission) *wire.SubmissionAnswer {
	if c.logNode.store.jobState(submission.GetJobId()) != wire.StoredState_STORED_STATE_NONE {
		return &wire.SubmissionAnswer{Outcome: wire.JobOutcome_JOB_OUTCOME_ACCEPTED, Reason: "known"}
	}
	if c.isDraining() {
		return refusal("coordinator is leaving")
	}
	ctx, cancel := context.WithTimeout(ctx, logOperationTimeout)
	defer cancel()
	if err := c.logNode.catchUp.check(ctx); err != nil {
		return refusal(err.Error())
	}
	proposal, refused := c.admitJob(submission)
	if refused != nil {
		return refused
	}
	_, err := c.logNode.propose(ctx, &wire.LogCommand{Jobs: []*wire.JobCommand{{
		Body: &wire.JobCommand_Accept{Accept: &wire.JobAccept{Job: submission, Home: c.options.Placement.Home, RunRange: c.runRange()}},
	}}})
	c.endProposal(proposal, err == nil || errors.Is(err, ErrRefused))
	switch {
	case err == nil:
		return &wire.SubmissionAnswer{Outcome: wire.JobOutcome_JOB_OUTCOME_ACCEPTED}
	case errors.Is(err, ErrRefused):
		return refusal(err.Error())
	}
	return &wire.SubmissionAnswer{Outcome: wire.JobOutcome_JOB_OUTCOME_ABORTED, Reason: err.Error()}
}

// admitJob returns the number of the proposal of a job, or the refusal of the job.
func (c *Coordinator) admitJob(submission *wire.Submission) (uint64, *wire.SubmissionAnswer) {
	job := jobFromWire(submission)
	backlog := c.loop.storedBacklog()
	now := boottimeNow()
	c.gateMu.Lock()
	defer c.gateMu.Unlock()
	verdict := c.gate.Decide(now, admission.Job{ID: job.ID, Priority: job.Priority, Slack: job.StartSlack()},
		&admission.Backlog{Work: backlog.Work, Rate: backlog.Rate, Oldest: backlog.Oldest})
	if verdict.Reason == "" {
		return c.gate.Begin(now, job.ID), nil
	}
	storedRefusals(verdict.Reason).Inc()
	if verdict.Elsewhere {
		return 0, refusal(verdict.Reason)
	}
	return 0, &wire.SubmissionAnswer{
		Outcome: wire.JobOutcome_JOB_OUTCOME_NOT_RUN, Reason: verdict.Reason, RetryAfterMs: ms(verdict.RetryAfter),
	}
}

// endProposal records the end of a proposal, and whether its outcome is known.
func (c *Coordinator) endProposal(number uint64, known bool) {
	c.gateMu.Lock()
	defer c.gateMu.Unlock()
	c.gate.End(boottimeNow(), number, known)
}

// refusal returns an answer after which the gateway tries another coordinator.
func refusal(reason string) *wire.SubmissionAnswer {
	return &wire.SubmissionAnswer{
		Outcome: wire.JobOutcome_JOB_OUTCOME_NOT_RUN, Reason: reason, RetryAfterMs: ms(placement.RetryElsewhere),
	}
}

func (c *Coordinator) isDraining() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.draining
}

// handleJobQuery returns the state of a job, and cancels the job if cancel is set.
func (c *Coordinator) handleJobQuery(ctx context.Context, id string, cancel bool) (*wire.JobState, error) {
	ctx, stop := context.WithTimeout(ctx, jobQueryTimeout)
	defer stop()
	state, cancelled, err := c.loop.queryJob(ctx, id, cancel)
	switch {
	case err != nil:
		return nil, err
	case cancelled:
		if !state.GetActive() {
			state.Stored = wire.StoredState_STORED_STATE_CANCELLED
		}
		return state, c.recordCancel(ctx, id)
	case state.GetActive():
		return state, nil
	}
	state.Stored = c.awaitEnd(ctx, id, cancel)
	if state.Stored == wire.StoredState_STORED_STATE_NONE {
		if err := c.logNode.readBarrier(ctx); err != nil {
			return state, nil // not current
		}
		state.Stored = c.logNode.store.jobState(id)
	}
	state.Current = true
	if !cancel || state.GetStored() == wire.StoredState_STORED_STATE_NONE {
		return state, nil
	}
	_, err = c.logNode.propose(ctx, &wire.LogCommand{Jobs: []*wire.JobCommand{{
		Body: &wire.JobCommand_Cancel{Cancel: &wire.JobCancel{JobId: id}},
	}}})
	c.options.RequestLogger.Info().Str("event", "job_cancel").Str("job", id).Err(err).Send()
	if state.GetStored() < wire.StoredState_STORED_STATE_COMPLETED {
		state.Stored = wire.StoredState_STORED_STATE_CANCELLED
	}
	return state, errors.Annotate(err, "cancel")
}

// endWait is how long a query of a running job waits for its end. Callers query
// when they expect the end, and recording it in the log takes about 20 ms.
const endWait = 100 * time.Millisecond

// awaitEnd returns the state of a stored job. Unless cancel is set, it waits up to
// endWait for the job to end.
func (c *Coordinator) awaitEnd(ctx context.Context, id string, cancel bool) wire.StoredState {
	timeout := time.After(endWait)
	for {
		_, applied := c.logNode.progress.watch()
		state := c.logNode.store.jobState(id)
		if cancel || state == wire.StoredState_STORED_STATE_NONE || state >= wire.StoredState_STORED_STATE_COMPLETED {
			return state
		}
		select {
		case <-applied:
		case <-timeout:
			return state
		case <-ctx.Done():
			return state
		}
	}
}
