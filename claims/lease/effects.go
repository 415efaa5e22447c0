package lease

import "time"

// Effect is an output of the core, to be carried out by its owner.
type Effect interface{ isEffect() }

// Propose sends the voters a command for the Agreement of this data centre. The
// result arrives as ProposalApplied with the same sequence; without a result the
// core proposes again.
type Propose struct {
	Sequence uint64
	Command  Command
}

// SendPromiseRequest requests from a member a promise not to take over for Duration.
type SendPromiseRequest struct {
	Peer     string
	Epoch    uint64
	Duration time.Duration
	Sequence uint64
}

// SendPromiseReply replies to a PromiseRequestReceived.
type SendPromiseReply struct {
	Peer     string
	Sequence uint64
	Granted  bool
	Epoch    uint64
}

// FetchView requests the view of a peer that has a newer epoch.
type FetchView struct{ Peer string }

// MembersChanged reports a newer view, for claims.MembersChanged.
type MembersChanged struct {
	View View
	// MembershipInterrupted is set if this instance was not a member all the time
	// since the last MembersChanged, so that others may have owned its partitions.
	MembershipInterrupted bool
}

// LeaseChanged reports the lease, for claims.LeaseChanged.
type LeaseChanged struct {
	Held  bool
	Until time.Time
	Epoch uint64
	// Confirmed is set if all members have settled in Epoch and this instance still
	// is settled.
	Confirmed bool
}

// LeaveCompleted reports that the voters removed this instance at its request.
type LeaveCompleted struct{}

func (Propose) isEffect()            {}
func (SendPromiseRequest) isEffect() {}
func (SendPromiseReply) isEffect()   {}
func (FetchView) isEffect()          {}
func (MembersChanged) isEffect()     {}
func (LeaseChanged) isEffect()       {}
func (LeaveCompleted) isEffect()     {}
