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

// GatewayLost says that the link to a gateway has failed, and with it the
// callers behind it.
type GatewayLost struct{ Gateway string }

// Reported is a heartbeat of a target that this coordinator shall own.
type Reported struct{ Description Description }

// Left says that a target has ended.
type Left struct {
	Target string
	Born   int64
}

// DrainNoticed says that another coordinator has acknowledged that a target
// is leaving.
type DrainNoticed struct {
	Target string
	Born   int64
}

// PeerRoom replaces what is known of another coordinator's targets.
type PeerRoom struct {
	Peer     string
	Draining bool
	Rooms    []Room
}

// PeerJoined says that there is a link to another coordinator now, which does
// not know the room here.
type PeerJoined struct{ Peer string }

// PeerLost says that the link to another coordinator has failed.
type PeerLost struct{ Peer string }

// Requested is another coordinator's request to run tasks here.
type Requested struct {
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

// HandedOver is a target that another coordinator gives to this one.
type HandedOver struct {
	Peer string
	Hand HandOver
}

// Answered is the outcome of an order to a target.
type Answered struct {
	Order  uint64
	Result Result
	// ClockMS is the target's clock in ms; 0 if the answer did not say it.
	ClockMS int64
	// Born is the target's start, in Unix ms; 0 if the answer did not say it.
	Born int64
	// Running and Ended are the lists of a look that was answered.
	Running []RunningEntry
	Ended   []EndedEntry
	Reason  string
}

// Remembered names targets that an earlier process of this coordinator owned.
// They are taken over soon unless they report elsewhere.
type Remembered struct{ Targets []Description }

// Interrupted says that this process stood still for so long that gateways may
// have taken its jobs for lost.
type Interrupted struct{}

// Yield asks to give a target to the coordinator that shall own it.
type Yield struct {
	Target string
	Peer   string
}

// sender returns the coordinator that an event came from, or "".
func sender(event Event) string {
	switch e := event.(type) {
	case PeerRoom:
		return e.Peer
	case Requested:
		return e.Peer
	case StopRequested:
		return e.Peer
	case PlacementsReported:
		return e.Peer
	case HandedOver:
		return e.Peer
	}
	return ""
}

// FromPeer reports whether an event came over a link, so that it is void once the
// link is given up.
func FromPeer(event Event) bool {
	switch event.(type) {
	case Submit, Withdraw, PeerRoom, Requested, StopRequested, PlacementsReported, HandedOver:
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
	Unknown   Result = iota
	OK               // carried out
	Fenced           // another coordinator owns the target
	Stale            // a run with this number or a higher one was there before
	Late             // the lease in the order had ended at the target
	NoRoom           // the target has no room
	Unwell           // the target does not work now and has done nothing
	OtherBoot        // the target is another boot than the one that was meant
	Refused          // not carried out for another reason
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

// LookOrder reads the lists of a target, notes ends and extends the lease.
type LookOrder struct {
	Order     uint64
	Target    TargetRef
	Token     uint64
	Seen      uint64        // ends up to this number are forgotten by the target
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
	Peer string
	Hand HandOver
}

// RoomChanged says that Rooms returns something new.
type RoomChanged struct{}

// Decided is one decision for the log.
type Decided struct {
	Event  string
	Job    string
	Task   string
	Target string
	Peer   string
	Reason string
	Age    time.Duration // of the job, or of the report that decided
	Value  int64
}
