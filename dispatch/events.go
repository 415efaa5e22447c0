package dispatch

import (
	"encoding/json"
	"time"

	"hawthornshore.example/structs"
)

// Event is an input of the core.
type Event interface{ isEvent() }

// Effect is an output of the core, to be carried out by its owner.
type Effect interface{ isEffect() }

// ConfigChanged brings a newer system configuration.
type ConfigChanged struct{ Config structs.SystemConfig }

// TargetAnnounced brings an announcement of a target that this instance manages.
type TargetAnnounced struct{ Announcement structs.Announcement }

// TargetReassigned says that another instance manages the target now. Running
// attempts go on; the target gets no new work from this core.
type TargetReassigned struct{ TargetID string }

// AdmitJob asks for a decision on a job. The core answers with exactly one
// JobAdmitted, or with one JobFinished that has outcome not-run.
type AdmitJob struct{ Job structs.Job }

// ReleaseJob says that the claim of an admitted job is held, so that its tasks
// may start. No task starts before it.
type ReleaseJob struct{ JobID structs.JobID }

// CancelJob drops the waiting tasks of a job and stops its running ones.
type CancelJob struct{ JobID structs.JobID }

// LeaseChanged says whether this instance may start tasks of the jobs it owns.
// Without the lease, admitted jobs stay queued until their deadlines.
type LeaseChanged struct{ Held bool }

// Drain stops the admission of new jobs; admitted ones are finished.
type Drain struct{}

// AttemptAccepted says that the target acknowledged a start.
type AttemptAccepted struct{ Attempt structs.AttemptID }

// AttemptDone brings the answer of a task.
type AttemptDone struct {
	Attempt structs.AttemptID
	Output  json.RawMessage
	RunMS   int64 // run time measured by the target, in milliseconds
}

// AttemptFailed says that the task ran and failed.
type AttemptFailed struct {
	Attempt structs.AttemptID
	Message string
	RunMS   int64
}

// AttemptRefused says that the target proved that it has not started the
// attempt and never will: it had no slot, was leaving, or holds a tombstone.
type AttemptRefused struct {
	Attempt structs.AttemptID
	Cause   RefusalCause
}

// RefusalCause says why a target refused a start.
type RefusalCause string

// Causes of a refusal.
const (
	RefusedBusy      RefusalCause = "busy"
	RefusedLeaving   RefusalCause = "leaving"
	RefusedTombstone RefusalCause = "tombstone"
	// RefusedIncarnation means that another incarnation of the target
	// answered. It proves nothing about a start that was acknowledged.
	RefusedIncarnation RefusalCause = "incarnation"
	// RefusedNotSent means that no byte of the start left this instance.
	RefusedNotSent RefusalCause = "not_sent"
)

// AttemptUnresponsive says that nothing more was heard of an attempt: no
// acknowledgement within StartAckTimeout, or the stream of an acknowledged
// attempt broke or fell silent. The core answers with ResolveAttempt.
type AttemptUnresponsive struct{ Attempt structs.AttemptID }

// AttemptUnresolved says that the target could not be asked about a silent
// attempt within the given time, or has no record of it. The outcome of the
// job is unknown unless another task decides it.
type AttemptUnresolved struct{ Attempt structs.AttemptID }

// PeerCapacityUpdated brings the number of free slots that a peer offers to lend.
// Total, MaxCores and MaxMB are the peer's usable slots and its largest slot;
// 0 means that it does not say, or that the size is unlimited. Targets and
// Ejected count the targets it manages and those of them that are ejected.
type PeerCapacityUpdated struct {
	Peer     string
	Free     int
	Total    int
	MaxCores float64
	MaxMB    int64
	Targets  int
	Ejected  int
}

// PeerLost says that a peer is not reachable; its loans end.
type PeerLost struct{ Peer string }

// SlotsRequested says that a peer asks to borrow slots for tasks of one class.
// The slots must have at least MinCores and MinMB.
type SlotsRequested struct {
	Peer     string
	Class    string
	Count    int
	MinCores float64
	MinMB    int64
	Waited   time.Duration // how long the oldest task has waited
}

// SlotsGranted brings slots that a peer lent. An empty list means none.
// It answers the open request of the class to the peer.
type SlotsGranted struct {
	Peer  string
	Class string
	Slots []SlotLoan
}

