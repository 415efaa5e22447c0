package targetapi

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"hawthornshore.example/structs"
)

// StartOutcome is the result of a start for the caller.
type StartOutcome string

// Outcomes of a start.
const (
	// StartNotSent means that no byte of the start left this process.
	StartNotSent StartOutcome = "not_sent"
	// StartRefused means that the target has not started the attempt and never
	// will.
	StartRefused StartOutcome = "refused"
	// StartUnknown means that the attempt may run: the timeout passed, the stream
	// broke or was malformed, or the caller's context ended.
	StartUnknown StartOutcome = "silent"
	// StartDone means that the task ended with an output.
	StartDone StartOutcome = "done"
	// StartFailed means that the task ran and failed.
	StartFailed StartOutcome = "failed"
)

// StartCall is one start with its timeouts and callback.
type StartCall struct {
	Attempt structs.AttemptID
	Request StartRequest
	// AckTimeout bounds the wait for the first report.
	AckTimeout time.Duration
	// ReportTimeout bounds the wait for each further line.
	ReportTimeout time.Duration
	// OnAccepted is called at most once, before Start returns, when the target
	// acknowledged the start. It may be nil.
	OnAccepted func()
}

// StartResult is the outcome of a start with its last report.
type StartResult struct {
	Outcome  StartOutcome
	Accepted bool          // whether the target acknowledged the start
	Report   AttemptReport // the last one; empty when not sent or not acknowledged
	Err      error         // a *structs.StepError when not sent or unknown, else nil
}

// startStream reads the reports on one start.
type startStream struct {
	client *Client
	req    request
	call   StartCall
	cancel context.CancelCauseFunc
	timer  *time.Timer // cancels the stream when it is due
	result StartResult
}

// Start sends a start and reads its reports until the attempt ends. A start is never
// sent twice: net/http repeats a PUT only if no byte of it was written.
func (c *Client) Start(ctx context.Context, target structs.TargetRef, call StartCall) StartResult {
	ctx, cancel := context.WithCancelCause(ctx)
	s := &startStream{
		client: c,
		req:    request{"start", http.MethodPut, PathAttempt, target, call.Attempt},
		call:   call,
		cancel: cancel,
	}
	s.timer = time.AfterFunc(call.AckTimeout, func() { cancel(ErrReportTimeout) })
	defer s.timer.Stop()

	var connected atomic.Bool
	resp, err := s.send(connectionTrace(ctx, func() { connected.Store(true) }))
	if err != nil {
		cancel(nil)
		if !connected.Load() {
			return s.end(StartNotSent, err)
		}
		return s.end(StartUnknown, cause(ctx, err))
	}
	result := s.follow(ctx, resp.Body)
	if result.Outcome == StartUnknown {
		cancel(nil)
		resp.Body.Close()
		return result
	}
	go s.drain(resp.Body)
	return result
}

// send writes the start and waits for the response headers.
func (s *startStream) send(ctx context.Context) (*http.Response, error) {
	body, err := json.Marshal(s.call.Request)
	if err != nil {
		return nil, errors.Annotate(err, "encoding the start")
	}
	req, err := s.req.build(ctx, body)
	if err != nil {
		return nil, err
	}
	resp, err := s.client.pooled.Do(req)
	return resp, errors.Trace(err)
}

// follow reads reports until one of them ends the attempt.
func (s *startStream) follow(ctx context.Context, body io.Reader) StartResult {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 4096), MaxReportBytes)
	for lines.Scan() {
		var report AttemptReport
		if err := json.Unmarshal(lines.Bytes(), &report); err != nil {
			return s.end(StartUnknown, errors.Annotate(err, "parsing a report"))
		}
		if !s.client.matches(&s.req, report) {
			continue
		}
		if outcome, ended := s.apply(report); ended {
			return s.end(outcome, nil)
		}
	}
	err := lines.Err()
	if err == nil {
		err = ErrBrokenStream
	}
	return s.end(StartUnknown, cause(ctx, errors.Trace(err)))
}

// apply applies one report. It returns whether the report ended the attempt.
func (s *startStream) apply(report AttemptReport) (StartOutcome, bool) {
	s.timer.Reset(s.call.ReportTimeout)
	s.result.Report = report
	if report.State == AttemptRefused {
		return StartRefused, true
	}
	s.accept()
	switch report.State {
	case AttemptDone:
		return StartDone, true
	case AttemptFailed:
		return StartFailed, true
	}
	return "", false
}

// accept records the acknowledgement. Any report but a refusal is one: a repeated
// start attaches to a running or ended attempt.
func (s *startStream) accept() {
	if s.result.Accepted {
		return
	}
	s.result.Accepted = true
	if s.call.OnAccepted != nil {
		s.call.OnAccepted()
	}
}

func (s *startStream) end(outcome StartOutcome, err error) StartResult {
	s.result.Outcome = outcome
	if err != nil {
		s.result.Err = s.req.fail(err)
	}
	return s.result
}

// drain reads the stream to its end, so that the connection can be reused.
func (s *startStream) drain(body io.ReadCloser) {
	timer := time.AfterFunc(drainTimeout, func() { s.cancel(nil) })
	defer timer.Stop()
	_, _ = io.Copy(io.Discard, io.LimitReader(body, MaxReportBytes))
	body.Close()
	s.cancel(nil)
}

// cause prefers the reason for which the context was cancelled over the error
// that the cancellation led to.
func cause(ctx context.Context, err error) error {
	if reason := context.Cause(ctx); reason != nil {
		return errors.Trace(reason)
	}
	return err
}
