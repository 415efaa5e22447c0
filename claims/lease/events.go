package lease

import "time"

// Event is an input of the core.
type Event interface{ isEvent() }

// ViewReceived brings the members that the voters agreed on, from a voter or
// from any peer. Older epochs are ignored.
type ViewReceived struct{ View View }

// ProposalApplied brings the voters' answer to a Propose:
// the result of the command with that sequence.
type ProposalApplied struct {
	Sequence uint64
	Result   Result
}

// PromiseRequested says that a member asks this instance not to take over from
// it for Duration.
type PromiseRequested struct {
	Peer     string
	Epoch    uint64
	Duration time.Duration
	Sequence uint64
}

// PromiseAnswered brings the answer of a member to a RequestPromise.
type PromiseAnswered struct {
	Peer string
	// Incarnation is the process that answered, from the Hello of its link.
	Incarnation string
	Sequence    uint64
	Granted     bool
	Epoch       uint64 // the epoch that the peer knows
}

// Leave ends the lease for good: it is not renewed and the voters are asked to
// remove this instance. Token and Epoch are those of the claims core's
// HandOverCompleted, or 0 if the hand-over did not complete.
type Leave struct {
	Token uint64
	Epoch uint64
}

// Tick lets the core act on timers; it is due at NextWake.
type Tick struct{}

func (ViewReceived) isEvent()     {}
func (ProposalApplied) isEvent()  {}
func (PromiseRequested) isEvent() {}
func (PromiseAnswered) isEvent()  {}
func (Leave) isEvent()            {}
func (Tick) isEvent()             {}
