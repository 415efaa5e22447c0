package consensus

// pendingRead waits until a majority has acknowledged a heartbeat round that
// began after the read was requested.
type pendingRead struct {
	ref   Ref
	index uint64
	round uint64
}

func (c *Core) readBarrier(e ReadBarrier) {
	switch {
	case c.role != Leader:
		c.refuse(e.Ref, &NotLeaderError{Leader: c.leader})
	case c.commit < c.termStart:
		c.refuse(e.Ref, ErrNoCommitInTerm)
	default:
		c.reads = append(c.reads, pendingRead{ref: e.Ref, index: c.commit, round: c.round + 1})
		c.roundPending = true
	}
}

// completeReads completes the reads whose round a majority has acknowledged: the
// instance was still leader when that round began.
func (c *Core) completeReads() {
	if len(c.reads) == 0 {
		return
	}
	done := c.quorumValue(c.round, func(p *progress) uint64 { return p.round })
	for len(c.reads) > 0 && c.reads[0].round <= done {
		c.emit(ReadReady{Ref: c.reads[0].ref, Index: c.reads[0].index})
		c.reads = c.reads[1:]
	}
}
