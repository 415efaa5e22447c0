package cluster

import (
	"context"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"hawthornshore.example/consensus"
	"hawthornshore.example/placement"
	"hawthornshore.example/wire"
)

// recordCancel makes the cancellation of a job that is not stored known to the
// coordinators: to those that are linked at once, to the others by the log. Without an
// error each linked coordinator remembers it, and a majority has it on disk.
func (c *Coordinator) recordCancel(ctx context.Context, id string) error {
	var group errgroup.Group // one failure must not keep the others from being told
	group.Go(func() error {
		_, err := c.logNode.propose(ctx, &wire.LogCommand{Jobs: []*wire.JobCommand{{
			Body: &wire.JobCommand_Cancel{Cancel: &wire.JobCancel{JobId: id, NotStored: true}},
		}}})
		return errors.Annotate(err, "record cancellation")
	})
	for _, peer := range c.coordinators() {
		group.Go(func() error { return c.notifyCancelled(ctx, peer, id) })
	}
	err := group.Wait()
	c.options.RequestLogger.Info().Str("event", "job_cancel_recorded").Str("job", id).Err(err).Send()
	return err
}

// notifyCancelled returns once a coordinator remembers a cancelled job. A coordinator
// without a link gets it with its next one.
func (c *Coordinator) notifyCancelled(ctx context.Context, peer, id string) error {
	_, err := c.mesh.Call(ctx, peer, &wire.Envelope{Body: &wire.Envelope_JobQuestion{
		JobQuestion: &wire.JobQuestion{JobId: id, Cancel: true, Cancelled: true},
	}})
	var remote *wire.RemoteError
	if err == nil || errors.As(err, &remote) || !c.mesh.Linked(peer) {
		return nil
	}
	return errors.Annotatef(err, "notify %s of a cancellation", peer)
}

// rememberCancelled makes the core remember a job that another coordinator has
// cancelled.
func (c *Coordinator) rememberCancelled(ctx context.Context, id string) error {
	return c.loop.do(ctx, func(now time.Duration) { c.loop.core.Step(now, placement.Cancel{JobID: id}) })
}

// maxCancelledSent bounds the cancelled jobs in one message, to about 20 kB.
const maxCancelledSent = 1000

// sendCancelled sends the cancelled jobs that the core remembers to a coordinator with a
// new link: it may have missed them, and the log may reach it later.
func (l *placementLoop) sendCancelled(peer string) {
	ids := l.core.CancelledJobs()
	for len(ids) > 0 {
		count := min(len(ids), maxCancelledSent)
		l.coordinator.send(peer, &wire.Envelope{Body: &wire.Envelope_CancelledJobs{
			CancelledJobs: &wire.CancelledJobs{JobIds: ids[:count]},
		}})
		ids = ids[count:]
	}
}

// stepCancelled steps the core with the cancelled jobs that the log has got.
func (l *placementLoop) stepCancelled(now time.Duration) {
	for _, id := range l.coordinator.logNode.store.takeCancelled() {
		l.core.Step(now, placement.Cancel{JobID: id})
	}
}

// takeCancelled returns the cancelled jobs that are not stored and that the log has got
// since the last call.
func (s *stateStore) takeCancelled() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	ids := s.cancelled
	s.cancelled = nil
	return ids
}

// noteCancelled keeps the cancelled jobs of a command for takeCancelled. The caller
// holds the lock.
func (s *stateStore) noteCancelled(commands []*wire.JobCommand) {
	for _, command := range commands {
		if cancel := command.GetCancel(); cancel.GetNotStored() {
			s.cancelled = append(s.cancelled, cancel.GetJobId())
		}
	}
}

// noteLogged keeps the cancelled jobs in the entries on disk for takeCancelled. They may
// be applied only after the next election, and repeats arrive before; a cancellation that
// was not acknowledged does no harm.
func (s *stateStore) noteLogged(entries []*consensus.Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, entry := range entries {
		var command wire.LogCommand
		if entry.Kind == consensus.EntryKind_ENTRY_KIND_COMMAND && proto.Unmarshal(entry.Data, &command) == nil {
			s.noteCancelled(command.GetJobs())
		}
	}
}
