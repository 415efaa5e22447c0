package node

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"hawthornshore.example/consensus"
)

// Transport sends messages to instances by name.
type Transport interface {
	// Send must not block; a message that cannot be sent is dropped.
	Send(peer string, data []byte)
}

// Storage makes state durable.
type Storage interface {
	// Save returns once the effects are durable, in order. An error that wraps
	// consensus.ErrDiskFull means that the same call may be retried; after
	// any other error the node stops.
	Save(batch []consensus.Persist) error
}

// StateMachine is the replicated state. Its methods are called by one
// goroutine; an error stops the node.
type StateMachine interface {
	// Apply executes a command and returns the answer for its proposer.
	Apply(entry *consensus.Entry) ([]byte, error)
	Snapshot() ([]byte, error)
	Restore(data []byte) error
}

// Applied reports that the state machine has changed.
type Applied struct {
	Index    uint64 // of the last entry in the state
	Restored bool   // the state was replaced by a snapshot
}

// Options configure a Node.
type Options struct {
	Name        string   // of this instance
	Incarnation string   // of its disk
	Peers       []string // names of the intended voters; may include Name
	Persisted   consensus.PersistentState
	// AdmitNonPeers admits instances that are not among the peers, as learners.
	AdmitNonPeers bool
	// DesiredVoters returns the number of voters up to which learners are
	// promoted; a voter without contact for ReplaceAfter is replaced. It is
	// called by the core loop. If it is nil, only peers become voters.
	DesiredVoters func() int
	ReplaceAfter  time.Duration
	// DisableBootstrap keeps the instance from creating a new group. It is set
	// when the disk is known to have held a log before, so that the loss of all
	// disks does not silently result in an empty configuration.
	DisableBootstrap bool
	// Core holds timings and limits; ID is set by Start, and Seed if it is 0.
	Core consensus.Options

	Storage      Storage
	Transport    Transport
	StateMachine StateMachine

	// OnCommitSynced is called by the applier when the commit index is durable up
	// to an applied index. It is called only with Core.EagerApply.
	OnCommitSynced func(index uint64)
	// OnApplied is called by the applier after entries or a snapshot were
	// applied. It must not block.
	OnApplied func(Applied)
	// OnStatus is called by the core loop when role, term, leader or members
	// have changed. It must not block.
	OnStatus func(Status)
	// OnError is called with errors that do not stop the node, such as a full
	// disk. It must not block.
	OnError func(error)
}

// Status describes a Node. Leader, Voters and Learners are instance names.
type Status struct {
	Role            consensus.Role
	Term            uint64
	Leader          string // empty when unknown
	Voters          []string
	Learners        []string
	Commit          uint64 // index when the status last changed
	CommittedInTerm bool   // leader that has committed an entry of its own term
	Member          bool   // this instance is a voter or a learner
}

const idSeparator = "@"

// MemberID returns the member ID of an incarnation of an instance.
func MemberID(name, incarnation string) string { return name + idSeparator + incarnation }

// InstanceName returns the instance name in a member ID.
func InstanceName(id string) string {
	name, _, _ := strings.Cut(id, idSeparator)
	return name
}

func (o *Options) validate() error {
	if o.Name == "" || o.Incarnation == "" || strings.Contains(o.Name, idSeparator) {
		return fmt.Errorf("invalid instance name %q or incarnation %q", o.Name, o.Incarnation)
	}
	if o.Storage == nil || o.Transport == nil || o.StateMachine == nil {
		return fmt.Errorf("storage, transport or state machine is missing")
	}
	o.Peers = slices.Clone(o.Peers)
	if !slices.Contains(o.Peers, o.Name) {
		o.Peers = append(o.Peers, o.Name)
	}
	slices.Sort(o.Peers)
	return nil
}

func namesOf(ids []string) []string {
	names := make([]string, len(ids))
	for i, id := range ids {
		names[i] = InstanceName(id)
	}
	return names
}
