package consensus

import (
	"time"

	"google.golang.org/protobuf/proto"
)

// persistState tracks which state Persist effects carry and which is durable.
type persistState struct {
	sequence     uint64 // of the newest Persist effect
	synced       uint64 // newest sequence that is durable
	hardDirty    bool   // term or vote changed since the newest Persist
	hardSequence uint64 // the Persist that carries the current term and vote
	commit       uint64 // commit index in the newest persisted hard state
	next         uint64 // first index not emitted in a Persist effect
	stable       uint64 // last index that is durable
	stableCommit uint64 // commit index that is durable
	snapshot     *Snapshot
	reset        bool
	marks        []persistMark
}

// persistMark records up to which index a Persist effect makes the log and the
// commit index durable.
type persistMark struct {
	sequence, lastIndex, commit uint64
	start                       time.Time
}

// queuedMessage is emitted once a Persist effect is durable.
type queuedMessage struct {
	sequence uint64
	message  *Message
	// afterSync is set on replies that wait for the whole state, not only for term
	// and vote.
	afterSync bool
}

// dirty reports whether there is state that no Persist effect carries yet.
func (c *Core) dirty() bool {
	p := &c.persist
	return p.hardDirty || p.snapshot != nil || p.next <= c.log.lastIndex()
}

// termSequence returns the sequence whose sync makes term and vote durable.
func (c *Core) termSequence() uint64 {
	if c.persist.hardDirty {
		return c.persist.sequence + 1
	}
	return c.persist.hardSequence
}

// send queues a message that needs only term and vote to be durable.
func (c *Core) send(to string, m *Message) {
	c.enqueue(to, m, c.termSequence(), false)
}

// replyWhenDurable queues a reply that is sent once the whole state of the core is
// durable.
func (c *Core) replyWhenDurable(to string, m *Message) {
	sequence := c.persist.sequence
	if c.dirty() {
		sequence++
	}
	c.enqueue(to, m, sequence, true)
}

// maxQueuedMessages bounds the messages that wait for the disk. Dropping further
// ones is safe, as members repeat requests that got no reply.
const maxQueuedMessages = 8192

func (c *Core) enqueue(to string, m *Message, sequence uint64, afterSync bool) {
	if len(c.messageQueue) >= maxQueuedMessages {
		return
	}
	m.From, m.To = c.options.ID, to
	if m.Term == 0 {
		m.Term = c.term
	}
	c.messageQueue = append(c.messageQueue, queuedMessage{sequence: sequence, message: m, afterSync: afterSync})
}

// releaseMessages emits the messages whose state is durable. Replies that
// waited for the whole state are obsolete in a later term and are dropped.
func (c *Core) releaseMessages() {
	waiting := c.messageQueue[:0]
	for _, queued := range c.messageQueue {
		switch {
		case queued.sequence > c.persist.synced:
			waiting = append(waiting, queued)
		case queued.afterSync && queued.message.Term < c.term:
		default:
			c.emit(SendMessage{Message: queued.message})
		}
	}
	clear(c.messageQueue[len(waiting):])
	c.messageQueue = waiting
}

// emitPersist emits the state that no Persist effect carries yet.
func (c *Core) emitPersist() {
	p := &c.persist
	if !c.dirty() && p.commit == c.commit {
		return
	}
	p.sequence++
	effect := Persist{Sequence: p.sequence, Snapshot: p.snapshot, Reset: p.reset}
	if p.next <= c.log.lastIndex() {
		effect.Entries = c.log.slice(p.next, c.log.lastIndex(), maxInt)
	}
	if p.hardDirty || p.commit != c.commit {
		effect.Hard = &HardState{Term: c.term, Vote: c.vote, Commit: c.commit}
		p.commit = c.commit
	}
	if p.hardDirty {
		p.hardSequence = p.sequence
	}
	p.hardDirty, p.snapshot, p.reset = false, nil, false
	p.next = c.log.lastIndex() + 1
	p.marks = append(p.marks, persistMark{
		sequence: p.sequence, lastIndex: c.log.lastIndex(), commit: c.commit, start: c.now,
	})
	c.emit(effect)
}

const maxInt = int(^uint(0) >> 1)

// diskStallTimeouts is the number of election timeouts after which a disk without
// a completed sync counts as stalled.
const diskStallTimeouts = 2

