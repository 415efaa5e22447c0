package consensus

import (
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"
)

// Core is one member of the replicated log. It is owned by one goroutine.
type Core struct {
	options Options
	random  *rand.Rand
	now     time.Time

	role           Role
	term           uint64
	vote           string
	leader         string
	stalled        bool // the disk accepts no writes
	failed         bool // Failed was emitted
	log            entryLog
	snapshot       *Snapshot // newest; nil before the first
	commit         uint64
	applied        uint64    // last index emitted in Apply or InstallSnapshot
	commitSynced   uint64    // last index emitted in CommitSynced
	pendingInstall *Snapshot // received and not yet emitted in InstallSnapshot
	incoming       incomingSnapshot
	memberLog      []indexedMembers

	electionDue   time.Time
	leaderContact time.Time // last message from the leader of the term

	// Candidate.
	votes    map[string]bool
	transfer bool // the leader requested this election

	// Leader.
	leaderSince  time.Time
	termStart    uint64 // index of the first entry of the term
	progress     map[string]*progress
	heartbeatDue time.Time
	round        uint64
	roundPending bool // a heartbeat round is due
	reads        []pendingRead
	transferTo   string
	transferDue  time.Time

	persist      persistState
	messageQueue []queuedMessage
	effects      []Effect

	snapshotPending    bool
	bytesSinceSnapshot int // bytes of entries applied since the newest snapshot
	statusDirty        bool
}

// New returns a core that continues from the persisted state. An instance
// that is not a member yet starts from the zero PersistentState and waits for a
// leader. The caller has to step a Tick immediately, which starts the timers.
func New(options Options, persisted PersistentState) *Core {
	options = options.WithDefaults()
	c := &Core{
		options:   options,
		random:    rand.New(rand.NewPCG(options.Seed, uint64(len(options.ID)))),
		snapshot:  persisted.Snapshot,
		memberLog: []indexedMembers{{members: new(Members)}},
	}
	if s := persisted.Snapshot; s != nil {
		c.log.prevIndex, c.log.prevTerm = s.Index, s.Term
		c.memberLog[0] = indexedMembers{index: s.Index, members: s.Members}
		c.commit = s.Index
		c.effects = append(c.effects, InstallSnapshot{Snapshot: s})
	}
	for _, entry := range persisted.Entries {
		c.restoreEntry(entry)
	}
	if hard := persisted.Hard; hard != nil {
		c.term, c.vote = hard.Term, hard.Vote
		c.commit = max(c.commit, min(hard.Commit, c.log.lastIndex()))
	}
	if last := c.log.lastTerm(); last > c.term {
		// A crash lost the unsynced hard state but not the entries of its batch.
		c.term, c.vote = last, ""
	}
	c.applied = c.log.prevIndex
	c.persist.next = c.log.lastIndex() + 1
	c.persist.stable = c.log.lastIndex()
	c.persist.commit, c.persist.stableCommit = c.commit, c.commit
	c.statusDirty = true
	return c
}

func (c *Core) restoreEntry(entry *Entry) {
	if entry.Index <= c.log.prevIndex {
		return
	}
	c.log.entries = append(c.log.entries, entry)
	if entry.Kind == EntryKind_ENTRY_KIND_MEMBERS {
		c.setMembers(entry.Index, entry.Members)
	}
}

// Step processes one event. The time has to be monotonic.
func (c *Core) Step(now time.Time, event Event) {
	if c.failed {
		return
	}
	c.now = now
	if c.electionDue.IsZero() {
		c.resetElectionTimer()
	}
	switch e := event.(type) {
	case Tick:
		c.tick()
	case Receive:
		c.receive(e.Message)
	case Propose:
		c.propose(e)
	case ProposeMembers:
		c.proposeMembers(e)
	case ReadBarrier:
		c.readBarrier(e)
	case TransferLeadership:
		c.transferLeadership(e.To)
	case Synced:
		c.synced(e.Sequence)
	case Bootstrap:
		c.bootstrap(e)
	case DiskStalled:
		c.diskStalled()
	case SnapshotTaken:
		c.snapshotTaken(e)
	}
}

// Ready returns the pending effects, in the order in which they have to be
// started, and clears them.
func (c *Core) Ready() []Effect {
	if c.failed {
		effects := c.effects
		c.effects = nil
		return effects
	}
	if c.role == Leader {
		c.sendAppends()
		c.completeReads()
	}
	c.emitPersist()
	c.releaseMessages()
	c.emitApply()
	if c.statusDirty {
		c.statusDirty = false
		c.emit(StatusChanged{Status: c.Status()})
	}
	effects := c.effects
	c.effects = nil
	return effects
}

