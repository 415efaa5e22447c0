package consensus_test

import (
	"math/rand/v2"

	"google.golang.org/protobuf/proto"

	"hawthornshore.example/consensus"
)

// fakeDisk keeps Persist effects; those that are not synced are lost in a
// crash, wholly or in part.
type fakeDisk struct {
	durable consensus.PersistentState
	pending []consensus.Persist
}

func (d *fakeDisk) write(p consensus.Persist) { d.pending = append(d.pending, p) }

// sync makes everything up to a sequence number durable.
func (d *fakeDisk) sync(sequence uint64) {
	for len(d.pending) > 0 && d.pending[0].Sequence <= sequence {
		d.store(d.pending[0])
		d.pending = d.pending[1:]
	}
}

// crash keeps a random part of the unsynced writes, in their order.
func (d *fakeDisk) crash(random *rand.Rand) {
	keep := random.IntN(len(d.pending) + 1)
	for _, p := range d.pending[:keep] {
		d.store(p)
	}
	if keep < len(d.pending) {
		p := d.pending[keep]
		p.Entries = p.Entries[:random.IntN(len(p.Entries)+1)]
		p.Hard = nil
		if p.Snapshot == nil {
			d.store(p)
		}
	}
	d.pending = nil
}

func (d *fakeDisk) store(p consensus.Persist) {
	if p.Snapshot != nil {
		d.durable.Snapshot = p.Snapshot
		if p.Reset {
			d.durable.Entries = nil
		}
		for len(d.durable.Entries) > 0 && d.durable.Entries[0].Index <= p.Snapshot.Index {
			d.durable.Entries = d.durable.Entries[1:]
		}
	}
	for _, entry := range p.Entries {
		d.storeEntry(entry)
	}
	if p.Hard != nil {
		d.durable.Hard = proto.CloneOf(p.Hard)
	}
}

func (d *fakeDisk) storeEntry(entry *consensus.Entry) {
	entries := d.durable.Entries
	for i, other := range entries {
		if other.Index >= entry.Index {
			entries = entries[:i:i]
			break
		}
	}
	if entry.Index > d.durable.Snapshot.GetIndex() {
		d.durable.Entries = append(entries[:len(entries):len(entries)], entry)
	}
}
