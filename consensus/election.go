package consensus

import "slices"

// becomeFollower ends any other role. A higher term clears the vote.
func (c *Core) becomeFollower(term uint64, leader string) {
	wasLeader := c.role == Leader
	if term > c.term {
		c.term, c.vote = term, ""
		c.persist.hardDirty = true
	}
	c.role, c.leader = Follower, leader
	c.votes, c.transfer = nil, false
	c.statusDirty = true
	c.resetElectionTimer()
	if wasLeader {
		c.clearLeaderState()
	}
}

func (c *Core) clearLeaderState() {
	for _, read := range c.reads {
		c.refuse(read.ref, ErrLeaderChanged)
	}
	c.reads, c.roundPending = nil, false
	c.progress, c.transferTo = nil, ""
}

// followLeader records contact with the leader of the current term.
func (c *Core) followLeader(leader string) {
	if c.role != Follower || c.leader != leader {
		c.becomeFollower(c.term, leader)
	}
	c.leaderContact = c.now
	c.resetElectionTimer()
}

// becomePreCandidate starts a pre-vote. It changes no durable state, so an
// isolated instance keeps its term.
func (c *Core) becomePreCandidate() {
	c.becomeFollower(c.term, "")
	c.role = PreCandidate
	c.votes = map[string]bool{c.options.ID: true}
	c.sendVoteRequests(true)
	c.tally()
}

// becomeCandidate starts an election. Its own vote counts once it is durable.
func (c *Core) becomeCandidate(transfer bool) {
	c.becomeFollower(c.term+1, "")
	c.role, c.transfer = Candidate, transfer
	c.vote = c.options.ID
	c.votes = map[string]bool{}
	c.sendVoteRequests(false)
}

func (c *Core) sendVoteRequests(preVote bool) {
	term := c.term
	if preVote {
		term++
	}
	for _, voter := range c.members().Voters {
		if voter == c.options.ID {
			continue
		}
		c.send(voter, &Message{Term: term, Body: &Message_VoteRequest{VoteRequest: &VoteRequest{
			PreVote: preVote, Transfer: c.transfer,
			LastIndex: c.log.lastIndex(), LastTerm: c.log.lastTerm(),
		}}})
	}
}

// inLeaderLease reports whether this instance is the leader or had contact with
// it within ElectionTimeout. It then grants votes only in a leadership transfer.
func (c *Core) inLeaderLease() bool {
	if c.role == Leader {
		return true
	}
	return c.leader != "" && c.now.Sub(c.leaderContact) < c.options.ElectionTimeout
}

func (c *Core) handleVoteRequest(m *Message, request *VoteRequest) {
	if c.stalled || (c.inLeaderLease() && !request.Transfer) {
		return
	}
	upToDate := c.log.isUpToDate(request.LastIndex, request.LastTerm)
	if request.PreVote {
		c.replyVote(m, true, upToDate && m.Term > c.term)
		return
	}
	if m.Term > c.term {
		c.becomeFollower(m.Term, "")
	}
	canVote := c.vote == "" || c.vote == m.From
	granted := m.Term == c.term && canVote && upToDate
	if granted && c.vote == "" {
		c.vote = m.From
		c.persist.hardDirty = true
		c.resetElectionTimer()
	}
	c.replyVote(m, false, granted)
}

func (c *Core) replyVote(m *Message, preVote, granted bool) {
	reply := &Message{Body: &Message_VoteReply{VoteReply: &VoteReply{PreVote: preVote, Granted: granted}}}
	if preVote && granted {
		reply.Term = m.Term
		c.send(m.From, reply)
		return
	}
	c.replyWhenDurable(m.From, reply)
}

func (c *Core) handleVoteReply(m *Message, reply *VoteReply) {
	if !reply.Granted && m.Term > c.term {
		c.becomeFollower(m.Term, "")
		return
	}
	want, term := Candidate, c.term
	if reply.PreVote {
		want, term = PreCandidate, c.term+1
	}
	if c.role != want || (reply.Granted && m.Term != term) {
		return
	}
	if reply.Granted {
		c.votes[m.From] = true
		c.tally()
	}
}

func (c *Core) countSelfVote() {
	if c.persist.synced >= c.termSequence() {
		c.votes[c.options.ID] = true
		c.tally()
	}
}

// tally advances to the next role once a majority has granted its votes.
func (c *Core) tally() {
	granted := 0
	for _, voter := range c.members().Voters {
		if c.votes[voter] {
			granted++
		}
	}
	if granted < c.members().quorum() {
		return
	}
	switch c.role {
	case PreCandidate:
		c.becomeCandidate(false)
	case Candidate:
		c.becomeLeader()
	}
}

func (c *Core) becomeLeader() {
	c.role, c.leader = Leader, c.options.ID
	c.votes, c.transfer = nil, false
	c.leaderSince = c.now
	c.heartbeatDue = c.now
	c.progress = map[string]*progress{}
	c.membersChanged()
	c.termStart = c.log.lastIndex() + 1
	c.appendEntry(&Entry{Kind: EntryKind_ENTRY_KIND_EMPTY})
}

// handleTimeoutNow starts an election that the leader requested.
func (c *Core) handleTimeoutNow(from string) {
	if c.canCampaign() && c.role == Follower && from == c.leader {
		c.becomeCandidate(true)
	}
}

func (c *Core) transferLeadership(to string) {
	if to == "" {
		to = c.mostUpToDateVoter()
	}
	if c.role != Leader || to == c.options.ID || !c.members().HasVoter(to) {
		return
	}
	c.transferTo = to
	c.transferDue = c.now.Add(c.options.ElectionTimeout)
	c.continueTransfer()
}

// continueTransfer makes the chosen voter campaign once it has the whole log.
func (c *Core) continueTransfer() {
	p := c.progress[c.transferTo]
	if p != nil && p.match == c.log.lastIndex() {
		c.send(c.transferTo, &Message{Body: &Message_TimeoutNow{TimeoutNow: &TimeoutNow{}}})
	}
}

// leaderTick starts a heartbeat round, or steps down without contact to a quorum
// for ElectionTimeout.
func (c *Core) leaderTick() {
	if c.transferTo != "" && !c.now.Before(c.transferDue) {
		c.transferTo = ""
	}
	if c.now.Before(c.heartbeatDue) {
		return
	}
	c.heartbeatDue = c.now.Add(c.options.HeartbeatInterval)
	if !c.quorumActive() {
		c.becomeFollower(c.term, "")
		return
	}
	c.roundPending = true
}

func (c *Core) quorumActive() bool {
	active := 0
	for _, voter := range c.members().Voters {
		p := c.progress[voter]
		if voter == c.options.ID || (p != nil && c.now.Sub(p.lastContact) < c.options.ElectionTimeout) {
			active++
		}
	}
	return active >= c.members().quorum()
}

// quorumValue returns the largest value that a majority of the voters has
// reached.
func (c *Core) quorumValue(own uint64, of func(*progress) uint64) uint64 {
	values := make([]uint64, 0, len(c.members().Voters))
	for _, voter := range c.members().Voters {
		switch p := c.progress[voter]; {
		case voter == c.options.ID:
			values = append(values, own)
		case p != nil:
			values = append(values, of(p))
		default:
			values = append(values, 0)
		}
	}
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)-c.members().quorum()]
}