// SlotLoan is one slot of one target, lent until Expires.
type SlotLoan struct {
	Target  structs.TargetRef
	Expires time.Time // a start must begin before this time
	Cores   float64   // size of the slot; 0 is unlimited
	MB      int64
}

// SlotReturned says that a borrowed slot of a target this instance manages is
// free again.
type SlotReturned struct {
	Peer     string
	TargetID string
	// Failed and RunMS feed the target's health; RunMS is 0 if nothing ran.
	Failed bool
	RunMS  int64
	Busy   bool // the target refused the start: something else runs there
	Class  string
}

// Tick lets the core act on timers; it is due at NextWake.
type Tick struct{}

func (ConfigChanged) isEvent()       {}
func (TargetAnnounced) isEvent()     {}
func (TargetReassigned) isEvent()    {}
func (AdmitJob) isEvent()            {}
func (ReleaseJob) isEvent()          {}
func (CancelJob) isEvent()           {}
func (LeaseChanged) isEvent()        {}
func (Drain) isEvent()               {}
func (AttemptAccepted) isEvent()     {}
func (AttemptDone) isEvent()         {}
func (AttemptFailed) isEvent()       {}
func (AttemptRefused) isEvent()      {}
func (AttemptUnresponsive) isEvent() {}
func (AttemptUnresolved) isEvent()   {}
func (PeerCapacityUpdated) isEvent() {}
func (PeerLost) isEvent()            {}
func (SlotsRequested) isEvent()      {}
func (SlotsGranted) isEvent()        {}
func (SlotReturned) isEvent()        {}
func (Tick) isEvent()                {}

// JobAdmitted says that the job has a place in the queue. Its tasks start after
// ReleaseJob.
type JobAdmitted struct{ JobID structs.JobID }

// JobFinished brings the one answer of a job.
type JobFinished struct{ Answer structs.Answer }

// StartAttempt asks the owner to send a start to a target and to report back
// with exactly one of AttemptDone, AttemptFailed, AttemptRefused or
// AttemptUnresponsive, after an AttemptAccepted where there is one.
type StartAttempt struct {
	Attempt  structs.AttemptID
	Target   structs.TargetRef
	Task     structs.Task
	Class    string
	Deadline time.Time // the target must not begin the task after this time
}

// ResolveAttempt asks the owner to find out about a silent attempt on a new
// connection, placing a tombstone, and to report back with AttemptDone,
// AttemptFailed, AttemptRefused or AttemptUnresolved. It keeps asking until
// Deadline while the target says that the attempt still runs.
type ResolveAttempt struct {
	Attempt  structs.AttemptID
	Target   structs.TargetRef
	Deadline time.Time
}

// CancelAttempt asks the owner to tell a target to stop an attempt.
type CancelAttempt struct {
	Attempt structs.AttemptID
	Target  structs.TargetRef
}

// RequestSlots asks a peer for a loan.
type RequestSlots struct {
	Peer     string
	Class    string
	Count    int
	MinCores float64 // least size of the slots
	MinMB    int64
	Waited   time.Duration // how long the oldest task has waited
}

// GrantSlots answers a peer's request; an empty list means none.
type GrantSlots struct {
	Peer  string
	Class string
	Slots []SlotLoan
}

// ReturnSlot gives a borrowed slot back to the peer that manages the target.
type ReturnSlot struct {
	Peer     string
	TargetID string
	Failed   bool
	RunMS    int64
	Busy     bool // the target refused the start: something else runs there
	Class    string
}

// TargetEjected and TargetRestored report changes of a target's health.
type TargetEjected struct {
	TargetID string
	Cause    string
}

// TargetRestored says that an ejected target gets normal work again.
type TargetRestored struct{ TargetID string }

func (JobAdmitted) isEffect()    {}
func (JobFinished) isEffect()    {}
func (StartAttempt) isEffect()   {}
func (ResolveAttempt) isEffect() {}
func (CancelAttempt) isEffect()  {}
func (RequestSlots) isEffect()   {}
func (GrantSlots) isEffect()     {}
func (ReturnSlot) isEffect()     {}
func (TargetEjected) isEffect()  {}
func (TargetRestored) isEffect() {}
