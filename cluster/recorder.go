package cluster

import (
	"context"
	"sync"
	"time"

	"hawthornshore.example/placement"
	"hawthornshore.example/wire"
)

const (
	// recordBatch bounds the commands of one log entry.
	recordBatch = 512
	// recordRetry is the pause after commands could not be recorded.
	recordRetry = 50 * time.Millisecond
)

// record is a command that has to get into the log, however long it takes.
type record struct {
	command *wire.JobCommand
	job     string
	done    func(wire.CommandVerdict) // nil: nobody waits for it
}

// recorder puts ends and given-up runs into the log, in batches: one entry is on
// its way while the next one gathers.
type recorder struct {
	coordinator *Coordinator

	mu      sync.Mutex
	waiting []record
	wake    chan struct{}
}

func newRecorder(c *Coordinator) *recorder {
	return &recorder{coordinator: c, wake: make(chan struct{}, 1)}
}

func (r *recorder) add(entry record) {
	r.mu.Lock()
	r.waiting = append(r.waiting, entry)
	r.mu.Unlock()
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// end records the end of a run, and tells the core when that is done.
func (r *recorder) end(e *placement.RecordEnd) {
	r.add(record{
		command: &wire.JobCommand{Body: &wire.JobCommand_End{
			End: &wire.RunEnd{Task: e.Task, Run: int32(e.Run), Done: e.Done},
		}},
		job: placement.JobID(e.Task),
		done: func(verdict wire.CommandVerdict) {
			r.coordinator.loop.push(placement.EndRecorded{
				Target: e.Target, BootUnixMS: e.BootUnixMS, Number: e.Number,
				GivenUp: verdict == wire.CommandVerdict_COMMAND_VERDICT_GIVEN_UP,
			})
		},
	})
}

// giveUp records that a run does not count any more. The core learns of it from
// the log.
func (r *recorder) giveUp(e *placement.GiveUpRun) {
	r.add(record{
		command: &wire.JobCommand{Body: &wire.JobCommand_GiveUp{
			GiveUp: &wire.RunGiveUp{Task: e.Task, Run: int32(e.Run)},
		}},
		job: placement.JobID(e.Task),
	})
}

// run works until the context ends.
func (r *recorder) run(ctx context.Context) error {
	for {
		select {
		case <-r.wake:
		case <-ctx.Done():
			return ctx.Err()
		}
		for batch := r.take(); len(batch) > 0; batch = r.take() {
			if err := r.write(ctx, batch); err != nil {
				return err
			}
		}
	}
}

func (r *recorder) take() []record {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := min(len(r.waiting), recordBatch)
	batch := r.waiting[:count:count]
	r.waiting = r.waiting[count:]
	return batch
}

// write records a batch, trying again until it is done.
func (r *recorder) write(ctx context.Context, batch []record) error {
	failures := 0
	for len(batch) > 0 {
		rest, err := r.writeOnce(ctx, batch)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			if failures == 0 {
				r.coordinator.options.Logger.Warn().Str("event", "record_delayed").Int("commands", len(rest)).Err(err).Send()
			}
			failures++
			select {
			case <-time.After(recordRetry):
			case <-ctx.Done():
				return ctx.Err()
			}
		}
		batch = rest
	}
	return nil
}

// writeOnce returns what is left of a batch. Ends of jobs that are not stored
// need no entry; the log has to be read to its end to tell them.
func (r *recorder) writeOnce(ctx context.Context, batch []record) ([]record, error) {
	ctx, cancel := context.WithTimeout(ctx, documentTimeout)
	defer cancel()
	stored, others := r.split(batch)
	if len(others) > 0 {
		if err := r.coordinator.voter.confirm(ctx); err != nil {
			return batch, err
		}
		stored, others = r.split(batch)
	}
	for i := range others {
		others[i].settle(wire.CommandVerdict_COMMAND_VERDICT_UNKNOWN_JOB)
	}
	if len(stored) == 0 {
		return nil, nil
	}
	command := &wire.LogCommand{}
	for i := range stored {
		command.Jobs = append(command.Jobs, stored[i].command)
	}
	answer, err := r.coordinator.voter.propose(ctx, command)
	if err != nil {
		return stored, err
	}
	for i := range stored {
		stored[i].settle(answer.GetVerdicts()[i])
	}
	return nil, nil
}

func (r *recorder) split(batch []record) (stored, others []record) {
	for _, entry := range batch {
		if r.coordinator.voter.store.job(entry.job) == wire.StoredState_STORED_STATE_NONE {
			others = append(others, entry)
		} else {
			stored = append(stored, entry)
		}
	}
	return stored, others
}

func (r *record) settle(verdict wire.CommandVerdict) {
	if r.done != nil {
		r.done(verdict)
	}
}
