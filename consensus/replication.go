package consensus

import "time"

// appendEntry adds an entry of the current term to the leader's log.
func (c *Core) appendEntry(entry *Entry) {
	entry.Index, entry.Term = c.log.lastIndex()+1, c.term
	entry.ClockNs = int64(c.now.Sub(c.leaderSince))
	entry.UnixMs = c.now.UnixMilli()
	c.log.entries = append(c.log.entries, entry)
	if entry.Kind == EntryKind_ENTRY_KIND_MEMBERS {
		c.setMembers(entry.Index, entry.Members)
	}
}

func (c *Core) propose(e Propose) {
	if err := c.acceptsProposals(); err != nil {
		c.refuse(e.Ref, err)
		return
	}
	c.appendEntry(&Entry{Kind: EntryKind_ENTRY_KIND_COMMAND, Data: e.Data})
	c.emit(Proposed{Ref: e.Ref, Index: c.log.lastIndex(), Term: c.term})
}

func (c *Core) acceptsProposals() error {
	switch {
	case c.role != Leader:
		return &NotLeaderError{Leader: c.leader}
	case c.transferTo != "":
		return ErrTransferInProgress
	case c.log.lastIndex()-c.commit >= c.options.MaxUncommitted:
		return ErrOverloaded
	}
	return nil
}

// proposeMembers appends a membership change. The leader must have committed an
// entry of its own term first: otherwise a change by an earlier leader, missing
// in this log, could be effective on other members.
func (c *Core) proposeMembers(e ProposeMembers) {
	err := c.acceptsProposals()
	switch {
	case err != nil:
	case c.commit < c.termStart:
		err = ErrNoCommitInTerm
	case c.changePending():
		err = ErrChangePending
	}
	if err != nil {
		c.refuse(e.Ref, err)
		return
	}
	members, err := c.members().changed(e.Change)
	if err == nil && e.Change.Kind == PromoteLearner && !c.caughtUp(e.Change.Member) {
		err = ErrNotCaughtUp
	}
	if err != nil {
		c.refuse(e.Ref, err)
		return
	}
	c.appendEntry(&Entry{Kind: EntryKind_ENTRY_KIND_MEMBERS, Members: members})
	c.emit(Proposed{Ref: e.Ref, Index: c.log.lastIndex(), Term: c.term})
}

// caughtUp reports whether a member's durable log has every committed entry and
// the leader is in contact with the member.
func (c *Core) caughtUp(id string) bool {
	p := c.progress[id]
	return p != nil && p.match >= c.commit && c.now.Sub(p.lastContact) < c.options.ElectionTimeout
}

// CaughtUp reports whether a learner may be promoted now.
func (c *Core) CaughtUp(id string) bool { return c.role == Leader && c.caughtUp(id) }

// LastContact returns when the leader last received a reply from a member, or the
// zero time if it has not.
func (c *Core) LastContact(id string) time.Time {
	if p := c.progress[id]; p != nil {
		return p.lastContact
	}
	return time.Time{}
}

// sendAppends sends each member the entries that it lacks. A new round adds a
// heartbeat for members that lack none.
func (c *Core) sendAppends() {
	heartbeat := c.roundPending
	if heartbeat {
		c.round++
		c.roundPending = false
	}
	for _, id := range c.members().Voters {
		c.replicateTo(id, heartbeat)
	}
	for _, id := range c.members().Learners {
		c.replicateTo(id, heartbeat)
	}
}

func (c *Core) replicateTo(id string, heartbeat bool) {
	p := c.progress[id]
	if p == nil {
		return
	}
	if heartbeat {
		p.paused = false
	}
	sent := false
	switch p.mode {
	case sendProbe:
		if !p.paused {
			p.paused = true
			c.sendAppend(id, p)
			sent = true
		}
	case sendStream:
		for p.next <= c.log.lastIndex() && p.next-1-p.match < c.options.MaxInFlight {
			c.sendAppend(id, p)
			sent = true
			if p.mode != sendStream {
				break
			}
		}
	case sendSnapshot:
		if !c.now.Before(p.snapshotDue) {
			c.sendSnapshotTo(id, p)
		}
	}
	if !sent && (heartbeat || c.announcesCommit(p)) {
		c.sendHeartbeat(id, p)
	}
}

// announcesCommit reports whether a member is sent the commit index without waiting
// for the next entries.
func (c *Core) announcesCommit(p *progress) bool {
	return c.options.EagerApply && p.mode == sendStream && p.commitSent < min(c.commit, p.match)
}

// sendAppend sends the next entries, or the snapshot if they are compacted.
func (c *Core) sendAppend(id string, p *progress) {
	prevTerm, known := c.log.term(p.next - 1)
	if !known {
		c.sendSnapshotTo(id, p)
		return
	}
	entries := c.log.slice(p.next, c.log.lastIndex(), c.options.MaxBatchBytes)
	c.sendAppendRequest(id, p.next-1, prevTerm, entries)
	if p.mode == sendStream {
		p.next += uint64(len(entries))
	}
}

// sendHeartbeat sends a request without entries. Its previous index is the
// last one sent, so that a member that lacks entries rejects it. A member that
// leaves entries unacknowledged until they are compacted gets the snapshot.
func (c *Core) sendHeartbeat(id string, p *progress) {
	if p.mode == sendSnapshot {
		c.sendAppendRequest(id, 0, 0, nil)
		return
	}
	prevTerm, known := c.log.term(p.next - 1)
	if !known {
		c.sendSnapshotTo(id, p)
		return
	}
	c.sendAppendRequest(id, p.next-1, prevTerm, nil)
}

