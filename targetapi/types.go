// Package targetapi is the HTTP contract between entry instances and targets:
// the JSON types and the client that entry instances use.
package targetapi

import "encoding/json"

// Paths of a target's HTTP server. {id} is the text form of an AttemptID.
const (
	PathAttempt   = "/v1/attempts/{id}"           // PUT starts the attempt, GET queries it
	PathTombstone = "/v1/attempts/{id}/tombstone" // POST
	PathCancel    = "/v1/attempts/{id}/cancel"    // POST
)

// PathTargets is the path of an entry instance for targets' announcements (POST).
const PathTargets = "/v1/targets"

// IncarnationHeader carries the target incarnation that a request is meant for.
const IncarnationHeader = "Hawthorn-Target-Incarnation"

// StartRequest is the body of a start.
type StartRequest struct {
	Class      string          `json:"class"`
	Payload    json.RawMessage `json:"payload,omitempty"`
	DeclaredMS int64           `json:"declared_ms"`
	// StartWithinMS is how long after receipt the target may begin the task.
	StartWithinMS int64 `json:"start_within_ms"`
}

// AttemptState is the state of an attempt at a target.
type AttemptState string

// States of an attempt. The response to a start is a stream of JSON lines, one
// AttemptReport each: accepted, then running at every RunningInterval, then
// done or failed; or a single refused.
const (
	AttemptAccepted AttemptState = "accepted"
	AttemptRunning  AttemptState = "running"
	AttemptDone     AttemptState = "done"
	AttemptFailed   AttemptState = "failed"
	// AttemptRefused means that this incarnation has not started the attempt
	// and never will.
	AttemptRefused AttemptState = "refused"
	// AttemptUnknown means that this incarnation has no record of the attempt.
	AttemptUnknown AttemptState = "unheard_of"
)

// Causes of a refusal.
const (
	CauseBusy      = "busy"      // no free slot
	CauseLeaving   = "leaving"   // the target accepts no new work
	CauseTombstone = "tombstone" // a tombstone or a cancellation came first
	// CauseIncarnation means that the request was meant for another
	// incarnation. It proves nothing about what that incarnation did.
	CauseIncarnation = "incarnation"
	CauseExpired     = "expired" // StartWithinMS had passed
	CauseFault       = "fault"   // the target failed to record the start
)

// AttemptReport is one line of the response to a start, and the response to the
// other calls.
type AttemptReport struct {
	AttemptID   string          `json:"attempt_id"`
	Incarnation string          `json:"incarnation"`
	State       AttemptState    `json:"state"`
	Cause       string          `json:"cause,omitempty"` // of a refusal, one of the Cause constants
	Message     string          `json:"message,omitempty"`
	Output      json.RawMessage `json:"output,omitempty"`
	RunMS       int64           `json:"run_ms,omitempty"`
}

// AnnounceReply is the response to an announcement.
type AnnounceReply struct {
	Instance string `json:"instance"`
	Manager  string `json:"manager"` // the instance that manages the target's slots
	Message  string `json:"message,omitempty"`
}