// NextWake returns when the next Tick is due, or the zero time if none is.
func (c *Core) NextWake() time.Time {
	if c.role == Leader {
		if c.transferTo != "" && c.transferDue.Before(c.heartbeatDue) {
			return c.transferDue
		}
		return c.heartbeatDue
	}
	if c.leader == "" && !c.canCampaign() {
		return time.Time{}
	}
	return c.electionDue
}

// Status returns a description of the core.
func (c *Core) Status() Status {
	status := Status{
		Role: c.role, Term: c.term, Leader: c.leader, Commit: c.commit,
		Members: proto.CloneOf(c.members()),
	}
	if c.role == Leader {
		status.LeaderSince = c.leaderSince
		status.CommittedInTerm = c.commit >= c.termStart
	}
	return status
}

func (c *Core) emit(effect Effect) { c.effects = append(c.effects, effect) }

func (c *Core) refuse(ref Ref, err error) { c.emit(Refused{Ref: ref, Err: err}) }

func (c *Core) tick() {
	c.checkDisk()
	if c.role == Leader {
		c.leaderTick()
		return
	}
	switch {
	case c.now.Before(c.electionDue):
	case c.canCampaign():
		c.becomePreCandidate()
	case c.leader != "":
		// The leader may not know this instance: the entry that added it can be lost
		// with the leadership. Without a leader the instance asks to be added again.
		c.becomeFollower(c.term, "")
	}
}

func (c *Core) resetElectionTimer() {
	spread := time.Duration(c.random.Int64N(int64(c.options.ElectionTimeout)))
	c.electionDue = c.now.Add(c.options.ElectionTimeout + spread)
}

// canCampaign reports whether this instance may start an election. A voter whose
// removal is not committed may: it can be the only one with the entries that a
// new leader needs, and then no other voter can win.
func (c *Core) canCampaign() bool {
	if c.stalled {
		return false
	}
	for i := len(c.memberLog) - 1; i >= 0; i-- {
		if c.memberLog[i].members.HasVoter(c.options.ID) {
			return true
		}
		if c.memberLog[i].index <= c.commit {
			return false
		}
	}
	return false
}

// receive handles one message. Except for pre-votes, a higher term makes this
// instance a follower. Messages to an earlier incarnation of this instance are
// dropped: this disk does not have the state that the earlier one acknowledged.
func (c *Core) receive(m *Message) {
	if m.To != c.options.ID {
		return
	}
	if request := m.GetVoteRequest(); request != nil {
		c.handleVoteRequest(m, request)
		return
	}
	if reply := m.GetVoteReply(); reply != nil {
		c.handleVoteReply(m, reply)
		return
	}
	fromLeader := m.GetAppendRequest() != nil || m.GetSnapshotRequest() != nil || m.GetSnapshotPiece() != nil
	if m.Term < c.term {
		if fromLeader {
			c.replyWhenDurable(m.From, &Message{Body: &Message_AppendReply{AppendReply: &AppendReply{Rejected: true}}})
		}
		return
	}
	if m.Term > c.term {
		c.becomeFollower(m.Term, "")
	}
	if fromLeader {
		c.followLeader(m.From)
	}
	switch body := m.Body.(type) {
	case *Message_AppendRequest:
		c.handleAppendRequest(m.From, body.AppendRequest)
	case *Message_AppendReply:
		c.handleAppendReply(m.From, body.AppendReply)
	case *Message_SnapshotRequest:
		c.handleSnapshotRequest(m.From, body.SnapshotRequest)
	case *Message_SnapshotReply:
		c.handleSnapshotReply(m.From, body.SnapshotReply)
	case *Message_SnapshotPiece:
		c.handleSnapshotPiece(m.From, body.SnapshotPiece)
	case *Message_SnapshotPieceReply:
		c.handleSnapshotPieceReply(m.From, body.SnapshotPieceReply)
	case *Message_TimeoutNow:
		c.handleTimeoutNow(m.From)
	}
}

// bootstrap appends the first entry of a new group. It is committed by
// definition, since no other instance appends one.
func (c *Core) bootstrap(e Bootstrap) {
	if c.term != 0 || c.log.lastIndex() != 0 || !slices.Contains(e.Voters, c.options.ID) {
		return
	}
	c.term, c.persist.hardDirty = 1, true
	entry := &Entry{Index: 1, Term: 1, Kind: EntryKind_ENTRY_KIND_MEMBERS, Members: newMembers(e.Voters, nil)}
	c.mergeEntries([]*Entry{entry})
	c.commit = 1
	c.electionDue = c.now
}

// diskStalled steps down: a leader that cannot write would only prevent the
// election of another one.
func (c *Core) diskStalled() {
	c.stalled = true
	if c.role != Follower {
		c.becomeFollower(c.term, "")
	}
}
