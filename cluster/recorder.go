package cluster

import (
	"context"
	"sync"
	"time"

	"hawthornshore.example/placement"
	"hawthornshore.example/wire"
)

const (
	// maxBatchCommands bounds the commands of one log entry.
	maxBatchCommands = 512
	// recordRetryDelay is the pause after a failed attempt to write a batch.
	recordRetryDelay = 50 * time.Millisecond
)

// queuedCommand is a command that is proposed until it is in the log.
type queuedCommand struct {
	command    *wire.JobCommand
	job        string
	onRecorded func(wire.CommandVerdict) // may be nil
}

// recorder appends the ends of runs and given-up runs to the log in batches: the
// next batch is collected while one entry is in flight.
type recorder struct {
	coordinator *Coordinator

	mu    sync.Mutex
	queue []queuedCommand
	wake  chan struct{}
}

func newRecorder(c *Coordinator) *recorder {
	return &recorder{coordinator: c, wake: make(chan struct{}, 1)}
}

func (r *recorder) enqueue(entry queuedCommand) {
	r.mu.Lock()
	r.queue = append(r.queue, entry)
	r.mu.Unlock()
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// recordEnd records the end of a run and then pushes EndRecorded to the core.
func (r *recorder) recordEnd(e *placement.RecordEnd) {
	r.enqueue(queuedCommand{
		command: &wire.JobCommand{Body: &wire.JobCommand_End{
			End: &wire.RunEnd{Task: e.Task, Run: int64(e.Run), Done: e.Done},
		}},
		job: placement.JobID(e.Task),
		onRecorded: func(verdict wire.CommandVerdict) {
			r.coordinator.loop.push(placement.EndRecorded{
				Target: e.Target, BootUnixMS: e.BootUnixMS, Number: e.Number,
				GivenUp: verdict == wire.CommandVerdict_COMMAND_VERDICT_GIVEN_UP,
			})
		},
	})
}

// recordGiveUp records that a run is given up. The core receives this from the
// log.
func (r *recorder) recordGiveUp(e *placement.GiveUpRun) {
	r.enqueue(queuedCommand{
		command: &wire.JobCommand{Body: &wire.JobCommand_GiveUp{
			GiveUp: &wire.RunGiveUp{Task: e.Task, Run: int64(e.Run), Loss: runLossToWire(e.Loss)},
		}},
		job: placement.JobID(e.Task),
	})
}

// recordLoss records that a target has crashed under a run, or that it has not.
func (r *recorder) recordLoss(e *placement.RecordLoss) {
	r.enqueue(queuedCommand{
		command: &wire.JobCommand{Body: &wire.JobCommand_Loss{
			Loss: &wire.TaskLoss{Task: e.Task, Loss: runLossToWire(&e.Loss), Cleared: e.Cleared},
		}},
		job: placement.JobID(e.Task),
	})
}

// run writes batches until the context ends.
func (r *recorder) run(ctx context.Context) error {
	for {
		select {
		case <-r.wake:
		case <-ctx.Done():
			return ctx.Err()
		}
		for batch := r.nextBatch(); len(batch) > 0; batch = r.nextBatch() {
			if err := r.write(ctx, batch); err != nil {
				return err
			}
		}
	}
}

func (r *recorder) nextBatch() []queuedCommand {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := min(len(r.queue), maxBatchCommands)
	batch := r.queue[:count:count]
	r.queue = r.queue[count:]
	return batch
}

// write records a batch and retries until it succeeds.
func (r *recorder) write(ctx context.Context, batch []queuedCommand) error {
	failures := 0
	for len(batch) > 0 {
		rest, err := r.writeOnce(ctx, batch)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			if failures == 0 {
				r.coordinator.options.RequestLogger.Warn().Str("event", "record_delayed").Int("commands", len(rest)).Err(err).Send()
			}
			failures++
			select {
			case <-time.After(recordRetryDelay):
			case <-ctx.Done():
				return ctx.Err()
			}
		}
		batch = rest
	}
	return nil
}

// writeOnce tries to record a batch and returns the commands still to be recorded.
// Jobs that are not stored need no entry; a read barrier is needed to identify them.
func (r *recorder) writeOnce(ctx context.Context, batch []queuedCommand) ([]queuedCommand, error) {
	ctx, cancel := context.WithTimeout(ctx, logOperationTimeout)
	defer cancel()
	stored, others := r.splitStored(batch)
	if len(others) > 0 {
		if err := r.coordinator.logNode.readBarrier(ctx); err != nil {
			return batch, err
		}
		stored, others = r.splitStored(batch)
	}
	for i := range others {
		others[i].complete(wire.CommandVerdict_COMMAND_VERDICT_UNKNOWN_JOB)
	}
	if len(stored) == 0 {
		return nil, nil
	}
	command := &wire.LogCommand{}
	for i := range stored {
		command.Jobs = append(command.Jobs, stored[i].command)
	}
	answer, err := r.coordinator.logNode.propose(ctx, command)
	if err != nil {
		return stored, err
	}
	for i := range stored {
		stored[i].complete(answer.GetVerdicts()[i])
	}
	return nil, nil
}

func (r *recorder) splitStored(batch []queuedCommand) (stored, others []queuedCommand) {
	for _, entry := range batch {
		if r.coordinator.logNode.store.jobState(entry.job) == wire.StoredState_STORED_STATE_NONE {
			others = append(others, entry)
		} else {
			stored = append(stored, entry)
		}
	}
	return stored, others
}

func (c *queuedCommand) complete(verdict wire.CommandVerdict) {
	if c.onRecorded != nil {
		c.onRecorded(verdict)
	}
}
