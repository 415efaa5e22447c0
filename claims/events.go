package claims

import (
	"time"

	"hawthornshore.example/structs"
)

// RequestID identifies one waiting request of a caller or of a forwarding instance.
type RequestID uint64

// Digest identifies the body of a submission. Two submissions with one job ID
// and different digests are not the same job.
type Digest uint64

// Event is an input of the core.
type Event interface{ isEvent() }

// Effect is an output of the core, to be carried out by its owner.
type Effect interface{ isEffect() }

// Submit is a first or repeated submission of a job that this instance owns.
type Submit struct {
	Request RequestID
	Job     structs.Job
	Digest  Digest
}

// Query requests the state of a job without submitting it.
type Query struct {
	Request RequestID
	JobID   structs.JobID
}

// Cancel requests that a job be stopped. It is answered like a Query once the
// job has finished.
type Cancel struct {
	Request RequestID
	JobID   structs.JobID
}

// Abandon reports that the caller of a waiting request no longer waits.
type Abandon struct{ Request RequestID }

// JobAdmitted reports that the dispatch core has queued the job.
type JobAdmitted struct{ JobID structs.JobID }

// JobFinished carries the job's only answer.
type JobFinished struct{ Answer structs.Answer }

// CopyAcked reports that the backup has stored the copy of a claim.
type CopyAcked struct {
	Peer  string
	JobID structs.JobID
}

// CopyReceived carries a claim or an answer from the owner that this instance
// backs up.
type CopyReceived struct {
	Peer string
	Copy Copy
}

// MembersChanged carries the agreed members of the data centre, this instance
// included, and the epoch of that agreement. Epochs only increase.
type MembersChanged struct {
	Epoch   uint64
	Members []string
	// MembershipInterrupted is set if this instance was not a member all the time
	// since the last MembersChanged, so that others may have owned its partitions.
	MembershipInterrupted bool
	// Left is the member whose graceful leave began the epoch, Token the
	// hand-over that it completed in the epoch before.
	Left  string
	Token uint64
}

// LeaseChanged reports whether this instance may act as an owner. With zero
// values in the other fields, only Held counts.
type LeaseChanged struct {
	Held bool
	// Until is when the lease ends unless it is renewed. The core compares it
	// with the time of each Step, so that a process that was paused does not
	// act on a lease that ended in the meantime.
	Until time.Time
	// Epoch is the epoch of members the lease is for. Nothing is admitted while
	// it differs from the epoch of MembersChanged.
	Epoch uint64
	// Confirmed is set if all members have settled in the epoch, so that the
	// partitions gained with it may be used. Ignored if Epoch is 0.
	Confirmed bool
}

// ClockSkewChanged reports whether this instance's clock differs too much from
// those of its peers to admit jobs.
type ClockSkewChanged struct{ Skewed bool }

// PeerRestarted reports that a member runs as a new process without its records.
// The core sends it those that it needs.
type PeerRestarted struct{ Peer string }

// Drain makes the instance draining: no more jobs are admitted, those that were
// are finished, and all records are handed over. HandOverCompleted follows. New
// submissions wait until they can be forwarded to the new owner.
type Drain struct{}

// HandOverReceived carries the hand-over of a draining owner. If it matches the
// records that this instance has received, AckHandOver follows.
type HandOverReceived struct {
	Peer     string
	HandOver HandOver
}

// HandOverAcked reports that the peer has all records of the hand-over.
type HandOverAcked struct {
	Peer  string
	Token uint64
}

// Tick runs expired timers; it is due at NextWake.
type Tick struct{}

func (Submit) isEvent()           {}
func (Query) isEvent()            {}
func (Cancel) isEvent()           {}
func (Abandon) isEvent()          {}
func (JobAdmitted) isEvent()      {}
func (JobFinished) isEvent()      {}
func (CopyAcked) isEvent()        {}
func (CopyReceived) isEvent()     {}
func (MembersChanged) isEvent()   {}
func (LeaseChanged) isEvent()     {}
func (ClockSkewChanged) isEvent() {}
func (PeerRestarted) isEvent()    {}
func (Drain) isEvent()            {}
func (HandOverReceived) isEvent() {}
func (HandOverAcked) isEvent()    {}
func (Tick) isEvent()             {}

// Copy is the part of a record that is sent to the backup.
type Copy struct {
	JobID          structs.JobID
	Digest         Digest
	DeadlineUnixMS int64
	Answer         *structs.Answer // nil while the job is not finished
	// Origin is the instance that admitted the job; empty if it is the sender.
	Origin string
	// AnyDigest is set if the ID was cancelled before its submission arrived,
	// so that Digest is not valid.
	AnyDigest bool
}

// Admit passes a new job to the dispatch core, which queues or refuses it.
type Admit struct{ Job structs.Job }

// Release allows the dispatch core to start tasks of the job.
type Release struct{ JobID structs.JobID }

// CancelJob stops a job in the dispatch core.
type CancelJob struct{ JobID structs.JobID }

// SendCopy sends a claim or an answer to the backup. CopyAcked is expected for
// copies without an answer.
type SendCopy struct {
	Peer string
	Copy Copy
}

// Reply answers one waiting request.
type Reply struct {
	Request RequestID
	Answer  structs.Answer
}

// CopyTimedOut reports that a job was released without the backup's
// acknowledgement.
type CopyTimedOut struct {
	JobID structs.JobID
	Peer  string
}

// SendHandOver sends the seals of the transferred partitions, after the copies.
// It is sent again until HandOverAcked.
type SendHandOver struct {
	Peer     string
	HandOver HandOver
}

// AckHandOver confirms to the draining owner that all its records have arrived.
type AckHandOver struct {
	Peer  string
	Token uint64
}

// HandOverCompleted reports that a draining instance has no more unfinished jobs
// and that the new owners of its partitions have its records, for lease.Leave. It
// is repeated with another token if the members change before lease.Leave takes
// effect.
type HandOverCompleted struct {
	Token uint64
	Epoch uint64
}

// Forward returns a waiting submission, to be sent to the new owner of its
// partition. It replaces the Reply of the request.
type Forward struct{ Submit Submit }

func (SendHandOver) isEffect()      {}
func (AckHandOver) isEffect()       {}
func (HandOverCompleted) isEffect() {}
func (Forward) isEffect()           {}
func (Admit) isEffect()             {}
func (Release) isEffect()           {}
func (CancelJob) isEffect()         {}
func (SendCopy) isEffect()          {}
func (Reply) isEffect()             {}
func (CopyTimedOut) isEffect()      {}
