package consensus

import "errors"

// Errors of a Refused effect.
var (
	ErrChangePending      = errors.New("another membership change is not committed yet")
	ErrNotCaughtUp        = errors.New("learner has not caught up")
	ErrNoSuchMember       = errors.New("no such member")
	ErrMemberExists       = errors.New("already a member")
	ErrLastVoter          = errors.New("the last voter cannot be removed")
	ErrNoCommitInTerm     = errors.New("leader has not committed an entry of its term yet")
	ErrOverloaded         = errors.New("too many uncommitted proposals")
	ErrTransferInProgress = errors.New("leadership transfer in progress")
	ErrLeaderChanged      = errors.New("leadership was lost before the request completed")
)

// ErrCommittedConflict means that a leader's log lacks an entry that was committed
// here: some member lost durable state and kept its ID.
var ErrCommittedConflict = errors.New("leader's log conflicts with a committed entry")

// ErrDiskFull is wrapped by the errors of a storage whose disk is full; the same
// write may be retried.
var ErrDiskFull = errors.New("disk is full")

// NotLeaderError is returned for a request that only the leader can serve.
type NotLeaderError struct {
	Leader string // member ID; empty when unknown
}

func (e *NotLeaderError) Error() string {
	if e.Leader == "" {
		return "not the leader; no leader is known"
	}
	return "not the leader; leader is " + e.Leader
}
