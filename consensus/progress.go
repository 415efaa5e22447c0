package consensus

import "time"

// sendMode is how a leader replicates to a member.
type sendMode int

const (
	// sendProbe sends one request at a time until the logs are known to match.
	sendProbe sendMode = iota
	// sendStream pipelines requests without waiting for acknowledgements.
	sendStream
	// sendSnapshot waits for the member to acknowledge a snapshot.
	sendSnapshot
)

// progress is a leader's replication state of one other member.
type progress struct {
	mode        sendMode
	match       uint64 // last index that is durable at the member
	next        uint64 // next index to send
	round       uint64 // last heartbeat round that the member acknowledged
	commitSent  uint64 // commit index in the last request
	lastContact time.Time
	paused      bool      // sendProbe: a request is outstanding
	snapshotDue time.Time // sendSnapshot: when the snapshot, or a piece, is sent again
	transfer    *snapshotTransfer
}

// acknowledge records that the member's log matches up to index. A member in
// mode sendSnapshot changes to sendStream at the leader's first index.
func (p *progress) acknowledge(index, firstIndex uint64) {
	p.match = max(p.match, index)
	p.next = max(p.next, p.match+1)
	p.paused = false
	if p.mode == sendProbe || (p.mode == sendSnapshot && p.match+1 >= firstIndex) {
		p.mode = sendStream
		p.next = p.match + 1
		p.transfer = nil
	}
}

// reject records that the logs differ at prev and retries from hint at most.
// Rejections of requests older than the last acknowledgement are stale.
func (p *progress) reject(prev, hint uint64) {
	if p.mode == sendSnapshot || prev <= p.match || prev >= p.next {
		return
	}
	p.mode = sendProbe
	p.paused = false
	p.next = max(min(hint, prev), p.match+1)
}
