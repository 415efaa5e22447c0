package consensus

import (
	"time"

	"google.golang.org/protobuf/proto"
)

// persistState tracks which state was handed to the disk and which is durable.
type persistState struct {
	sequence     uint64 // of the newest Persist effect
	synced       uint64 // newest sequence that is durable
	hardDirty    bool   // term or vote changed since the newest Persist
	hardSequence uint64 // the Persist that carries the current term and vote
	commit       uint64 // commit index in the newest persisted hard state
	next         uint64 // first index not handed to the disk
	stable       uint64 // last index that is durable
	stableCommit uint64 // commit index that is durable
	snapshot     *Snapshot
	reset        bool
	marks        []persistMark
}

// persistMark says up to which index a Persist effect makes the log and the
// commit index durable.
type persistMark struct {
	sequence, lastIndex, commit uint64
	begun                       time.Time
}

// heldMessage leaves the core once a Persist effect is durable.
type heldMessage struct {
	sequence uint64
	message  *Message
	ack      bool
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
	c.hold(to, m, c.termSequence(), false)
}

// sendAck queues a message that acknowledges everything the core holds.
func (c *Core) sendAck(to string, m *Message) {
	sequence := c.persist.sequence
	if c.dirty() {
		sequence++
	}
	c.hold(to, m, sequence, true)
}

// maxHeld bounds the messages that wait for the disk. Members repeat what got
// no answer, so that dropping is safe.
const maxHeld = 8192

func (c *Core) hold(to string, m *Message, sequence uint64, ack bool) {
	if len(c.held) >= maxHeld {
		return
	}
	m.From, m.To = c.options.ID, to
	if m.Term == 0 {
		m.Term = c.term
	}
	c.held = append(c.held, heldMessage{sequence: sequence, message: m, ack: ack})
}

// releaseMessages emits the messages whose state is durable. Acknowledgements
// of an earlier term are of no use any more and are dropped.
func (c *Core) releaseMessages() {
	waiting := c.held[:0]
	for _, held := range c.held {
		switch {
		case held.sequence > c.persist.synced:
			waiting = append(waiting, held)
		case held.ack && held.message.Term < c.term:
		default:
			c.emit(SendMessage{Message: held.message})
		}
	}
	clear(c.held[len(waiting):])
	c.held = waiting
}

// emitPersist hands out everything that the disk does not have yet.
func (c *Core) emitPersist() {
	p := &c.persist
	if !c.dirty() && p.commit == c.commit {
		return
	}
	p.sequence++
	effect := Persist{Sequence: p.sequence, Snapshot: p.snapshot, Reset: p.reset}
	if p.next <= c.log.lastIndex() {
		effect.Entries = c.log.from(p.next, c.log.lastIndex(), maxInt)
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
		sequence: p.sequence, lastIndex: c.log.lastIndex(), commit: c.commit, begun: c.now,
	})
	c.emit(effect)
}

const maxInt = int(^uint(0) >> 1)

// diskTimeouts is the number of election timeouts after which a disk that does
// not report a sync counts as stalled.
const diskTimeouts = 2

// checkDisk finds a disk that hangs without an error. Its instance would lead
// without ever applying anything, or raise its term again and again.
func (c *Core) checkDisk() {
	marks := c.persist.marks
	if len(marks) > 0 && c.now.Sub(marks[0].begun) > diskTimeouts*c.options.ElectionTimeout {
		c.diskStalled()
	}
}

// synced notes that Persist effects are durable.
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
		c.countOwnVote()
	case Leader:
		c.advanceCommit()
	}
}

// logCut corrects what is known to be durable after entries from index on
// were removed or replaced.
func (c *Core) logCut(index uint64) {
	p := &c.persist
	p.next = min(p.next, index)
	p.stable = min(p.stable, index-1)
	for i := range p.marks {
		p.marks[i].lastIndex = min(p.marks[i].lastIndex, index-1)
	}
}

// emitApply hands out what is committed and not yet applied. The commit index
// has to be durable first: a restarted instance then begins with everything it
// ever applied, even when it finds no leader.
func (c *Core) emitApply() {
	durable := min(c.commit, c.persist.stableCommit)
	if s := c.install; s != nil && durable >= s.Index {
		c.emit(InstallSnapshot{Snapshot: s})
		c.applied, c.install = s.Index, nil
	}
	if c.install == nil && c.applied < durable {
		entries := c.log.from(c.applied+1, durable, maxInt)
		c.unsnapped += sizeOf(entries)
		c.emit(Apply{Entries: entries})
		c.applied = durable
	}
	c.askForSnapshot()
}

func (c *Core) askForSnapshot() {
	base := uint64(0)
	if c.snapshot != nil {
		base = c.snapshot.Index
	}
	due := c.applied >= base+c.options.SnapshotEntries || c.unsnapped >= c.options.SnapshotBytes
	if due && !c.snapshotAsked && c.install == nil {
		c.snapshotAsked = true
		c.emit(TakeSnapshot{})
	}
}

// snapshotTaken keeps the snapshot and forgets the entries before it.
func (c *Core) snapshotTaken(e SnapshotTaken) {
	c.snapshotAsked = false
	if c.snapshot != nil && e.Index <= c.snapshot.Index {
		return
	}
	term, known := c.log.term(e.Index)
	if !known || e.Index > c.applied || c.install != nil {
		return
	}
	c.snapshot = &Snapshot{Index: e.Index, Term: term, Members: proto.CloneOf(c.membersAt(e.Index)), Data: e.Data}
	c.persist.snapshot = c.snapshot
	c.unsnapped = 0
	c.forgetMembersBefore(e.Index)
	c.log.forgetUpTo(c.log.trailing(e.Index, c.options.TrailingEntries, c.options.SnapshotBytes/4))
}

// snapshotRequested replaces the log by a snapshot of the leader.
func (c *Core) snapshotRequested(from string, request *SnapshotRequest) {
	if c.stalled {
		return
	}
	s := request.GetSnapshot()
	if s.GetIndex() > c.commit {
		c.restore(s)
	}
	c.sendAck(from, &Message{Body: &Message_SnapshotReply{
		SnapshotReply: &SnapshotReply{Match: c.commit, Round: request.Round},
	}})
}

func (c *Core) restore(s *Snapshot) {
	if term, known := c.log.term(s.Index); known && term == s.Term {
		c.commit = s.Index
		return
	}
	c.snapshot = s
	c.log = entryLog{prevIndex: s.Index, prevTerm: s.Term}
	c.install, c.unsnapped = s, 0
	c.commit = s.Index
	c.memberLog = []placedMembers{{index: s.Index, members: s.Members}}
	c.statusDirty = true
	c.persist.snapshot, c.persist.reset = s, true
	c.persist.next, c.persist.stable, c.persist.marks = s.Index+1, 0, nil
}
