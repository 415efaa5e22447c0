package claims

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"hawthornshore.example/structs"
)

// HandOver seals the partitions whose records a draining owner has sent to their
// new owner.
type HandOver struct {
	Token      uint64
	Epoch      uint64
	Partitions []Seal
}

// Seal states that the draining owner admits no more jobs of a partition, and which
// IDs it has admitted or refused.
type Seal struct {
	Partition int
	// Only IDs from HorizonUnixMS on are counted in Count and Digest; earlier ones
	// may have been admitted elsewhere.
	HorizonUnixMS int64
	Count         int    // records with these IDs
	Digest        uint64 // of these IDs, independent of their order
}

// matchedSeal is a Seal that matched the records of this instance.
type matchedSeal struct {
	token   uint64
	horizon int64
}

// outgoingHandOver is the hand-over of a draining instance in one epoch.
type outgoingHandOver struct {
	token    uint64
	unacked  map[string]bool // peers whose acknowledgement is missing
	resendAt time.Duration
	done     bool // HandOverCompleted was emitted
}

const (
	// handOverAckTimeout is how long a peer may take to acknowledge a hand-over that
	// was sent completely before everything is sent again.
	handOverAckTimeout = 2 * time.Second
	// sealWindow is the greatest age of the IDs that a seal covers. With half the
	// retention time, no covered record expires during the hand-over. Older IDs
	// without a record get the outcome unknown from the new owner.
	sealWindow = structs.AnswerRetention / 2
)

// handOver performs the next step of draining: wait for the jobs, send the
// records, send the seals, emit HandOverCompleted.
func (c *Core) handOver() {
	if !c.draining || c.openJobs > 0 || !c.leaseHeld() {
		return
	}
	if c.outgoing == nil {
		c.outgoing = &outgoingHandOver{token: c.handOverToken(), unacked: make(map[string]bool)}
		for _, peer := range c.successors() {
			c.outgoing.unacked[peer] = true
		}
		c.sendHandOver()
	}
	out := c.outgoing
	if len(out.unacked) == 0 && !out.done {
		out.done = true
		c.emit(HandOverCompleted{Token: out.token, Epoch: c.epoch})
	}
	if len(out.unacked) > 0 && len(c.transfers) == 0 && out.resendAt <= c.now {
		c.sendHandOver()
	}
}

// handOverToken differs between processes and epochs. It is never 0.
func (c *Core) handOverToken() uint64 {
	b := binary.LittleEndian.AppendUint64(nil, c.epoch)
	b = binary.LittleEndian.AppendUint64(b, uint64(c.opts.Start.UnixNano()))
	return xxhash.Sum64(append(b, c.opts.Instance...)) | 1
}

// successors returns the owners that the partitions will have without this instance.
func (c *Core) successors() []string {
	successors := make(map[string]bool)
	for i := range c.partitions {
		if p := &c.partitions[i]; c.isActiveOwner(p) && p.backup != "" {
			successors[p.backup] = true
		}
	}
	return slices.Sorted(maps.Keys(successors))
}

// sendHandOver sends all records, followed by the seals, to the successors that
// have not acknowledged.
func (c *Core) sendHandOver() {
	bySuccessor := make(map[string][]structs.JobID)
	for _, id := range c.sortedIDs() {
		if p := c.partitionOf(id); p.owner == c.opts.Instance {
			bySuccessor[p.backup] = append(bySuccessor[p.backup], id)
		}
	}
	for _, peer := range slices.Sorted(maps.Keys(c.outgoing.unacked)) {
		c.startTransfer(peer, bySuccessor[peer])
		c.queueHandOver(peer)
	}
}

// queueHandOver appends the seals for a peer to the transfers.
func (c *Core) queueHandOver(peer string) {
	h := HandOver{Token: c.outgoing.token, Epoch: c.epoch}
	for i := range c.partitions {
		if p := &c.partitions[i]; c.isActiveOwner(p) && p.backup == peer {
			h.Partitions = append(h.Partitions, Seal{Partition: i, HorizonUnixMS: c.sealHorizon(p)})
		}
	}
	c.summarize(h.Partitions)
	if len(c.transfers) == 0 {
		c.transferAt = c.now
	}
	c.transfers = append(c.transfers, transfer{peer: peer, handOver: &h})
}

// sealHorizon is the latest of the partition's horizon, the time after the last
// dropped record, and the start of the sealWindow.
func (c *Core) sealHorizon(p *partition) int64 {
	return max(p.horizon, c.floor+1, c.wall-sealWindow.Milliseconds())
}

// summarize counts the records that each seal covers, in one pass over the table.
func (c *Core) summarize(seals []Seal) {
	var byPartition [structs.Partitions]*Seal
	for i := range seals {
		seals[i].Count, seals[i].Digest = 0, 0
		byPartition[seals[i].Partition] = &seals[i]
	}
	for id := range c.records {
		s := byPartition[Partition(id)]
		if s != nil && id.Time().UnixMilli() >= s.HorizonUnixMS {
			s.Count++
			s.Digest += xxhash.Sum64(id[:])
		}
	}
}

// handOverReceived checks that all records of a hand-over have arrived, stores its
// seals and acknowledges it. Otherwise the sender repeats the hand-over after
// handOverAckTimeout. The seals take effect if the view of the next epoch carries
// the hand-over's token.
func (c *Core) handOverReceived(e HandOverReceived) {
	if e.HandOver.Epoch != c.epoch {
		return
	}
	for _, s := range e.HandOver.Partitions {
		if s.Partition < 0 || s.Partition >= structs.Partitions {
			return
		}
	}
	recounted := slices.Clone(e.HandOver.Partitions)
	c.summarize(recounted)
	if !slices.Equal(recounted, e.HandOver.Partitions) {
		return
	}
	for _, s := range e.HandOver.Partitions {
		c.matchedSeals[s.Partition] = matchedSeal{token: e.HandOver.Token, horizon: s.HorizonUnixMS}
	}
	c.emit(AckHandOver{Peer: e.Peer, Token: e.HandOver.Token})
}

func (c *Core) handOverAcked(e HandOverAcked) {
	if c.outgoing != nil && c.outgoing.token == e.Token {
		delete(c.outgoing.unacked, e.Peer)
	}
}
