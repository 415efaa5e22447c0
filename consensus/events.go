package consensus

import "google.golang.org/protobuf/proto"

// Event is an input of the core.
type Event interface{ isEvent() }

// Effect is an output of the core, to be carried out by its owner.
type Effect interface{ isEffect() }

// Ref is chosen by the caller and names one of its requests.
type Ref uint64

// Tick lets the core act on timers; it is due at NextWake.
type Tick struct{}

// Receive brings a message from another member.
type Receive struct{ Message *Message }

// Propose asks the leader to append a command. It is answered by Proposed or
// Refused.
type Propose struct {
	Ref  Ref
	Data []byte
}

// ProposeMembers asks the leader for one membership change. It is answered by
// Proposed or Refused.
type ProposeMembers struct {
	Ref    Ref
	Change MemberChange
}

// ReadBarrier asks for the index that has to be applied before a read sees
// every change that was acknowledged before the barrier. It is answered by
// ReadReady or Refused.
type ReadBarrier struct{ Ref Ref }

// TransferLeadership asks the leader to hand over to a voter; an empty To
// stands for the voter with the longest log.
type TransferLeadership struct{ To string }

// Synced says that all Persist effects up to a sequence number are durable.
type Synced struct{ Sequence uint64 }

// Bootstrap makes an instance without a log the first member of a new group. It is
// ignored once there is a log. Only one instance of a group may get it.
type Bootstrap struct{ Voters []string }

// DiskStalled says that the disk takes no writes at present. The core gives up
// leadership, takes no entries and grants no votes until the next Synced.
type DiskStalled struct{}

// SnapshotTaken brings the state after applying the entry at Index.
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
	// Reset says that the whole log is replaced by the snapshot.
	Reset bool
}

// Apply hands committed entries to the state machine, in order and once per
// run of the core. The commit index that covers them is durable.
type Apply struct{ Entries []*Entry }

// InstallSnapshot replaces the state of the state machine.
type InstallSnapshot struct{ Snapshot *Snapshot }

// TakeSnapshot asks for a SnapshotTaken at any applied index. It is repeated
// only after the answer.
type TakeSnapshot struct{}

// Proposed says at which place of the log a proposal is. It is committed when
// Apply brings an entry with this index and this term; an entry with another
// term at the index means that the proposal is lost.
type Proposed struct {
	Ref         Ref
	Index, Term uint64
}

// ReadReady answers a ReadBarrier.
type ReadReady struct {
	Ref   Ref
	Index uint64
}

// Refused says that a request has no effect. Err is one of the package's
// errors or a *NotLeaderError.
type Refused struct {
	Ref Ref
	Err error
}

// Failed says that the group's logs contradict each other. The core does
// nothing any more.
type Failed struct{ Err error }

// StatusChanged reports a new role, term, leader or member list.
type StatusChanged struct{ Status Status }

func (SendMessage) isEffect()     {}
func (Persist) isEffect()         {}
func (Apply) isEffect()           {}
func (InstallSnapshot) isEffect() {}
func (TakeSnapshot) isEffect()    {}
func (Proposed) isEffect()        {}
func (ReadReady) isEffect()       {}
func (Refused) isEffect()         {}
func (Failed) isEffect()          {}
func (StatusChanged) isEffect()   {}

// Encode returns the wire form of a message.
func Encode(m *Message) ([]byte, error) { return proto.Marshal(m) }

// Decode reads the wire form of a message.
func Decode(data []byte) (*Message, error) {
	m := new(Message)
	if err := proto.Unmarshal(data, m); err != nil {
		return nil, err
	}
	return m, nil
}
