// Package claims keeps, for the job IDs that an instance owns, the claim and
// the answer, so that a job is admitted at most once and every submission of it
// gets the same answer. It does no I/O: Step takes one event, Ready hands out
// the effects, NextWake says when a Tick is due. One goroutine owns a Core.
//
// Package lease, next to it, tells the core which partitions it may act on. In
// the order of a graceful stop, the server sends Drain, waits for HandOverCompleted,
// passes its token to lease.Leave, and waits for lease.LeaveCompleted. Submissions that
// arrive in the meantime come back as Forward once there is a new owner.
package claims
