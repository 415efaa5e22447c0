package consensus

import "time"

// Role is the role of a member in its current term.
type Role int

// Roles of a member. A learner is a follower that is not among the voters.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// PersistentState is the durable state that a Core starts from.
type PersistentState struct {
	Hard     *HardState
	Snapshot *Snapshot
	Entries  []*Entry // consecutive; may begin at or before the snapshot's index
}

// Empty reports whether nothing was ever persisted.
func (p PersistentState) Empty() bool {
	return p.Hard == nil && p.Snapshot == nil && len(p.Entries) == 0
}

// Status describes a Core.
type Status struct {
	Role    Role
	Term    uint64
	Leader  string // member ID; empty when unknown
	Members *Members
	Commit  uint64
	// LeaderSince is when this instance became leader; zero otherwise.
	LeaderSince time.Time
	// CommittedInTerm is true once the leader has committed an entry of its term.
	CommittedInTerm bool
}
