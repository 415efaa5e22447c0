package consensus

import "time"

// sendMode says how a leader sends to one member.
type sendMode int

const (
	// sendProbe sends one request at a time until the logs are known to match.
	sendProbe sendMode = iota
	// sendStream sends ahead of the acknowledgements.
	sendStream
	// sendSnapshot waits for the member to acknowledge a snapshot.
	sendSnapshot
)

// progress is what a leader knows of one other member.
type progress struct {
	mode        sendMode
	match       uint64 // last index that is durable at the member
	next        uint64 // next index to send
	round       uint64 // last heartbeat round that the member answered
	lastContact time.Time
	paused      bool      // sendProbe: a request is outstanding
	snapshotDue time.Time // sendSnapshot: when the snapshot is sent again
}

// acknowledged notes that the member's log matches up to index. A member that
// waits for a snapshot is streamed to once it reaches the leader's first index.
func (p *progress) acknowledged(index, firstIndex uint64) {
	p.match = max(p.match, index)
	p.next = max(p.next, p.match+1)
	p.paused = false
	if p.mode == sendProbe || (p.mode == sendSnapshot && p.match+1 >= firstIndex) {
		p.mode = sendStream
		p.next = p.match + 1
	}
}

// rejected notes that the logs differ at prev and continues before hint.
// Rejections of requests older than the last acknowledgement are stale.
func (p *progress) rejected(prev, hint uint64) {
	if p.mode == sendSnapshot || prev <= p.match || prev >= p.next {
		return
	}
	p.mode = sendProbe
	p.paused = false
	p.next = max(min(hint, prev), p.match+1)
}
