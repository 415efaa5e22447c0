package placement

import "time"

// Event is an input of a Core.
type Event any

// Tick reports the time only.
type Tick struct{}

// Submit submits a job of a caller.
type Submit struct {
	Caller Caller
	Job    Job
}

// Withdraw reports that the caller of a job has left.
type Withdraw struct{ Caller Caller }

// Cancel cancels a job of any caller that is not stored. Later submissions of its ID
// are answered as cancelled, whether or not the job was active here.
type Cancel struct{ JobID string }

// GatewayDisconnected reports that the link to a gateway has failed. The
// callers behind it are gone.
type GatewayDisconnected struct{ Gateway string }

// Heartbeat is a heartbeat of a target that this coordinator owns or takes over.
type Heartbeat struct{ Description Description }

// TargetDeregistered reports that a target has shut down.
type TargetDeregistered struct {
	Target     string
	BootUnixMS int64
}

// TargetDraining reports that another coordinator has acknowledged the
// drain of a target.
type TargetDraining struct {
	Target     string
	BootUnixMS int64
}

// PeerAvailability replaces the available targets of another coordinator, or
// updates them if Partial is set.
type PeerAvailability struct {
	Peer     string
	Draining bool
	Targets  []AvailableTarget
	Partial  bool
	Removed  []string // targets that are no longer available, if Partial is set
}

// PeerConnected reports a new link to another coordinator, which has not
// received the available targets here.
type PeerConnected struct {
	Peer string
	// ChecksStepLimits is set if the peer checks Placement.PerTarget; earlier versions
	// ignore it.
	ChecksStepLimits bool
}

// PeerDisconnected reports that the link to another coordinator has failed.
type PeerDisconnected struct{ Peer string }

// PlacementsRequested is another coordinator's request to run tasks here.
type PlacementsRequested struct {
	Peer       string
	Placements []Placement
}

// StopRequested is another coordinator's request to stop tasks here.
type StopRequested struct {
	Peer string
	Refs []uint64
}

// PlacementsReported is another coordinator's reports on tasks placed there.
type PlacementsReported struct {
	Peer    string
	Reports []Report
}

// HandOverReceived is a target that another coordinator hands over to this one.
type HandOverReceived struct {
	Peer     string
	HandOver HandOver
	Invalid  string // why the target is not taken over; empty: it is
}

// OrderResponse is the result of an order to a target.
type OrderResponse struct {
	Order  uint64
	Result Result
	// ClockMS is the target's clock in ms; 0 if the response lacks it.
	ClockMS int64
	// BootUnixMS is the target's start, in Unix ms; 0 if the response lacks it.
	BootUnixMS int64
	// Running and Ended are the runs in the response to a poll.
	Running []RunningEntry
	Ended   []EndedEntry
	// EndsTruncated reports that the target may have ended runs that Ended leaves out.
	// It lists them once those in Ended are acknowledged.
	EndsTruncated bool
	Reason        string
	// ConnectionRefused reports that no process listens at the target's address.
	ConnectionRefused bool
}

// TargetsRestored lists the targets that an earlier process of this coordinator
// owned. They are taken over soon unless another coordinator owns them.
type TargetsRestored struct{ Targets []Description }

// ProcessPaused reports that this process was paused for so long that gateways
// may have given up its jobs.
type ProcessPaused struct{}

// HandOverRequested is a request to hand a target over to its assigned owner.
type HandOverRequested struct {
	Target string
	Peer   string
}

// sender returns the coordinator that an event came from, or "".
func sender(event Event) string {
	switch e := event.(type) {
	case PeerAvailability:
		return e.Peer
	case PlacementsRequested:
		return e.Peer
	case StopRequested:
		return e.Peer
	case PlacementsReported:
		return e.Peer
	case HandOverReceived:
		return e.Peer
	}
	return ""
}

// FromPeer reports whether an event came over a link, so that it is invalid once
// the link is closed.
func FromPeer(event Event) bool {
	switch event.(type) {
	case Submit, Withdraw, PeerAvailability, PlacementsRequested, StopRequested, PlacementsReported, HandOverReceived:
		return true
	}
	return false
}

// Drain begins the planned shutdown of this coordinator: it accepts no more jobs
// and hands its targets over.
type Drain struct{}

// Result is the result code of an order.
type Result int

// Results of orders.
const (
	// Unknown means that the order may or may not have been carried out.
	Unknown      Result = iota
	OK                  // carried out
	Fenced              // another coordinator owns the target
	Stale               // the target has had a run of the task with this number or a higher one
	LeaseExpired        // the lease in the order had expired at the target
	NoCapacity          // the target lacks free capacity
	Unavailable         // the target is unavailable for now and has done nothing
	OtherBoot           // the order was for another boot of the target
	Refused             // not carried out for another reason
)

var resultNames = [...]string{"unknown", "ok", "fenced", "stale", "late", "no-room", "unwell", "other-boot", "refused"}

func (r Result) String() string { return resultNames[r] }

// Effect is an output of a Core.
type Effect any

// TargetRef identifies the target of an order.
type TargetRef struct {
	ID      string
	Address string
}

// StartOrder starts a run.
type StartOrder struct {
	Order     uint64
	Target    TargetRef
	Task      string
	Run       int
	Spec      string
	ExpiresMS int64 // end of the lease on the target's clock
	Token     uint64
	Timeout   time.Duration
}

// StopOrder stops a run.
type StopOrder struct {
	Order   uint64
	Target  TargetRef
	Task    string
	Run     int
	Token   uint64
	Timeout time.Duration
}

// PollOrder reads the running and ended runs of a target, acknowledges ends and
// extends the lease.
type PollOrder struct {
	Order     uint64
	Target    TargetRef
	Token     uint64
	AckedEnd  uint64        // the target removes ends up to this number
	ExpiresMS int64         // end of the lease on the target's clock; 0 extends nothing
	Wait      time.Duration // how long the target waits for an end
	Timeout   time.Duration
}

// AnswerJob answers the caller of a job.
type AnswerJob struct {
	Caller     Caller
	JobID      string
	Outcome    Outcome
	Reason     string
	RetryAfter time.Duration // for NotRun
}

// RequestPlacements sends another coordinator a request to run tasks.
type RequestPlacements struct {
	Peer       string
	Placements []Placement
}

// SendReports sends another coordinator reports on its tasks.
type SendReports struct {
	Peer    string
	Reports []Report
}

// SendStops sends another coordinator a request to stop tasks.
type SendStops struct {
	Peer string
	Refs []uint64
}

// SendHandOver hands a target over to another coordinator.
type SendHandOver struct {
	Peer     string
	HandOver HandOver
}

// AvailabilityChanged reports that the result of AvailableTargets has changed.
type AvailabilityChanged struct{}

// AvailabilityCorrected reports that another coordinator has a wrong view of the
// free capacity of a target, which has to be sent again even if it is unchanged.
type AvailabilityCorrected struct{ Target string }

// Decision is a decision to log.
type Decision struct {
	Event  string
	Job    string
	Task   string
	Target string
	Peer   string
	Reason string
	Age    time.Duration // of the job, run, token or log read
	Value  int64
	// BootUnixMS is the boot of the target that the event is about; 0: not reported.
	BootUnixMS int64
	// SafeAfter is how long runs may still be alive; 0: they are not.
	SafeAfter time.Duration
}
