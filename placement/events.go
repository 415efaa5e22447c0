package placement

import "time"

// Event is an input of a Core.
type Event any

// Tick reports the time only.
type Tick struct{}

// Submit hands in a job of a caller.
type Submit struct {
	Caller Caller
	Job    Job
}

// Withdraw says that the caller of a job has left.
type Withdraw struct{ Caller Caller }

// Cancel ends a job wherever its caller is.
type Cancel struct{ JobID string }

// GatewayDisconnected says that the link to a gateway has failed, and with it the
// callers behind it.
type GatewayDisconnected struct{ Gateway string }

// Heartbeat is a heartbeat of a target that this coordinator shall own.
type Heartbeat struct{ Description Description }

// TargetDeregistered says that a target has ended.
type TargetDeregistered struct {
	Target     string
	BootUnixMS int64
}

// TargetDraining says that another coordinator has acknowledged that a target
// is leaving.
type TargetDraining struct {
	Target     string
	BootUnixMS int64
}

// PeerAvailability replaces what is known of another coordinator's targets.
type PeerAvailability struct {
	Peer     string
	Draining bool
	Targets  []AvailableTarget
}

// PeerConnected says that there is a link to another coordinator now, which does
// not know the room here.
type PeerConnected struct{ Peer string }

// PeerDisconnected says that the link to another coordinator has failed.
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

// PlacementsReported is what another coordinator says of tasks that were placed there.
type PlacementsReported struct {
	Peer    string
	Reports []Report
}

// HandOverReceived is a target that another coordinator gives to this one.
type HandOverReceived struct {
	Peer     string
	HandOver HandOver
}

// OrderResponse is the outcome of an order to a target.
type OrderResponse struct {
	Order  uint64
	Result Result
	// ClockMS is the target's clock in ms; 0 if the answer did not say it.
	ClockMS int64
	// BootUnixMS is the target's start, in Unix ms; 0 if the answer did not say it.
	BootUnixMS int64
	// Running and Ended are the lists of a look that was answered.
	Running []RunningEntry
	Ended   []EndedEntry
	Reason  string
}

// TargetsRestored names targets that an earlier process of this coordinator owned.
// They are taken over soon unless they report elsewhere.
type TargetsRestored struct{ Targets []Description }

// ProcessPaused says that this process stood still for so long that gateways may
// have taken its jobs for lost.
type ProcessPaused struct{}

// HandOverRequested asks to give a target to the coordinator that shall own it.
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

// FromPeer reports whether an event came over a link, so that it is void once the
// link is given up.
func FromPeer(event Event) bool {
	switch event.(type) {
	case Submit, Withdraw, PeerAvailability, PlacementsRequested, StopRequested, PlacementsReported, HandOverReceived:
		return true
	}
	return false
}

// Drain begins the planned end of this coordinator: it takes no more jobs and
// gives its targets away.
type Drain struct{}

// Result is what became of an order.
type Result int

// Results of orders.
const (
	// Unknown means that the order may or may not have been carried out.
	Unknown      Result = iota
	OK                  // carried out
	Fenced              // another coordinator owns the target
	Stale               // a run with this number or a higher one was there before
	LeaseExpired        // the lease in the order had ended at the target
	NoCapacity          // the target has no room
	Unavailable         // the target does not work now and has done nothing
	OtherBoot           // the target is another boot than the one that was meant
	Refused             // not carried out for another reason
)

var resultNames = [...]string{"unknown", "ok", "fenced", "stale", "late", "no-room", "unwell", "other-boot", "refused"}

func (r Result) String() string { return resultNames[r] }

// Effect is an output of a Core.
type Effect any

// TargetRef says where an order goes.
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

// PollOrder reads the lists of a target, notes ends and extends the lease.
type PollOrder struct {
	Order     uint64
	Target    TargetRef
	Token     uint64
	AckedEnd  uint64        // ends up to this number are forgotten by the target
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

// RequestPlacements asks another coordinator to run tasks.
type RequestPlacements struct {
	Peer       string
	Placements []Placement
}

// SendReports tells another coordinator what became of its tasks.
type SendReports struct {
	Peer    string
	Reports []Report
}

// SendStops asks another coordinator to stop tasks.
type SendStops struct {
	Peer string
	Refs []uint64
}

// SendHandOver gives a target to another coordinator.
type SendHandOver struct {
	Peer     string
	HandOver HandOver
}

// AvailabilityChanged says that AvailableTargets returns something new.
type AvailabilityChanged struct{}

// Decision is one decision for the log.
type Decision struct {
	Event  string
	Job    string
	Task   string
	Target string
	Peer   string
	Reason string
	Age    time.Duration // of the job, or of the report that decided
	Value  int64
}
