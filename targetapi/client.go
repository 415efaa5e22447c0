package targetapi

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"time"

	"github.com/juju/errors"

	"hawthornshore.example/structs"
)

const (
	// MaxConnections is the most connections a client holds to one target.
	MaxConnections = 60
	// freshConnections is the part of MaxConnections reserved for Resolve, so
	// that unresponsive pooled connections cannot prevent opening a new one.
	freshConnections = 12
	// dialTimeout bounds the set-up of a connection to a target. A start without a
	// connection by then is reported as StartNotSent.
	dialTimeout = 1 * time.Second
	// idleTimeout is how long an unused connection is kept for reuse.
	idleTimeout = 30 * time.Second
	// drainTimeout bounds the wait for the end of a stream after its last report.
	// A connection is reused only if the end arrived.
	drainTimeout = 1 * time.Second
	// MaxReportBytes bounds one report, which is one line of JSON.
	MaxReportBytes = 1 << 20
)

// Errors that a StepError may wrap.
const (
	// ErrMismatch means that a report named another attempt or incarnation.
	ErrMismatch = errors.ConstError("report does not match the request")
	// ErrReportTimeout means that no report arrived within the caller's timeout.
	ErrReportTimeout = errors.ConstError("no report within the timeout")
	// ErrBrokenStream means that the stream ended before the attempt did.
	ErrBrokenStream = errors.ConstError("stream ended before the attempt")
)

// Options configure a Client.
type Options struct {
	// OnMismatch is called for every report that is discarded because it names
	// another attempt or incarnation. It may be nil.
	OnMismatch func(target structs.TargetRef, want structs.AttemptID, got AttemptReport)
}

// Client calls targets. It is safe for concurrent use.
type Client struct {
	pooled  *http.Client
	fresh   *http.Client
	options Options
}

// NewClient returns a client without connections.
func NewClient(options Options) *Client {
	return &Client{
		pooled:  &http.Client{Transport: newTransport(MaxConnections-freshConnections, true)},
		fresh:   &http.Client{Transport: newTransport(freshConnections, false)},
		options: options,
	}
}

// Close drops the idle connections. Calls in progress go on.
func (c *Client) Close() {
	c.pooled.CloseIdleConnections()
	c.fresh.CloseIdleConnections()
}

// Query returns the state of an attempt at the target.
func (c *Client) Query(ctx context.Context, target structs.TargetRef, attempt structs.AttemptID) (AttemptReport, error) {
	return c.call(ctx, c.pooled, request{"ask", http.MethodGet, PathAttempt, target, attempt})
}

// Tombstone prevents the start of an attempt that has not started and returns its state.
func (c *Client) Tombstone(ctx context.Context, target structs.TargetRef, attempt structs.AttemptID) (AttemptReport, error) {
	return c.call(ctx, c.pooled, request{"tombstone", http.MethodPost, PathTombstone, target, attempt})
}

// Cancel stops an attempt, or prevents its start if it has not started, and
// returns its state.
func (c *Client) Cancel(ctx context.Context, target structs.TargetRef, attempt structs.AttemptID) (AttemptReport, error) {
	return c.call(ctx, c.pooled, request{"cancel", http.MethodPost, PathCancel, target, attempt})
}

// Resolve places a tombstone on a new connection and returns the attempt's
// state. It never uses a pooled connection, because the attempt is
// unresponsive and the pooled ones may be as well.
func (c *Client) Resolve(ctx context.Context, target structs.TargetRef, attempt structs.AttemptID) (AttemptReport, error) {
	return c.call(ctx, c.fresh, request{"resolve", http.MethodPost, PathTombstone, target, attempt})
}

// request is one call to a target about one attempt.
type request struct {
	step    string
	method  string
	path    string
	target  structs.TargetRef
	attempt structs.AttemptID
}

// fail wraps an error with the step and the target of the request.
func (r *request) fail(err error) error {
	return &structs.StepError{Step: r.step, Peer: r.target.TargetID, Err: err}
}

// build returns the HTTP request. The body may be nil.
func (r *request) build(ctx context.Context, body []byte) (*http.Request, error) {
	url := "http://" + r.target.Address + strings.Replace(r.path, "{id}", r.attempt.String(), 1)
	req, err := http.NewRequestWithContext(ctx, r.method, url, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Annotate(err, "building the request")
	}
	req.Header.Set(IncarnationHeader, r.target.Incarnation)
	if len(body) > 0 {
		req.Header.Set("Content-Type", "application/json")
	}
	return req, nil
}

// call sends a request whose response is a single report.
func (c *Client) call(ctx context.Context, client *http.Client, r request) (AttemptReport, error) {
	req, err := r.build(ctx, nil)
	if err != nil {
		return AttemptReport{}, r.fail(err)
	}
	resp, err := client.Do(req)
	if err != nil {
		return AttemptReport{}, r.fail(errors.Trace(err))
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxReportBytes))
	if err != nil {
		return AttemptReport{}, r.fail(errors.Annotate(err, "reading the report"))
	}
	var report AttemptReport
	if err := json.Unmarshal(body, &report); err != nil {
		return AttemptReport{}, r.fail(errors.Annotatef(err, "parsing the report, status %d", resp.StatusCode))
	}
	if !c.matches(&r, report) {
		return AttemptReport{}, r.fail(errors.Trace(ErrMismatch))
	}
	return report, nil
}

// matches reports whether a report belongs to the request, and calls OnMismatch
// if not. A refusal with cause CauseIncarnation names the incarnation that sent
// it, which differs from the requested one.
func (c *Client) matches(r *request, report AttemptReport) bool {
	sameAttempt := report.AttemptID == r.attempt.String()
	sameIncarnation := report.Incarnation == r.target.Incarnation
	restarted := report.State == AttemptRefused && report.Cause == CauseIncarnation
	if sameAttempt && sameIncarnation != restarted {
		return true
	}
	if c.options.OnMismatch != nil {
		c.options.OnMismatch(r.target, r.attempt, report)
	}
	return false
}

// connectionTrace calls onConnection when a request obtains a connection. Before that no
// byte of the request can have left the process.
func connectionTrace(ctx context.Context, onConnection func()) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { onConnection() },
	})
}
