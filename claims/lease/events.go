package lease

import "time"

// Event is an input of the core.
type Event interface{ isEvent() }

// ViewReceived delivers a View from a voter or another instance. A View with an
// older epoch is ignored.
type ViewReceived struct{ View View }

// ProposalApplied carries the result of the Propose with the same sequence.
type ProposalApplied struct {
	Sequence uint64
	Result   Result
}

// PromiseRequestReceived delivers a member's request that this instance not take
// over from it for Duration.
type PromiseRequestReceived struct {
	Peer     string
	Epoch    uint64
	Duration time.Duration
	Sequence uint64
}

// PromiseReplyReceived delivers a member's reply to a SendPromiseRequest.
type PromiseReplyReceived struct {
	Peer string
	// Incarnation identifies the process that replied, from the Hello of its link.
	Incarnation string
	Sequence    uint64
	Granted     bool
	Epoch       uint64 // latest epoch of the peer
}

// Leave gives up the lease: it is not renewed any more, and the core proposes to
// remove this instance. Token and Epoch are those of the claims core's
// HandOverCompleted, or 0 if the hand-over did not complete.
type Leave struct {
	Token uint64
	Epoch uint64
}

// Tick starts a renewal round or ends the lease if that is due; see NextWake.
type Tick struct{}

func (ViewReceived) isEvent()           {}
func (ProposalApplied) isEvent()        {}
func (PromiseRequestReceived) isEvent() {}
func (PromiseReplyReceived) isEvent()   {}
func (Leave) isEvent()                  {}
func (Tick) isEvent()                   {}
