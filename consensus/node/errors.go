package node

import "errors"

var (
	// ErrNotCommitted means that the proposal has no effect: another entry was
	// committed in its place.
	ErrNotCommitted = errors.New("proposal was not committed")
	// ErrOutcomeUnknown means that the proposal may or may not take effect.
	ErrOutcomeUnknown = errors.New("outcome of the proposal is unknown")
	// ErrStopped means that the node has stopped.
	ErrStopped = errors.New("node has stopped")
)

// NotLeaderError is returned for a request that only the leader serves. The
// request had no effect.
type NotLeaderError struct {
	Leader string // instance name; empty when unknown
}

func (e *NotLeaderError) Error() string {
	if e.Leader == "" {
		return "not the leader; no leader is known"
	}
	return "not the leader; leader is " + e.Leader
}
