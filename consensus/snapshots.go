package consensus

import (
	"hash/crc32"
	"math"
)

const (
	// snapshotRetryTimeouts is the number of election timeouts after which an
	// unacknowledged snapshot is sent again. A piece is sent again after one, because it
	// is acknowledged before it is on disk.
	snapshotRetryTimeouts = 3
	// wholeAttempts is the number of attempts of which the last one sends a snapshot of
	// at most maxWholeSnapshot as a whole, as long as a member acknowledges no pieces.
	wholeAttempts = 3
	// maxWholeSnapshot bounds a snapshot that is sent in one message to a member that
	// acknowledges no pieces. Links accept messages of 16 MiB.
	maxWholeSnapshot = 12 << 20
	// transferLogFactor bounds the entries that a leader keeps for members that receive
	// a snapshot, as a multiple of SnapshotBytes.
	transferLogFactor = 4
	// maxIncomingSnapshot bounds the memory reserved for a snapshot; a coordinator has
	// 408 MB.
	maxIncomingSnapshot = 1 << 30
)

// snapshotTransfer is the leader's state of a snapshot on its way to a member. It stays
// the same when the leader takes newer ones, which would restart it without end.
type snapshotTransfer struct {
	snapshot *Snapshot
	checksum uint32
	received uint64 // bytes that the member has acknowledged
	pieces   bool   // the member has acknowledged a piece
	attempts int    // messages sent since the last acknowledgement
}

// incomingSnapshot is the part of a leader's snapshot that has arrived here.
type incomingSnapshot struct {
	snapshot *Snapshot // without data; nil: none
	total    uint64
	checksum uint32
	data     []byte
}

var checksumTable = crc32.MakeTable(crc32.Castagnoli)

func checksum(data []byte) uint32 { return crc32.Checksum(data, checksumTable) }

// sendSnapshotTo sends the snapshot, or its next piece if it is larger than
// MaxBatchBytes. One piece is on its way at a time, so that heartbeats and votes on the
// same link wait for no more than that.
func (c *Core) sendSnapshotTo(id string, p *progress) {
	t := p.transfer
	if t == nil || t.snapshot.Index+1 < c.log.firstIndex() {
		t = &snapshotTransfer{snapshot: c.snapshot, checksum: checksum(c.snapshot.Data)}
		p.transfer = t
	}
	p.mode = sendSnapshot
	p.next = t.snapshot.Index + 1
	t.attempts++
	if c.sendsWhole(p) {
		p.snapshotDue = c.now.Add(snapshotRetryTimeouts * c.options.ElectionTimeout)
		c.send(id, &Message{Body: &Message_SnapshotRequest{
			SnapshotRequest: &SnapshotRequest{Snapshot: t.snapshot, Round: c.round},
		}})
		return
	}
	p.snapshotDue = c.now.Add(c.options.ElectionTimeout)
	s, total := t.snapshot, uint64(len(t.snapshot.Data))
	end := min(t.received+uint64(c.options.MaxBatchBytes), total)
	c.send(id, &Message{Body: &Message_SnapshotPiece{SnapshotPiece: &SnapshotPiece{
		Snapshot: &Snapshot{Index: s.Index, Term: s.Term, Members: s.Members},
		Offset:   t.received, Total: total, Checksum: t.checksum, Piece: s.Data[t.received:end:end], Round: c.round,
	}}})
}

// sendsWhole reports whether the next message has the whole snapshot: a small one, or
// some attempts for a member that responds, but acknowledges no piece, because it has an
// earlier version.
func (c *Core) sendsWhole(p *progress) bool {
	t, size := p.transfer, len(p.transfer.snapshot.Data)
	if size <= c.options.MaxBatchBytes {
		return true
	}
	return !t.pieces && t.attempts%wholeAttempts == 0 && size <= maxWholeSnapshot &&
		c.now.Sub(p.lastContact) < c.options.ElectionTimeout
}

