package consensus

import "google.golang.org/protobuf/proto"

// Event is an input of the core.
type Event interface{ isEvent() }

// Effect is an output of the core, to be executed by its owner.
type Effect interface{ isEffect() }

// Ref identifies a request; it is chosen by the caller.
type Ref uint64

// Tick runs the checks that are due; see NextWake.
type Tick struct{}

// Receive delivers a message from another member.
type Receive struct{ Message *Message }

// Propose appends a command on the leader. It results in Proposed or Refused.
type Propose struct {
	Ref  Ref
	Data []byte
}

// ProposeMembers appends a membership change on the leader. It results in
// Proposed or Refused.
type ProposeMembers struct {
	Ref    Ref
	Change MemberChange
}

// ReadBarrier requests the index that has to be applied before a read returns
// every change that was acknowledged before the barrier. It results in
// ReadReady or Refused.
type ReadBarrier struct{ Ref Ref }

// TransferLeadership transfers leadership to a voter; an empty To selects the
// voter with the longest log.
type TransferLeadership struct{ To string }

// Synced reports that all Persist effects up to a sequence number are durable.
type Synced struct{ Sequence uint64 }

// Bootstrap creates a new group on an instance without a log. It is ignored once
// there is a log. Only one instance of a group may receive it.
type Bootstrap struct{ Voters []string }

// DiskStalled reports that the disk accepts no writes. The core steps down,
// accepts no entries and grants no votes until the next Synced.
type DiskStalled struct{}

// SnapshotTaken delivers the state after applying the entry at Index.
type SnapshotTaken struct {
	Index uint64
	Data  []byte
}

func (Tick) isEvent()               {}
func (Receive) isEvent()            {}
func (Propose) isEvent()            {}
func (ProposeMembers) isEvent()     {}
func (ReadBarrier) isEvent()        {}
func (TransferLeadership) isEvent() {}
func (Synced) isEvent()             {}
func (Bootstrap) isEvent()          {}
func (DiskStalled) isEvent()        {}
func (SnapshotTaken) isEvent()      {}

// SendMessage sends a message to the member Message.To. It may be lost.
type SendMessage struct{ Message *Message }

// Persist makes state durable: first the snapshot, then the entries, then the
// hard state. Entries replace everything in the log from the first one's index
// on. Fields that did not change are nil. Synced reports the sequence number.
type Persist struct {
	Sequence uint64
	Snapshot *Snapshot
	Entries  []*Entry
	Hard     *HardState
	// Reset means that the snapshot replaces the whole log.
	Reset bool
}

// Apply passes committed entries to the state machine, in order and once per
// run of the core. The commit index that covers them is durable unless
// Options.EagerApply is set.
type Apply struct{ Entries []*Entry }

// CommitSynced reports that the commit index is durable up to Index, and that
// entries up to it have been passed on in Apply. It is emitted only with
// Options.EagerApply.
type CommitSynced struct{ Index uint64 }

// InstallSnapshot replaces the state of the state machine.
type InstallSnapshot struct{ Snapshot *Snapshot }

// TakeSnapshot requests a SnapshotTaken at any applied index. It is not emitted
// again before that event.
type TakeSnapshot struct{}

// Proposed reports the position of a proposal in the log. It is committed when
// Apply has an entry with this index and this term; an entry with another term
// at the index means that the proposal is lost.
type Proposed struct {
	Ref         Ref
	Index, Term uint64
}

// ReadReady completes a ReadBarrier.
type ReadReady struct {
	Ref   Ref
	Index uint64
}

// Refused reports that a request has no effect. Err is one of the package's
// errors or a *NotLeaderError.
type Refused struct {
	Ref Ref
	Err error
}

// Failed reports that a leader's log conflicts with a committed entry. The core
// processes no further events.
type Failed struct{ Err error }

// StatusChanged reports a new role, term, leader or member list.
type StatusChanged struct{ Status Status }

func (SendMessage) isEffect()     {}
func (Persist) isEffect()         {}
func (Apply) isEffect()           {}
func (CommitSynced) isEffect()    {}
func (InstallSnapshot) isEffect() {}
func (TakeSnapshot) isEffect()    {}
func (Proposed) isEffect()        {}
func (ReadReady) isEffect()       {}
func (Refused) isEffect()         {}
func (Failed) isEffect()          {}
func (StatusChanged) isEffect()   {}

// Encode returns the wire encoding of a message.
func Encode(m *Message) ([]byte, error) { return proto.Marshal(m) }

// Decode parses the wire encoding of a message.
func Decode(data []byte) (*Message, error) {
	m := new(Message)
	if err := proto.Unmarshal(data, m); err != nil {
		return nil, err
	}
	return m, nil
}
