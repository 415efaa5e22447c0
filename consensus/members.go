package consensus

import "slices"

// ChangeKind is the kind of a membership change.
type ChangeKind int

// Kinds of membership changes.
const (
	// AddLearner adds a non-voting member that receives the log.
	AddLearner ChangeKind = iota
	// PromoteLearner makes a caught-up learner a voter.
	PromoteLearner
	// RemoveMember removes a voter or a learner.
	RemoveMember
)

// MemberChange is one membership change.
type MemberChange struct {
	Kind   ChangeKind
	Member string
}

// indexedMembers is a member list and the index of the entry that set it.
type indexedMembers struct {
	index   uint64
	members *Members
}

func newMembers(voters, learners []string) *Members {
	m := &Members{Voters: slices.Clone(voters), Learners: slices.Clone(learners)}
	slices.Sort(m.Voters)
	slices.Sort(m.Learners)
	return m
}

// HasVoter reports whether the member is a voter.
func (x *Members) HasVoter(id string) bool { return slices.Contains(x.GetVoters(), id) }

// HasLearner reports whether the member is a learner.
func (x *Members) HasLearner(id string) bool { return slices.Contains(x.GetLearners(), id) }

// Has reports whether the member is a voter or a learner.
func (x *Members) Has(id string) bool { return x.HasVoter(id) || x.HasLearner(id) }

// quorum returns the number of voters that form a majority.
func (x *Members) quorum() int { return len(x.GetVoters())/2 + 1 }

// changed returns the member list after a change.
func (x *Members) changed(change MemberChange) (*Members, error) {
	id := change.Member
	without := func(list []string) []string {
		return slices.DeleteFunc(slices.Clone(list), func(other string) bool { return other == id })
	}
	switch change.Kind {
	case AddLearner:
		if x.Has(id) {
			return nil, ErrMemberExists
		}
		return newMembers(x.Voters, append(slices.Clone(x.Learners), id)), nil
	case PromoteLearner:
		if !x.HasLearner(id) {
			return nil, ErrNoSuchMember
		}
		return newMembers(append(slices.Clone(x.Voters), id), without(x.Learners)), nil
	default:
		if !x.Has(id) {
			return nil, ErrNoSuchMember
		}
		if x.HasVoter(id) && len(x.Voters) == 1 {
			return nil, ErrLastVoter
		}
		return newMembers(without(x.Voters), without(x.Learners)), nil
	}
}

// setMembers makes a member list effective from the given index on.
func (c *Core) setMembers(index uint64, members *Members) {
	c.memberLog = append(c.memberLog, indexedMembers{index: index, members: members})
	c.membersChanged()
}

// truncateMembers removes the member lists of truncated entries.
func (c *Core) truncateMembers(index uint64) {
	keep := len(c.memberLog)
	for keep > 1 && c.memberLog[keep-1].index >= index {
		keep--
	}
	if keep < len(c.memberLog) {
		c.memberLog = c.memberLog[:keep]
		c.membersChanged()
	}
}

// membersAt returns the member list that is effective at an index.
func (c *Core) membersAt(index uint64) *Members {
	found := c.memberLog[0].members
	for _, list := range c.memberLog[1:] {
		if list.index <= index {
			found = list.members
		}
	}
	return found
}

// compactMembers removes the member lists before the one effective at index.
func (c *Core) compactMembers(index uint64) {
	for len(c.memberLog) > 1 && c.memberLog[1].index <= index {
		c.memberLog = c.memberLog[1:]
	}
}

func (c *Core) members() *Members { return c.memberLog[len(c.memberLog)-1].members }

// changePending reports whether the newest member list is not committed.
func (c *Core) changePending() bool { return c.memberLog[len(c.memberLog)-1].index > c.commit }

// membersChanged updates the leader's progress table to the member list.
func (c *Core) membersChanged() {
	c.statusDirty = true
	if c.role != Leader {
		return
	}
	members := c.members()
	for id := range c.progress {
		if !members.Has(id) {
			delete(c.progress, id)
		}
	}
	for _, id := range slices.Concat(members.Voters, members.Learners) {
		if id != c.options.ID && c.progress[id] == nil {
			c.progress[id] = &progress{next: c.log.lastIndex() + 1, lastContact: c.now}
		}
	}
}
