package node

import (
	"context"
	"time"

	"github.com/juju/errors"

	"hawthornshore.example/consensus"
)

const (
	maxSaveBatch  = 256         // effects per sync
	fullDiskRetry = time.Second // delay before a write to a full disk is repeated
)

// writeDisk makes effects durable, up to maxSaveBatch queued ones with one call,
// and reports each call to the core loop.
func writeDisk(ctx context.Context, options Options, persists <-chan consensus.Persist, events chan<- consensus.Event) error {
	for {
		var batch []consensus.Persist
		select {
		case <-ctx.Done():
			return ctx.Err()
		case first := <-persists:
			batch = append(batch, first)
		}
		for len(batch) < maxSaveBatch && len(persists) > 0 {
			batch = append(batch, <-persists)
		}
		if err := save(ctx, options, batch, events); err != nil {
			return err
		}
		synced := consensus.Synced{Sequence: batch[len(batch)-1].Sequence}
		if err := sendEvent(ctx, events, synced); err != nil {
			return err
		}
	}
}

// save retries a write while the disk is full.
func save(ctx context.Context, options Options, batch []consensus.Persist, events chan<- consensus.Event) error {
	for {
		err := options.Storage.Save(batch)
		if err == nil {
			return nil
		}
		if !errors.Is(err, consensus.ErrDiskFull) {
			return errors.Annotate(err, "write disk")
		}
		options.reportError(err)
		if err := sendEvent(ctx, events, consensus.DiskStalled{}); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(fullDiskRetry):
		}
	}
}

func sendEvent(ctx context.Context, events chan<- consensus.Event, event consensus.Event) error {
	select {
	case events <- event:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