func (c *Core) sendAppendRequest(id string, prev, prevTerm uint64, entries []*Entry) {
	if p := c.progress[id]; p != nil {
		p.commitSent = c.commit
	}
	c.send(id, &Message{Body: &Message_AppendRequest{AppendRequest: &AppendRequest{
		PrevIndex: prev, PrevTerm: prevTerm, Commit: c.commit, Round: c.round, Entries: entries,
	}}})
}

// handleAppendRequest makes the log match the leader's.
func (c *Core) handleAppendRequest(from string, request *AppendRequest) {
	if c.stalled {
		return
	}
	prev, entries := request.PrevIndex, request.Entries
	if prev < c.log.prevIndex {
		// Entries up to prevIndex are committed here and therefore equal.
		compacted := min(c.log.prevIndex-prev, uint64(len(entries)))
		prev, entries = prev+compacted, entries[compacted:]
	}
	if prev >= c.log.prevIndex {
		term, known := c.log.term(prev)
		if !known || (prev == request.PrevIndex && term != request.PrevTerm) {
			c.rejectAppend(from, request)
			return
		}
		if !c.mergeEntries(entries) {
			return
		}
	}
	last := request.PrevIndex + uint64(len(request.Entries))
	if commit := min(request.Commit, last); commit > c.commit {
		c.commit = commit
	}
	match := last
	if last < c.log.prevIndex {
		// All entries up to the commit index equal the leader's, so that more than
		// the request covers can be acknowledged.
		match = c.commit
	}
	c.replyWhenDurable(from, &Message{Body: &Message_AppendReply{AppendReply: &AppendReply{Match: match, Round: request.Round}}})
}

func (c *Core) rejectAppend(from string, request *AppendRequest) {
	term, first := c.log.conflict(request.PrevIndex)
	c.replyWhenDurable(from, &Message{Body: &Message_AppendReply{AppendReply: &AppendReply{
		Rejected: true, Round: request.Round, PrevIndex: request.PrevIndex,
		ConflictTerm: term, ConflictIndex: first,
	}}})
}

// mergeEntries appends the entries that the log lacks. A conflicting entry is
// truncated together with all entries after it. A conflict with a committed
// entry makes the core fail.
func (c *Core) mergeEntries(entries []*Entry) bool {
	for _, entry := range entries {
		if term, known := c.log.term(entry.Index); known {
			if term == entry.Term {
				continue
			}
			if entry.Index <= c.commit {
				c.failed = true
				c.emit(Failed{Err: ErrCommittedConflict})
				return false
			}
			c.log.truncateFrom(entry.Index)
			c.truncateMembers(entry.Index)
			c.resetPersistedFrom(entry.Index)
		}
		c.log.entries = append(c.log.entries, entry)
		if entry.Kind == EntryKind_ENTRY_KIND_MEMBERS {
			c.setMembers(entry.Index, entry.Members)
		}
	}
	return true
}

func (c *Core) handleAppendReply(from string, reply *AppendReply) {
	p := c.progress[from]
	if p == nil {
		return
	}
	c.recordContact(p, reply.Round)
	if reply.Rejected {
		p.reject(reply.PrevIndex, c.backtrack(reply))
		return
	}
	p.acknowledge(reply.Match, c.log.firstIndex())
	c.advanceAfterAck(from)
}

func (c *Core) recordContact(p *progress, round uint64) {
	p.lastContact = c.now
	p.round = max(p.round, round)
}

// advanceAfterAck commits what a majority has acknowledged and continues a
// leadership transfer to the sender.
func (c *Core) advanceAfterAck(from string) {
	c.advanceCommit()
	if c.role == Leader && from == c.transferTo {
		c.continueTransfer()
	}
}

// backtrack returns the next index to try after a rejection. It skips a whole
// term at a time.
func (c *Core) backtrack(reply *AppendReply) uint64 {
	if reply.ConflictTerm != 0 {
		if last := c.log.lastOfTerm(reply.ConflictTerm); last != 0 {
			return min(last+1, reply.PrevIndex)
		}
	}
	return reply.ConflictIndex
}

// advanceCommit commits the entries that are durable on a majority of voters.
// Entries of earlier terms are committed only together with one of the current
// term (Raft, section 5.4.2).
func (c *Core) advanceCommit() {
	index := c.quorumValue(c.persist.stable, func(p *progress) uint64 { return p.match })
	if index <= c.commit {
		return
	}
	if term, _ := c.log.term(index); term != c.term {
		return
	}
	if c.commit < c.termStart {
		c.statusDirty = true
	}
	c.commit = index
	c.stepDownIfRemoved()
}

// stepDownIfRemoved steps down once the removal of this instance is committed,
// and makes the voter with the longest log campaign immediately.
func (c *Core) stepDownIfRemoved() {
	if c.changePending() || c.members().HasVoter(c.options.ID) {
		return
	}
	best := c.mostUpToDateVoter()
	if best != "" {
		c.send(best, &Message{Body: &Message_TimeoutNow{TimeoutNow: &TimeoutNow{}}})
	}
	c.becomeFollower(c.term, "")
}

// mostUpToDateVoter returns the other voter with the highest match index, or ""
// if there is none.
func (c *Core) mostUpToDateVoter() string {
	best := ""
	for _, voter := range c.members().Voters {
		if p := c.progress[voter]; p != nil && (best == "" || p.match > c.progress[best].match) {
			best = voter
		}
	}
	return best
}
