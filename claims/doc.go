// Package claims stores, for the job IDs that an instance owns, the claim and
// the answer, so that a job is admitted at most once and every submission of it
// gets the same answer. It does no I/O: Step processes one event, Ready returns
// the effects, NextWake returns when a Tick is due. A Core is not safe for
// concurrent use.
//
// Package lease determines whether the core may act as an owner. For a graceful
// stop, the server sends Drain, waits for HandOverCompleted, passes its token to
// lease.Leave, and waits for lease.LeaveCompleted. Submissions that arrive in the
// meantime are returned as Forward once there is a new owner.
package claims
