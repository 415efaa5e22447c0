package claims

import (
	"time"

	"hawthornshore.example/structs"
)

// state is how far a job ID has come. It only grows.
type state uint8

const (
	// undecided: the dispatch core has not yet decided on the job.
	undecided state = iota
	// copying: the claim is on its way to the backup; no task may start.
	copying
	// awaitingLease: the claim is copied or the wait is over, but the lease is not awaitingLease.
	awaitingLease
	// released: tasks may have started.
	released
	// remote: another instance admitted the job, this one has its copy.
	remote
	// finished: the answer is known, or its results were dropped.
	finished
)

// record is all that is known of one job ID.
type record struct {
	id       structs.JobID
	digest   Digest
	deadline int64 // Unix milliseconds
	state    state
	// anyDigest is set if a cancellation came before the submission, so that
	// the body is not known.
	anyDigest bool
	// future is set on refusals that count against maxFutureRecords.
	future     bool
	cancelled  bool          // CancelJob was sent for a released job
	origin     string        // instance that admitted a foreign job
	originLost bool          // the process that admitted a foreign job is known to be lost
	copyPeer   string        // backup whose acknowledgement is awaited
	replyDue   time.Duration // when waiting requests are answered without the job's answer
	copyDue    time.Duration // when the wait for copyPeer ends
	expires    time.Duration // when the record is dropped
	answer     *structs.Answer
	bytes      int // size of the results in answer
	waiters    []RequestID
}

// copyOf returns what a backup or a new owner needs of the record.
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

// mayStart says whether a task of the job may have been started.
func (r *record) mayStart() bool { return r.state >= released }

func resultBytes(a *structs.Answer) int {
	n := len(a.Message)
	for _, t := range a.Results {
		n += len(t.Output) + len(t.Target) + 24
	}
	return n
}