// checkDisk detects a disk that hangs without an error. Its instance would lead
// without ever applying anything, or increment its term repeatedly.
func (c *Core) checkDisk() {
	marks := c.persist.marks
	if len(marks) > 0 && c.now.Sub(marks[0].start) > diskStallTimeouts*c.options.ElectionTimeout {
		c.diskStalled()
	}
}

// synced records that Persist effects are durable.
func (c *Core) synced(sequence uint64) {
	p := &c.persist
	p.synced = max(p.synced, sequence)
	c.stalled = false
	for len(p.marks) > 0 && p.marks[0].sequence <= p.synced {
		p.stable = max(p.stable, p.marks[0].lastIndex)
		p.stableCommit = max(p.stableCommit, p.marks[0].commit)
		p.marks = p.marks[1:]
	}
	switch c.role {
	case Candidate:
		c.countSelfVote()
	case Leader:
		c.advanceCommit()
	}
}

// resetPersistedFrom resets the written and durable indexes after entries from index
// on were removed or replaced.
func (c *Core) resetPersistedFrom(index uint64) {
	p := &c.persist
	p.next = min(p.next, index)
	p.stable = min(p.stable, index-1)
	for i := range p.marks {
		p.marks[i].lastIndex = min(p.marks[i].lastIndex, index-1)
	}
}

// emitApply emits the committed entries that are not applied yet. Without
// EagerApply the commit index has to be durable first: a restarted instance then
// starts with every entry that it ever applied, even without a leader.
func (c *Core) emitApply() {
	durable := min(c.commit, c.persist.stableCommit)
	if s := c.pendingInstall; s != nil && durable >= s.Index {
		c.emit(InstallSnapshot{Snapshot: s})
		c.applied, c.pendingInstall = s.Index, nil
	}
	applicable := durable
	if c.options.EagerApply {
		applicable = max(durable, min(c.commit, c.persist.stable))
	}
	if c.pendingInstall == nil && c.applied < applicable {
		entries := c.log.slice(c.applied+1, applicable, maxInt)
		c.bytesSinceSnapshot += sizeOf(entries)
		c.emit(Apply{Entries: entries})
		c.applied = applicable
	}
	if c.options.EagerApply && c.pendingInstall == nil && c.commitSynced < durable {
		c.commitSynced = durable
		c.emit(CommitSynced{Index: durable})
	}
	c.requestSnapshot()
}

func (c *Core) requestSnapshot() {
	base := uint64(0)
	if c.snapshot != nil {
		base = c.snapshot.Index
	}
	due := c.applied >= base+c.options.SnapshotEntries || c.bytesSinceSnapshot >= c.options.SnapshotBytes
	if due && !c.snapshotPending && c.pendingInstall == nil {
		c.snapshotPending = true
		c.emit(TakeSnapshot{})
	}
}

// snapshotTaken stores the snapshot and compacts the entries before it.
func (c *Core) snapshotTaken(e SnapshotTaken) {
	c.snapshotPending = false
	if c.snapshot != nil && e.Index <= c.snapshot.Index {
		return
	}
	term, known := c.log.term(e.Index)
	if !known || e.Index > c.applied || c.pendingInstall != nil {
		return
	}
	c.snapshot = &Snapshot{Index: e.Index, Term: term, Members: proto.CloneOf(c.membersAt(e.Index)), Data: e.Data}
	c.persist.snapshot = c.snapshot
	c.bytesSinceSnapshot = 0
	c.compactMembers(e.Index)
	compact := c.log.compactIndex(e.Index, c.options.TrailingEntries, c.options.SnapshotBytes/4)
	c.log.compactTo(min(compact, c.lowestTransfer()))
}

func (c *Core) restore(s *Snapshot) {
	if term, known := c.log.term(s.Index); known && term == s.Term {
		c.commit = s.Index
		return
	}
	c.snapshot = s
	c.log = entryLog{prevIndex: s.Index, prevTerm: s.Term}
	c.pendingInstall, c.bytesSinceSnapshot = s, 0
	c.commit = s.Index
	c.memberLog = []indexedMembers{{index: s.Index, members: s.Members}}
	c.statusDirty = true
	c.persist.snapshot, c.persist.reset = s, true
	c.persist.next, c.persist.stable, c.persist.marks = s.Index+1, 0, nil
}
