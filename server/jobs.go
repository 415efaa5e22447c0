package server

import (
	"context"
	"errors"
	"fmt"
	"time"

	"hawthornshore.example/claims"
	"hawthornshore.example/structs"
	"hawthornshore.example/wire"
)

const (
	// answerMargin is how long after a job's deadline an instance still waits
	// for the owner's answer.
	answerMargin = 500 * time.Millisecond
	// queryTimeout bounds a query or cancellation.
	queryTimeout = 10 * time.Second
	// forwardRetryInterval is the delay before a forwarded request is retried.
	forwardRetryInterval = 50 * time.Millisecond
)

// errNotOwner means that this instance's directory names another owner.
var errNotOwner = errors.New("instance does not own the job ID")

// errAnswerMismatch means that an answer is for another job than its request.
var errAnswerMismatch = errors.New("answer is for another job")

// jobRequest is a caller's submission, query or cancellation.
type jobRequest struct {
	action         wire.JobAction
	job            structs.Job // only ID and DataCentre are set for queries and cancellations
	digest         claims.Digest
	answerDeadline time.Time // when the caller must be answered
}

// route returns the answer of the owner of the job ID.
func (s *Server) route(ctx context.Context, req *jobRequest) structs.Answer {
	owner, ok := s.directory.owner(req.job.ID, req.job.DataCentre)
	if !ok {
		// Another instance may have newer settings and have run the job.
		return unknownAnswer(req.job.ID, structs.ReasonUnknownHome,
			fmt.Sprintf("data centre %q is not in the settings of this instance", req.job.DataCentre))
	}
	ctx, cancel := context.WithDeadline(ctx, req.answerDeadline)
	defer cancel()
	if owner == s.options.Name {
		return s.answerLocally(ctx, req)
	}
	return s.forward(ctx, owner, req)
}

// answerLocally returns the answer of the local claims core.
func (s *Server) answerLocally(ctx context.Context, req *jobRequest) structs.Answer {
	request, answers := s.pending.add()
	defer s.pending.remove(request)
	if err := s.coreLoop.post(ctx, input{claims: req.claimsEvent(request)}); err != nil {
		return unknownAnswer(req.job.ID, structs.ReasonOwnerLost, "the owner is overloaded: "+err.Error())
	}
	select {
	case answer := <-answers:
		return answer
	case <-ctx.Done():
		s.post(input{claims: claims.Abandon{Request: request}})
		return unknownAnswer(req.job.ID, structs.ReasonDeadlinePassed, "no answer by the deadline")
	}
}

func (req *jobRequest) claimsEvent(request claims.RequestID) claims.Event {
	switch req.action {
	case wire.JobAction_JOB_ACTION_QUERY:
		return claims.Query{Request: request, JobID: req.job.ID}
	case wire.JobAction_JOB_ACTION_CANCEL:
		return claims.Cancel{Request: request, JobID: req.job.ID}
	default:
		return claims.Submit{Request: request, Job: req.job, Digest: req.digest}
	}
}

// forward returns the answer of another instance. The owner deduplicates requests
// by job ID, so retrying after a lost link is safe.
func (s *Server) forward(ctx context.Context, owner string, req *jobRequest) structs.Answer {
	message := jobToWire(&req.job, req.digest)
	message.Action = req.action
	request := &wire.Envelope{Body: &wire.Envelope_JobRequest{JobRequest: message}}
	for {
		answer, err := s.forwardOnce(ctx, owner, req.job.ID, request)
		if err == nil {
			return answer
		}
		s.metrics.forwardFailed.Inc()
		s.log.Debug().Str("event", "forward_failed").Str("job_id", req.job.ID.String()).
			Str("step", "forward").Str("peer", owner).Err(err).Send()
		select {
		case <-time.After(forwardRetryInterval):
		case <-ctx.Done():
			return unknownAnswer(req.job.ID, structs.ReasonHomeUnreachable,
				fmt.Sprintf("no answer from owner %s: %v", owner, err))
		}
		// The owner may have changed meanwhile.
		if current, ok := s.directory.owner(req.job.ID, req.job.DataCentre); ok {
			owner = current
		}
		if owner == s.options.Name {
			return s.answerLocally(ctx, req)
		}
	}
}

func (s *Server) forwardOnce(ctx context.Context, owner string, id structs.JobID, request *wire.Envelope) (structs.Answer, error) {
	reply, err := s.mesh.Call(ctx, owner, request)
	if err != nil {
		return structs.Answer{}, err
	}
	answer, err := answerFromWire(reply.GetJobAnswer())
	if err != nil {
		return structs.Answer{}, err
	}
	if answer.JobID != id {
		s.metrics.answerMismatch.Inc()
		s.log.Error().Str("event", "answer_mismatch").Str("peer", owner).
			Str("job_id", id.String()).Str("answer_job_id", answer.JobID.String()).Send()
		return structs.Answer{}, errAnswerMismatch
	}
	return answer, nil
}

// handleJobRequest serves a forwarded request as the owner.
func (s *Server) handleJobRequest(ctx context.Context, message *wire.JobRequest) (*wire.Envelope, error) {
	job, err := jobFromWire(message)
	if err != nil {
		return nil, err
	}
	owner, ok := s.directory.owner(job.ID, job.DataCentre)
	if !ok || owner != s.options.Name {
		return nil, errNotOwner
	}
	s.requests.add()
	defer s.requests.done()
	req := &jobRequest{
		action:         message.GetAction(),
		job:            job,
		digest:         claims.Digest(message.GetDigest()),
		answerDeadline: answerDeadline(message.GetAction(), &job),
	}
	ctx, cancel := context.WithDeadline(ctx, req.answerDeadline)
	defer cancel()
	answer := s.answerLocally(ctx, req)
	return &wire.Envelope{Body: &wire.Envelope_JobAnswer{JobAnswer: answerToWire(&answer)}}, nil
}

// answerDeadline returns when a request must be answered. The margin also applies
// after the job's deadline, because an earlier submission may have an answer.
func answerDeadline(action wire.JobAction, job *structs.Job) time.Time {
	now := time.Now()
	if action != wire.JobAction_JOB_ACTION_SUBMIT {
		return now.Add(queryTimeout)
	}
	deadline := job.Deadline()
	if deadline.Before(now) {
		deadline = now
	}
	return deadline.Add(answerMargin)
}

func unknownAnswer(id structs.JobID, reason structs.Reason, message string) structs.Answer {
	return structs.Answer{JobID: id, Outcome: structs.OutcomeUnknown, Reason: reason, Message: message}
}
