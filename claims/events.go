package claims

import (
	"time"

	"hawthornshore.example/structs"
)

// RequestID names one waiting request of a caller or of a forwarding instance.
type RequestID uint64

// Digest identifies the body of a submission. Two submissions with one job ID
// and different digests are not the same job.
type Digest uint64

// Event is an input of the core.
type Event interface{ isEvent() }

// Effect is an output of the core, to be carried out by its owner.
type Effect interface{ isEffect() }

// Submit brings a submission, first or repeated, that this instance owns.
type Submit struct {
	Request RequestID
	Job     structs.Job
	Digest  Digest
}

// Query asks for the state of a job without submitting it.
type Query struct {
	Request RequestID
	JobID   structs.JobID
}

// Cancel asks to stop a job. The request is answered like a Query once the job
// has finished.
type Cancel struct {
	Request RequestID
	JobID   structs.JobID
}

// Abandon says that a waiting request has gone away.
type Abandon struct{ Request RequestID }

// JobAdmitted says that the dispatch core has a place for the job.
type JobAdmitted struct{ JobID structs.JobID }

// JobFinished brings the job's one answer.
type JobFinished struct{ Answer structs.Answer }

// CopyAcked says that the backup holds the copy of a claim.
type CopyAcked struct {
	Peer  string
	JobID structs.JobID
}

// CopyReceived brings a claim or an answer from the owner that this instance
// backs up.
type CopyReceived struct {
	Peer string
	Copy Copy
}

// MembersChanged brings the agreed members of the data centre, this instance
// included, and the epoch of that agreement. Epochs only grow.
type MembersChanged struct {
	Epoch   uint64
	Members []string
	// Rejoined says that this instance was not a member all the time since the
	// last MembersChanged, so that others may have owned its partitions.
	Rejoined bool
	// Left and Token name the member whose graceful leave began the epoch and
	// the hand-over that it completed in the epoch before.
	Left  string
	Token uint64
}

// LeaseChanged says whether this instance may act as an owner. The zero values
// of the other fields mean that Held alone decides.
type LeaseChanged struct {
	Held bool
	// Until is when the lease ends unless it is renewed. The core compares it
	// with the time of each Step, so that an instance that was frozen does not
	// act on a lease that ended in the meantime.
	Until time.Time
	// Epoch is the epoch of members the lease is for. Nothing is admitted while
	// it differs from the epoch of MembersChanged.
	Epoch uint64
	// Confirmed says that all members have agreed to the epoch, so that the
	// partitions gained with it may be used. Only looked at if Epoch is set.
	Confirmed bool
}

// ClockSkewChanged says whether this instance's clock is too far from those of its
// peers to admit jobs.
type ClockSkewChanged struct{ Skewed bool }

// PeerRestarted says that a member runs as a new process and has lost its
// memory. The core sends it the records it needs.
type PeerRestarted struct{ Peer string }

// Drain begins a graceful stop: no more jobs are admitted, those that were are
// finished, and all records are handed over. HandOverCompleted follows. New
// submissions wait until they can be forwarded to the new owner.
type Drain struct{}

// HandOverReceived brings the hand-over of a leaving owner. If it matches what
// this instance has received, AckHandOver follows.
type HandOverReceived struct {
	Peer     string
	HandOver HandOver
}

// HandOverAcked says that the peer has all records of the hand-over.
type HandOverAcked struct {
	Peer  string
	Token uint64
}

// Tick lets the core act on timers; it is due at NextWake.
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

// Copy is what the backup keeps of a job.
type Copy struct {
	JobID          structs.JobID
	Digest         Digest
	DeadlineUnixMS int64
	Answer         *structs.Answer // nil while the job is not finished
	// Origin is the instance that admitted the job; empty if it is the sender.
	Origin string
	// AnyDigest is set if the ID was cancelled before its body was seen, so
	// that Digest means nothing.
	AnyDigest bool
}

// Admit asks the dispatch core for a decision on a new job.
type Admit struct{ Job structs.Job }

// Release tells the dispatch core that the claim is held.
type Release struct{ JobID structs.JobID }

// CancelJob tells the dispatch core to stop a job.
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

// SendHandOver sends the summary of what was handed over, after the copies. It
// is sent again until HandOverAcked.
type SendHandOver struct {
	Peer     string
	HandOver HandOver
}

// AckHandOver tells the leaving owner that its records have arrived.
type AckHandOver struct {
	Peer  string
	Token uint64
}

// HandOverCompleted says that a drained instance has no more unfinished jobs and that
// the new owners of its partitions have its records, for lease.Leave. It is
// repeated with another token if the members change before the leave.
type HandOverCompleted struct {
	Token uint64
	Epoch uint64
}

// Forward hands a waiting submission back, to be sent to the new owner of its
// partition. It stands for the Reply of the request.
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
