package claims

import (
	"time"

	"hawthornshore.example/structs"
)

// state is the progress of a job ID. It only increases.
type state uint8

const (
	// undecided: the dispatch core has neither queued nor refused the job yet.
	undecided state = iota
	// copying: the backup has not acknowledged the claim; no task may start.
	copying
	// awaitingLease: the claim was copied or the copy timed out, but the lease
	// is not held.
	awaitingLease
	// released: tasks may have started.
	released
	// remote: another instance admitted the job; this one has a copy of the claim.
	remote
	// finished: the answer is set; its results may have been dropped.
	finished
)

// record is the claim of one job ID, and its answer once there is one.
type record struct {
	id       structs.JobID
	digest   Digest
	deadline int64 // Unix milliseconds
	state    state
	// anyDigest is set if the job was cancelled before its submission arrived,
	// so that any body matches.
	anyDigest bool
	// future is set on refusals that count against maxFutureRecords.
	future     bool
	cancelled  bool          // CancelJob was sent for a released job
	origin     string        // instance that admitted a remote job
	originLost bool          // the process that admitted a remote job was lost
	copyPeer   string        // backup whose acknowledgement is awaited
	replyDue   time.Duration // when waiting requests are answered without the job's answer
	copyDue    time.Duration // when the wait for copyPeer ends
	expires    time.Duration // when the record is dropped
	answer     *structs.Answer
	bytes      int // size of the results in answer
	waiters    []RequestID
}

// copyOf returns the copy for a backup or a new owner.
func (r *record) copyOf() Copy {
	return Copy{
		Origin:         r.origin,
		JobID:          r.id,
		Digest:         r.digest,
		DeadlineUnixMS: r.deadline,
		Answer:         r.answer,
		AnyDigest:      r.anyDigest,
	}
}

// mayStart reports whether a task of the job may have been started.
func (r *record) mayStart() bool { return r.state >= released }

// resultOverhead is the size in bytes that is added for each task result.
const resultOverhead = 24

func resultBytes(a *structs.Answer) int {
	n := len(a.Message)
	for _, t := range a.Results {
		n += len(t.Output) + len(t.Target) + resultOverhead
	}
	return n
}
