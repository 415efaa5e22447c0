package claims

import (
	"bytes"
	"cmp"
	"maps"
	"slices"

	"hawthornshore.example/structs"
)

// transfer is a queue of records to be sent to a peer that lacks them.
type transfer struct {
	peer     string
	ids      []structs.JobID
	handOver *HandOver // sent after the records
}

func (c *Core) sendCopy(r *record, peer string) {
	if peer != "" && peer != c.opts.Instance {
		c.emit(SendCopy{Peer: peer, Copy: r.copyOf()})
	}
}

// sendAnswer copies an answer to the instances that may receive requests for it:
// the backup, and the owner if the partition has moved since the job was admitted.
func (c *Core) sendAnswer(r *record) {
	p := c.partitionOf(r.id)
	c.sendCopy(r, p.owner)
	c.sendCopy(r, p.backup)
}

// copyReceived stores a copy from the owner. A record that this instance created
// by its own decision, or that has an answer, is never replaced.
func (c *Core) copyReceived(e CopyReceived) {
	r := c.records[e.Copy.JobID]
	if r != nil && r.state != remote {
		return
	}
	if r == nil {
		r = c.addRemote(e)
	}
	if e.Copy.Answer != nil {
		c.finish(r, *e.Copy.Answer)
	}
}

func (c *Core) addRemote(e CopyReceived) *record {
	r := &record{
		id:        e.Copy.JobID,
		digest:    e.Copy.Digest,
		anyDigest: e.Copy.AnyDigest,
		deadline:  e.Copy.DeadlineUnixMS,
		state:     remote,
		origin:    cmp.Or(e.Copy.Origin, e.Peer),
	}
	c.add(r)
	return r
}

// redistribute adapts to new members: unacknowledged claims are sent to the new
// backup, requests for jobs of lost owners are answered, and records are
// transferred to the new owners and backups.
func (c *Core) redistribute() {
	peers := make(map[string][]structs.JobID)
	for _, id := range c.sortedIDs() {
		r := c.records[id]
		p := c.partitionOf(id)
		if c.orphaned(r) {
			c.replyToWaiters(r, unknownAnswer(id, structs.ReasonOwnerLost, "the job's owner was lost"))
		}
		if r.state == copying && p.backup != r.copyPeer {
			r.copyPeer = p.backup
			c.sendCopy(r, p.backup)
		}
		peers[p.owner] = append(peers[p.owner], id)
		peers[p.backup] = append(peers[p.backup], id)
	}
	c.transfers = nil
	for _, peer := range c.members {
		c.startTransfer(peer, peers[peer])
	}
}

// peerRestarted sends a member the records that it lost in its restart. Jobs that
// it admitted before will not be answered.
func (c *Core) peerRestarted(peer string) {
	var ids []structs.JobID
	for _, id := range c.sortedIDs() {
		r := c.records[id]
		if r.state == remote && r.origin == peer {
			r.originLost = true
			c.replyToWaiters(r, unknownAnswer(id, structs.ReasonOwnerLost, "the job's owner was lost"))
		}
		if p := c.partitionOf(id); p.owner == peer || p.backup == peer {
			ids = append(ids, id)
		}
	}
	c.startTransfer(peer, ids)
}

// sortedIDs returns the IDs of all records, the oldest first.
func (c *Core) sortedIDs() []structs.JobID { return sorted(c.records) }

// sorted returns the IDs of a table, the oldest first, so that the order of
// effects does not depend on that of a map.
func sorted[V any](table map[structs.JobID]V) []structs.JobID {
	ids := slices.Collect(maps.Keys(table))
	slices.SortFunc(ids, func(a, b structs.JobID) int { return bytes.Compare(a[:], b[:]) })
	return ids
}

func (c *Core) startTransfer(peer string, ids []structs.JobID) {
	if len(ids) == 0 || peer == c.opts.Instance {
		return
	}
	if len(c.transfers) == 0 {
		c.transferAt = c.now
	}
	c.transfers = append(c.transfers, transfer{peer: peer, ids: ids})
}

// sendTransferBatch sends the next batch.
func (c *Core) sendTransferBatch() {
	for n := 0; n < transferBatch && len(c.transfers) > 0; {
		t := &c.transfers[0]
		if len(t.ids) == 0 {
			if t.handOver != nil {
				c.emit(SendHandOver{Peer: t.peer, HandOver: *t.handOver})
				c.outgoing.resendAt = c.now + handOverAckTimeout
			}
			c.transfers = c.transfers[1:]
			continue
		}
		if r := c.records[t.ids[0]]; r != nil {
			c.sendCopy(r, t.peer)
			n++
		}
		t.ids = t.ids[1:]
	}
	c.transferAt = c.now + transferInterval
}
