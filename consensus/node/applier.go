package node

import (
	"context"

	"github.com/juju/errors"

	"hawthornshore.example/consensus"
)

// awaitEntry asks the applier to answer the proposer of an entry.
type awaitEntry struct {
	index, term uint64
	reply       chan result
}

// awaitIndex asks the applier to answer once an index is applied.
type awaitIndex struct {
	index uint64
	reply chan result
}

// applier owns the state machine.
type applier struct {
	options Options
	notes   chan<- consensus.Event
	applied uint64
	entries map[uint64]awaitEntry // by index
	reads   []awaitIndex
}

func newApplier(options Options, notes chan<- consensus.Event) *applier {
	return &applier{options: options, notes: notes, entries: map[uint64]awaitEntry{}}
}

func (a *applier) run(ctx context.Context, items <-chan any) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case item := <-items:
			if err := a.handle(ctx, item); err != nil {
				return err
			}
			a.answerReads()
		}
	}
}

func (a *applier) handle(ctx context.Context, item any) error {
	switch item := item.(type) {
	case consensus.Apply:
		return a.apply(item.Entries)
	case consensus.InstallSnapshot:
		return a.restore(item.Snapshot)
	case consensus.TakeSnapshot:
		return a.snapshot(ctx)
	case awaitEntry:
		a.await(item)
	case awaitIndex:
		a.reads = append(a.reads, item)
	}
	return nil
}

// await registers a proposer. An earlier one at the same index belongs to an
// entry that was cut off here and may still be committed by another leader.
func (a *applier) await(item awaitEntry) {
	if earlier, ok := a.entries[item.index]; ok {
		earlier.reply <- result{err: ErrOutcomeUnknown}
	}
	a.entries[item.index] = item
}

func (a *applier) apply(entries []*consensus.Entry) error {
	for _, entry := range entries {
		r := result{}
		if entry.Kind == consensus.EntryKind_ENTRY_KIND_COMMAND {
			answer, err := a.options.StateMachine.Apply(entry)
			if err != nil {
				return errors.Annotatef(err, "apply entry %d", entry.Index)
			}
			r.answer = answer
		}
		a.applied = entry.Index
		a.answer(entry, r)
	}
	a.changed(false)
	return nil
}

// answer tells the proposer of an entry the result. If another entry was
// committed at its place, the proposal can never be committed.
func (a *applier) answer(entry *consensus.Entry, r result) {
	waiter, ok := a.entries[entry.Index]
	if !ok {
		return
	}
	delete(a.entries, entry.Index)
	if waiter.term != entry.Term {
		r = result{err: ErrNotCommitted}
	}
	waiter.reply <- r
}

func (a *applier) restore(snapshot *consensus.Snapshot) error {
	if err := a.options.StateMachine.Restore(snapshot.Data); err != nil {
		return errors.Annotatef(err, "restore snapshot %d", snapshot.Index)
	}
	a.applied = snapshot.Index
	for index, waiter := range a.entries {
		if index <= snapshot.Index {
			delete(a.entries, index)
			waiter.reply <- result{err: ErrOutcomeUnknown}
		}
	}
	a.changed(true)
	return nil
}

func (a *applier) snapshot(ctx context.Context) error {
	data, err := a.options.StateMachine.Snapshot()
	if err != nil {
		return errors.Annotate(err, "take snapshot")
	}
	return report(ctx, a.notes, consensus.SnapshotTaken{Index: a.applied, Data: data})
}

func (a *applier) changed(restored bool) {
	if a.options.OnApplied != nil {
		a.options.OnApplied(Applied{Index: a.applied, Restored: restored})
	}
}

func (a *applier) answerReads() {
	waiting := a.reads[:0]
	for _, read := range a.reads {
		if read.index > a.applied {
			waiting = append(waiting, read)
			continue
		}
		read.reply <- result{}
	}
	a.reads = waiting
}
