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

// proposeMembers appends a membership change. The leader has to have committed
// an entry of its own term first: otherwise a change of an earlier leader, not
// known here, could be in force elsewhere.
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

// caughtUp reports whether a member's durable log holds every committed entry
// and the member answers at present.
func (c *Core) caughtUp(id string) bool {
	p := c.progress[id]
	return p != nil && p.match >= c.commit && c.now.Sub(p.lastContact) < c.options.ElectionTimeout
}

// CaughtUp reports whether a learner may be promoted now.
func (c *Core) CaughtUp(id string) bool { return c.role == Leader && c.caughtUp(id) }

// LastContact returns when the leader last heard of a member.
func (c *Core) LastContact(id string) time.Time {
	if p := c.progress[id]; p != nil {
		return p.lastContact
	}
	return time.Time{}
}

// sendAppends sends what each member lacks. A new round adds a heartbeat for
// members that lack nothing.
func (c *Core) sendAppends() {
	heartbeat := c.roundWanted
	if heartbeat {
		c.round++
		c.roundWanted = false
	}
	for _, id := range c.members().Voters {
		c.sendTo(id, heartbeat)
	}
	for _, id := range c.members().Learners {
		c.sendTo(id, heartbeat)
	}
}

func (c *Core) sendTo(id string, heartbeat bool) {
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
	if heartbeat && !sent {
		c.sendHeartbeat(id, p)
	}
}

// sendAppend sends the next entries, or the snapshot when they are forgotten.
func (c *Core) sendAppend(id string, p *progress) {
	prevTerm, known := c.log.term(p.next - 1)
	if !known {
		c.sendSnapshotTo(id, p)
		return
	}
	entries := c.log.from(p.next, c.log.lastIndex(), c.options.MaxBatchBytes)
	c.sendAppendRequest(id, p.next-1, prevTerm, entries)
	if p.mode == sendStream {
		p.next += uint64(len(entries))
	}
}

// sendHeartbeat sends a request without entries. Its previous index is the
// last one sent, so that a member that lost entries says so. A member that
// leaves entries unacknowledged until they are forgotten gets the snapshot.
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
	c.send(id, &Message{Body: &Message_AppendRequest{AppendRequest: &AppendRequest{
		PrevIndex: prev, PrevTerm: prevTerm, Commit: c.commit, Round: c.round, Entries: entries,
	}}})
}

// snapshotRetry is the number of election timeouts after which a snapshot that
// was not acknowledged is sent again.
const snapshotRetry = 3

func (c *Core) sendSnapshotTo(id string, p *progress) {
	p.mode = sendSnapshot
	p.next = c.snapshot.Index + 1
	p.snapshotDue = c.now.Add(snapshotRetry * c.options.ElectionTimeout)
	c.send(id, &Message{Body: &Message_SnapshotRequest{
		SnapshotRequest: &SnapshotRequest{Snapshot: c.snapshot, Round: c.round},
	}})
}

// appendRequested brings the log in line with the leader's.
func (c *Core) appendRequested(from string, request *AppendRequest) {
	if c.stalled {
		return
	}
	prev, entries := request.PrevIndex, request.Entries
	if prev < c.log.prevIndex {
		// Entries up to prevIndex are committed here and therefore equal.
		known := min(c.log.prevIndex-prev, uint64(len(entries)))
		prev, entries = prev+known, entries[known:]
	}
	if prev >= c.log.prevIndex {
		term, known := c.log.term(prev)
		if !known || (prev == request.PrevIndex && term != request.PrevTerm) {
			c.rejectAppend(from, request)
			return
		}
		if !c.takeEntries(entries) {
			return
		}
	}
	last := request.PrevIndex + uint64(len(request.Entries))
	if commit := min(request.Commit, last); commit > c.commit {
		c.commit = commit
	}
	match := last
	if last < c.log.prevIndex {
		match = c.commit
	}
	c.sendAck(from, &Message{Body: &Message_AppendReply{AppendReply: &AppendReply{Match: match, Round: request.Round}}})
}

func (c *Core) rejectAppend(from string, request *AppendRequest) {
	term, first := c.log.conflict(request.PrevIndex)
	c.sendAck(from, &Message{Body: &Message_AppendReply{AppendReply: &AppendReply{
		Rejected: true, Round: request.Round, PrevIndex: request.PrevIndex,
		ConflictTerm: term, ConflictIndex: first,
	}}})
}

// takeEntries appends the entries that the log lacks. Entries that differ are
// cut off together with everything after them. A committed entry never
// differs; if one does, the core fails.
func (c *Core) takeEntries(entries []*Entry) bool {
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
			c.log.cutFrom(entry.Index)
			c.dropMembersFrom(entry.Index)
			c.logCut(entry.Index)
		}
		c.log.entries = append(c.log.entries, entry)
		if entry.Kind == EntryKind_ENTRY_KIND_MEMBERS {
			c.setMembers(entry.Index, entry.Members)
		}
	}
	return true
}

func (c *Core) appendReplied(from string, reply *AppendReply) {
	p := c.progress[from]
	if p == nil {
		return
	}
	c.contacted(p, reply.Round)
	if reply.Rejected {
		p.rejected(reply.PrevIndex, c.backtrack(reply))
		return
	}
	p.acknowledged(reply.Match, c.log.firstIndex())
	c.acknowledged(from)
}

func (c *Core) snapshotReplied(from string, reply *SnapshotReply) {
	p := c.progress[from]
	if p == nil {
		return
	}
	c.contacted(p, reply.Round)
	p.acknowledged(reply.Match, c.log.firstIndex())
	c.acknowledged(from)
}

func (c *Core) contacted(p *progress, round uint64) {
	p.lastContact = c.now
	p.round = max(p.round, round)
}

func (c *Core) acknowledged(from string) {
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

// advanceCommit commits what a majority of the voters holds durably. Only an
// entry of the current term commits by count; earlier ones commit with it.
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
	c.leaveIfRemoved()
}

// leaveIfRemoved ends the leadership of an instance whose removal is
// committed, and lets the voter with the longest log campaign at once.
func (c *Core) leaveIfRemoved() {
	if c.changePending() || c.members().HasVoter(c.options.ID) {
		return
	}
	best := c.bestVoter()
	if best != "" {
		c.send(best, &Message{Body: &Message_TimeoutNow{TimeoutNow: &TimeoutNow{}}})
	}
	c.becomeFollower(c.term, "")
}

// bestVoter returns the other voter with the longest log known to match, or
// "" when there is none.
func (c *Core) bestVoter() string {
	best := ""
	for _, voter := range c.members().Voters {
		if p := c.progress[voter]; p != nil && (best == "" || p.match > c.progress[best].match) {
			best = voter
		}
	}
	return best
}
