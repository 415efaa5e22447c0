package server

import (
	"context"
	"time"

	"hawthornshore.example/dispatch"
	"hawthornshore.example/structs"
	"hawthornshore.example/targetapi"
)

const (
	// silenceTimeout ends the stream of an acknowledged attempt after four
	// consecutive missing reports.
	silenceTimeout = 4 * structs.RunningInterval
	// resolveInterval is the delay between queries for one attempt.
	resolveInterval = 100 * time.Millisecond
	// resolveTimeout bounds one query on a new connection.
	resolveTimeout = 500 * time.Millisecond
	// cancelTimeout bounds the request that stops an attempt.
	cancelTimeout = 2 * time.Second
)

// runAttempt sends a start, follows its reports and posts the final event.
func (s *Server) runAttempt(e dispatch.StartAttempt) {
	defer s.attempts.done()
	if !s.leaseHeld() {
		// The process may have paused since the core emitted the effect.
		s.post(input{dispatch: dispatch.AttemptRefused{Attempt: e.Attempt, Cause: dispatch.RefusedNotSent}})
		return
	}
	if e.Attempt.Number == 1 {
		s.metrics.taskStarted(e.Class, time.Since(e.Attempt.Job.Time()))
	}
	call := targetapi.StartCall{
		Attempt: e.Attempt,
		Request: targetapi.StartRequest{
			Class:         e.Class,
			Payload:       e.Task.Payload,
			DeclaredMS:    e.Task.DeclaredMS,
			StartWithinMS: max(time.Until(e.Deadline).Milliseconds(), 0),
		},
		AckTimeout:    structs.StartAckTimeout,
		ReportTimeout: silenceTimeout,
		OnAccepted: func() {
			s.post(input{dispatch: dispatch.AttemptAccepted{Attempt: e.Attempt}})
		},
	}
	result := s.targets.Start(s.lifetime, e.Target, call)
	if result.Outcome == targetapi.StartRefused {
		s.metrics.countWasted(wastedStart)
	}
	if result.Outcome == targetapi.StartUnknown {
		s.metrics.attemptSilent.Inc()
		s.log.Warn().Str("event", "attempt_silent").Str("attempt_id", e.Attempt.String()).
			Str("step", "start").Str("peer", e.Target.TargetID).Err(result.Err).Send()
	}
	s.post(input{dispatch: startResultEvent(e.Attempt, &result)})
}

func startResultEvent(attempt structs.AttemptID, result *targetapi.StartResult) dispatch.Event {
	switch result.Outcome {
	case targetapi.StartNotSent:
		return dispatch.AttemptRefused{Attempt: attempt, Cause: dispatch.RefusedNotSent}
	case targetapi.StartRefused, targetapi.StartDone, targetapi.StartFailed:
		return reportEvent(attempt, &result.Report)
	default:
		return dispatch.AttemptUnresponsive{Attempt: attempt}
	}
}

// reportEvent returns the event for a final report; nil for other states.
func reportEvent(attempt structs.AttemptID, report *targetapi.AttemptReport) dispatch.Event {
	switch report.State {
	case targetapi.AttemptDone:
		return dispatch.AttemptDone{Attempt: attempt, Output: report.Output, RunMS: report.RunMS}
	case targetapi.AttemptFailed:
		return dispatch.AttemptFailed{Attempt: attempt, Message: report.Message, RunMS: report.RunMS}
	case targetapi.AttemptRefused:
		return dispatch.AttemptRefused{Attempt: attempt, Cause: dispatch.RefusalCause(report.Cause)}
	}
	return nil
}

// resolveAttempt queries the target of an unresponsive attempt on new connections
// until the attempt has ended or the deadline passes.
func (s *Server) resolveAttempt(e dispatch.ResolveAttempt) {
	defer s.attempts.done()
	for time.Now().Before(e.Deadline) {
		if event := s.resolveOnce(e); event != nil {
			s.post(input{dispatch: event})
			return
		}
		select {
		case <-time.After(resolveInterval):
		case <-s.lifetime.Done():
			return
		}
	}
	s.post(input{dispatch: dispatch.AttemptUnresolved{Attempt: e.Attempt}})
}

func (s *Server) resolveOnce(e dispatch.ResolveAttempt) dispatch.Event {
	ctx, cancel := context.WithTimeout(s.lifetime, resolveTimeout)
	defer cancel()
	report, err := s.targets.Resolve(ctx, e.Target, e.Attempt)
	if err != nil {
		s.log.Debug().Str("event", "resolve_failed").Str("attempt_id", e.Attempt.String()).
			Str("step", "resolve").Str("peer", e.Target.TargetID).Err(err).Send()
		return nil
	}
	return reportEvent(e.Attempt, &report)
}

// cancelAttempt requests a target to stop an attempt.
func (s *Server) cancelAttempt(e dispatch.CancelAttempt) {
	defer s.attempts.done()
	ctx, cancel := context.WithTimeout(s.lifetime, cancelTimeout)
	defer cancel()
	if _, err := s.targets.Cancel(ctx, e.Target, e.Attempt); err != nil {
		s.log.Debug().Str("event", "cancel_failed").Str("attempt_id", e.Attempt.String()).
			Str("step", "cancel").Str("peer", e.Target.TargetID).Err(err).Send()
	}
}

// reportMismatch records a report for another attempt or incarnation.
func (s *Server) reportMismatch(target structs.TargetRef, want structs.AttemptID, got targetapi.AttemptReport) {
	s.metrics.reportMismatch.Inc()
	s.log.Error().Str("event", "report_mismatch").Str("peer", target.TargetID).
		Str("attempt_id", want.String()).Str("report_attempt_id", got.AttemptID).Send()
}
