package dispatch

import (
	"encoding/json"
	"time"

	"hawthornshore.example/structs"
)

// Event is an input of the core.
type Event interface{ isEvent() }

// Effect is an output of the core, to be executed by its owner.
type Effect interface{ isEffect() }

// ConfigChanged carries a newer system configuration.
type ConfigChanged struct{ Config structs.SystemConfig }

// TargetAnnounced carries an announcement of a target that this instance manages.
type TargetAnnounced struct{ Announcement structs.Announcement }

// TargetReassigned reports that another instance manages the target now. Running
// attempts continue; the target gets no new work from this core.
type TargetReassigned struct{ TargetID string }

// AdmitJob submits a job. The core emits exactly one JobAdmitted, or one
// JobFinished with outcome not-run.
type AdmitJob struct{ Job structs.Job }

// ReleaseJob reports that the claim of an admitted job is held, so that its tasks
// may start. No task starts before it.
type ReleaseJob struct{ JobID structs.JobID }

// CancelJob drops the waiting tasks of a job and stops its running ones.
type CancelJob struct{ JobID structs.JobID }

// LeaseChanged reports whether this instance may start tasks of the jobs it owns.
// Without the lease, admitted jobs stay queued until their deadlines.
type LeaseChanged struct{ Held bool }

// Drain stops the admission of new jobs; admitted ones are finished.
type Drain struct{}

// AttemptAccepted reports that the target acknowledged a start.
type AttemptAccepted struct{ Attempt structs.AttemptID }

// AttemptDone carries the result of a task.
type AttemptDone struct {
	Attempt structs.AttemptID
	Output  json.RawMessage
	RunMS   int64 // run time measured by the target, in milliseconds
}

// AttemptFailed reports that the task ran and failed.
type AttemptFailed struct {
	Attempt structs.AttemptID
	Message string
	RunMS   int64
}

// AttemptRefused reports that the attempt has not started on the target and never
// will: no slot was free, the target is leaving, or it holds a tombstone.
type AttemptRefused struct {
	Attempt structs.AttemptID
	Cause   RefusalCause
}

// RefusalCause is the reason why a start was refused.
type RefusalCause string

// Causes of a refusal.
const (
	RefusedBusy      RefusalCause = "busy"
	RefusedLeaving   RefusalCause = "leaving"
	RefusedTombstone RefusalCause = "tombstone"
	// RefusedIncarnation means that another incarnation of the target
	// replied. It proves nothing about an acknowledged start.
	RefusedIncarnation RefusalCause = "incarnation"
	// RefusedNotSent means that no byte of the start was sent.
	RefusedNotSent RefusalCause = "not_sent"
)

// AttemptUnresponsive reports that an attempt was not acknowledged within
// StartAckTimeout, or that the stream of an acknowledged attempt broke or timed
// out. The core emits ResolveAttempt.
type AttemptUnresponsive struct{ Attempt structs.AttemptID }

// AttemptUnresolved reports that an unresponsive attempt could not be resolved
// before the deadline, or that the target has no record of it. The outcome of the
// job is unknown unless another task decides it.
type AttemptUnresolved struct{ Attempt structs.AttemptID }

// PeerCapacityUpdated carries the capacity of a peer. Free is the number of slots
// it can lend. Total, MaxCores and MaxMB are its usable slots and its largest
// slot; 0 means not given, or a size without limit. Targets and Ejected count the
// targets it manages and the ejected ones of them.
type PeerCapacityUpdated struct {
	Peer     string
	Free     int
	Total    int
	MaxCores float64
	MaxMB    int64
	Targets  int
	Ejected  int
}

// PeerLost reports that a peer is not reachable; its loans end.
type PeerLost struct{ Peer string }

// SlotsRequested carries a peer's request to borrow slots for tasks of one class.
// The slots must have at least MinCores and MinMB.
type SlotsRequested struct {
	Peer     string
	Class    string
	Count    int
	MinCores float64
	MinMB    int64
	Waited   time.Duration // how long the oldest task has waited
}

// SlotsGranted is a peer's answer to the open request of the class. An empty list
// means that no slot was lent.
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

// SlotReturned reports that a peer returned a loan of a target that this instance
// manages.
type SlotReturned struct {
	Peer     string
	TargetID string
	// Failed and RunMS update the target's health; RunMS is 0 if nothing ran.
	Failed bool
	RunMS  int64
	Busy   bool // the target refused the start: the slot was in use
	Class  string
}

// Tick fires due timers; it is due at NextWake.
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

// JobAdmitted reports that the job was admitted. Its tasks start after ReleaseJob.
type JobAdmitted struct{ JobID structs.JobID }

// JobFinished carries the answer of a job, emitted once per job.
type JobFinished struct{ Answer structs.Answer }

// StartAttempt sends a start to a target. The owner reports exactly one of
// AttemptDone, AttemptFailed, AttemptRefused or AttemptUnresponsive, preceded by
// AttemptAccepted if the target acknowledged the start.
type StartAttempt struct {
	Attempt  structs.AttemptID
	Target   structs.TargetRef
	Task     structs.Task
	Class    string
	Deadline time.Time // the target must not start the task after this time
}

// ResolveAttempt queries the target of an unresponsive attempt on a new connection
// and places a tombstone. The owner reports AttemptDone, AttemptFailed,
// AttemptRefused or AttemptUnresolved, and repeats the query until Deadline while
// the attempt runs.
type ResolveAttempt struct {
	Attempt  structs.AttemptID
	Target   structs.TargetRef
	Deadline time.Time
}

// CancelAttempt stops an attempt on its target.
type CancelAttempt struct {
	Attempt structs.AttemptID
	Target  structs.TargetRef
}

// RequestSlots requests loans from a peer.
type RequestSlots struct {
	Peer     string
	Class    string
	Count    int
	MinCores float64 // minimum size of the slots
	MinMB    int64
	Waited   time.Duration // how long the oldest task has waited
}

// GrantSlots answers a peer's request; an empty list means that none is lent.
type GrantSlots struct {
	Peer  string
	Class string
	Slots []SlotLoan
}

// ReturnSlot returns a loan to the peer that manages the target.
type ReturnSlot struct {
	Peer     string
	TargetID string
	Failed   bool
	RunMS    int64
	Busy     bool // the target refused the start: the slot was in use
	Class    string
}

// TargetEjected reports that an unhealthy target gets only probe tasks from now on.
type TargetEjected struct {
	TargetID string
	Cause    string
}

// TargetRestored reports that an ejected target gets normal work again.
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
