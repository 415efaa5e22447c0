package node

import (
	"context"

	"github.com/juju/errors"

	"hawthornshore.example/consensus"
)

// entryWaiter makes the applier reply to the proposer of an entry.
type entryWaiter struct {
	index, term uint64
	reply       chan result
}

// indexWaiter makes the applier reply once an index is applied.
type indexWaiter struct {
	index uint64
	reply chan result
}

// applier owns the state machine.
type applier struct {
	options      Options
	events       chan<- consensus.Event
	applied      uint64
	entryWaiters map[uint64]entryWaiter // by index
	indexWaiters []indexWaiter
}

func newApplier(options Options, events chan<- consensus.Event) *applier {
	return &applier{options: options, events: events, entryWaiters: map[uint64]entryWaiter{}}
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
			a.replyToReads()
		}
	}
}

func (a *applier) handle(ctx context.Context, item any) error {
	switch item := item.(type) {
	case consensus.Apply:
		return a.apply(item.Entries)
	case consensus.CommitSynced:
		if a.options.OnCommitSynced != nil {
			a.options.OnCommitSynced(item.Index)
		}
	case consensus.InstallSnapshot:
		return a.restore(item.Snapshot)
	case consensus.TakeSnapshot:
		return a.snapshot(ctx)
	case entryWaiter:
		a.addEntryWaiter(item)
	case indexWaiter:
		a.indexWaiters = append(a.indexWaiters, item)
	}
	return nil
}

// addEntryWaiter registers a proposer. An earlier one at the same index is for an
// entry that was truncated here and may still be committed by another leader.
func (a *applier) addEntryWaiter(item entryWaiter) {
	if earlier, ok := a.entryWaiters[item.index]; ok {
		earlier.reply <- result{err: ErrOutcomeUnknown}
	}
	a.entryWaiters[item.index] = item
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
		a.replyTo(entry, r)
	}
	a.notifyApplied(false)
	return nil
}

// replyTo sends the result of an entry to its proposer. If another entry was
// committed at the index, the proposal can never be committed.
func (a *applier) replyTo(entry *consensus.Entry, r result) {
	waiter, ok := a.entryWaiters[entry.Index]
	if !ok {
		return
	}
	delete(a.entryWaiters, entry.Index)
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
	for index, waiter := range a.entryWaiters {
		if index <= snapshot.Index {
			delete(a.entryWaiters, index)
			waiter.reply <- result{err: ErrOutcomeUnknown}
		}
	}
	a.notifyApplied(true)
	return nil
}

func (a *applier) snapshot(ctx context.Context) error {
	data, err := a.options.StateMachine.Snapshot()
	if err != nil {
		return errors.Annotate(err, "take snapshot")
	}
	return sendEvent(ctx, a.events, consensus.SnapshotTaken{Index: a.applied, Data: data})
}

func (a *applier) notifyApplied(restored bool) {
	if a.options.OnApplied != nil {
		a.options.OnApplied(Applied{Index: a.applied, Restored: restored})
	}
}

func (a *applier) replyToReads() {
	waiting := a.indexWaiters[:0]
	for _, read := range a.indexWaiters {
		if read.index > a.applied {
			waiting = append(waiting, read)
			continue
		}
		read.reply <- result{}
	}
	a.indexWaiters = waiting
}