// lowestTransfer returns the index of the oldest snapshot on its way to a member that
// responds. The entries after it are kept, or the member would need another snapshot as
// soon as it has this one.
func (c *Core) lowestTransfer() uint64 {
	lowest := uint64(math.MaxUint64)
	for _, p := range c.progress {
		if p.transfer != nil && c.now.Sub(p.lastContact) < c.options.ElectionTimeout {
			lowest = min(lowest, max(p.transfer.snapshot.Index, c.log.prevIndex))
		}
	}
	if lowest < c.log.lastIndex() && sizeOf(c.log.entries[lowest-c.log.prevIndex:]) > transferLogFactor*c.options.SnapshotBytes {
		return math.MaxUint64
	}
	return lowest
}

// handleSnapshotRequest replaces the log with a snapshot of the leader.
func (c *Core) handleSnapshotRequest(from string, request *SnapshotRequest) {
	if c.stalled {
		return
	}
	c.installSnapshot(from, request.GetSnapshot(), request.Round)
}

func (c *Core) installSnapshot(from string, s *Snapshot, round uint64) {
	c.incoming = incomingSnapshot{}
	if s.GetIndex() > c.commit {
		c.restore(s)
	}
	c.replyWhenDurable(from, &Message{Body: &Message_SnapshotReply{
		SnapshotReply: &SnapshotReply{Match: c.commit, Round: round},
	}})
}

// handleSnapshotPiece collects the pieces of a snapshot. Those of the same snapshot may
// come from several leaders, and again after a lost link.
func (c *Core) handleSnapshotPiece(from string, m *SnapshotPiece) {
	in := &c.incoming
	switch {
	case c.stalled, m.Total > maxIncomingSnapshot:
		return
	case m.GetSnapshot().GetIndex() <= c.commit:
		c.installSnapshot(from, m.Snapshot, m.Round)
		return
	case !in.of(m):
		*in = incomingSnapshot{snapshot: m.Snapshot, total: m.Total, checksum: m.Checksum, data: make([]byte, 0, m.Total)}
	}
	if m.Offset == uint64(len(in.data)) && uint64(len(m.Piece)) <= in.total-m.Offset {
		in.data = append(in.data, m.Piece...)
	}
	if uint64(len(in.data)) == in.total {
		if checksum(in.data) == in.checksum {
			s := in.snapshot
			s.Data = in.data
			c.installSnapshot(from, s, m.Round)
			return
		}
		*in = incomingSnapshot{}
	}
	c.send(from, &Message{Body: &Message_SnapshotPieceReply{SnapshotPieceReply: &SnapshotPieceReply{
		Index: m.Snapshot.Index, Received: uint64(len(in.data)), Round: m.Round,
	}}})
}

// of reports whether a piece belongs to the snapshot.
func (in *incomingSnapshot) of(m *SnapshotPiece) bool {
	s := in.snapshot
	return s != nil && s.Index == m.Snapshot.Index && s.Term == m.Snapshot.Term && in.total == m.Total && in.checksum == m.Checksum
}

// handleSnapshotPieceReply sends the next piece. A reply that shows no progress is a
// repeated one, or of a member that has lost its pieces; it sends none, because each
// repeated message would then double.
func (c *Core) handleSnapshotPieceReply(from string, reply *SnapshotPieceReply) {
	p := c.progress[from]
	if p == nil {
		return
	}
	c.recordContact(p, reply.Round)
	t := p.transfer
	if p.mode != sendSnapshot || t == nil || reply.Index != t.snapshot.Index || reply.Received >= uint64(len(t.snapshot.Data)) {
		return
	}
	if reply.Received > t.received {
		p.snapshotDue = c.now
		t.attempts = 0
	}
	t.received, t.pieces = reply.Received, true
}

func (c *Core) handleSnapshotReply(from string, reply *SnapshotReply) {
	p := c.progress[from]
	if p == nil {
		return
	}
	c.recordContact(p, reply.Round)
	if t := p.transfer; t != nil && reply.Match >= t.snapshot.Index {
		p.transfer, p.snapshotDue = nil, c.now
	}
	p.acknowledge(reply.Match, c.log.firstIndex())
	c.advanceAfterAck(from)
}
