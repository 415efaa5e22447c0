package node

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync/atomic"

	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"hawthornshore.example/consensus"
)

const (
	inboxSize        = 1024 // messages that wait for the core loop; further ones are dropped
	requestQueueSize = 1024 // requests that wait for the core loop; further callers wait
	outboxSize       = 1024 // messages that wait for the sender; further ones are dropped
)

// Node is a running member of the replicated log. Its methods may be called
// from any goroutine.
type Node struct {
	options  Options
	id       string
	inbox    chan *consensus.Message
	requests chan request
	status   atomic.Pointer[Status]
	group    *errgroup.Group
	done     chan struct{} // closed when the node begins to stop
}

// request is an input of the core loop. The loop calls start; reply receives the
// result.
type request struct {
	start func(*loop, consensus.Ref)
	reply chan result
}

type result struct {
	answer []byte
	err    error
}

// Start runs a node until the context ends or an error occurs. On return the
// state machine may not have been restored yet.
func Start(ctx context.Context, options Options) (*Node, error) {
	if err := options.validate(); err != nil {
		return nil, errors.Annotate(err, "start node")
	}
	n := &Node{
		options:  options,
		id:       MemberID(options.Name, options.Incarnation),
		inbox:    make(chan *consensus.Message, inboxSize),
		requests: make(chan request, requestQueueSize),
		done:     make(chan struct{}),
	}
	n.status.Store(&Status{})
	core := options.Core
	core.ID = n.id
	if core.Seed == 0 {
		core.Seed = rand.Uint64()
	}
	n.options.Core = core.WithDefaults()
	n.run(ctx)
	return n, nil
}

func (n *Node) run(ctx context.Context) {
	group, ctx := errgroup.WithContext(ctx)
	n.group = group
	l := newLoop(n)
	group.Go(func() error { return l.run(ctx) })
	group.Go(func() error { return writeDisk(ctx, n.options, l.persistCh, l.writerEvents) })
	group.Go(func() error { return newApplier(n.options, l.applierEvents).run(ctx, l.applyCh) })
	group.Go(func() error { return send(ctx, n.options.Transport, l.outbox) })
	context.AfterFunc(ctx, func() { close(n.done) })
}

// Wait returns once all goroutines have ended. The error is nil if the node
// was stopped by its context.
func (n *Node) Wait() error {
	err := n.group.Wait()
	if errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) {
		return nil
	}
	return err
}

// Receive delivers a message from an instance. A message with another sender is
// dropped, as is any message while the inbox is full.
func (n *Node) Receive(peer string, data []byte) {
	message, err := consensus.Decode(data)
	if err != nil {
		n.options.reportError(errors.Annotatef(err, "decode message peer=%s", peer))
		return
	}
	if InstanceName(message.From) != peer {
		n.options.reportError(errors.Errorf("unexpected message sender %q peer=%s", message.From, peer))
		return
	}
	select {
	case n.inbox <- message:
	default:
	}
}

// Propose appends a command on the leader and returns the state machine's
// answer. An error is a *NotLeaderError, ErrNotCommitted or one of the
// consensus package's errors if the command has no effect; otherwise the
// outcome is unknown.
func (n *Node) Propose(ctx context.Context, command []byte) ([]byte, error) {
	return n.call(ctx, func(l *loop, ref consensus.Ref) {
		l.step(consensus.Propose{Ref: ref, Data: command})
	})
}

// ReadBarrier returns once the state machine of the leader contains every change
// that was acknowledged before the call.
func (n *Node) ReadBarrier(ctx context.Context) error {
	_, err := n.call(ctx, func(l *loop, ref consensus.Ref) {
		l.step(consensus.ReadBarrier{Ref: ref})
	})
	return err
}

// RemoveMember removes the voter or learner of an instance on the leader.
func (n *Node) RemoveMember(ctx context.Context, name string) error {
	_, err := n.call(ctx, func(l *loop, ref consensus.Ref) { l.removeMember(ref, name) })
	return err
}

// TransferLeadership makes the leader transfer leadership to the voter of an
// instance, or to the one with the longest log if name is empty. It returns
// immediately; OnStatus reports the outcome.
func (n *Node) TransferLeadership(ctx context.Context, name string) error {
	_, err := n.call(ctx, func(l *loop, ref consensus.Ref) { l.transferLeadership(ref, name) })
	return err
}

func (n *Node) call(ctx context.Context, start func(*loop, consensus.Ref)) ([]byte, error) {
	reply := make(chan result, 1)
	select {
	case n.requests <- request{start: start, reply: reply}:
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-n.done:
		return nil, ErrStopped
	}
	select {
	case r := <-reply:
		return r.answer, r.err
	case <-ctx.Done():
		return nil, fmt.Errorf("%w: %w", ErrOutcomeUnknown, ctx.Err())
	case <-n.done:
		return nil, ErrOutcomeUnknown
	}
}

// Leader returns the name of the leader, or "" when none is known.
func (n *Node) Leader() string { return n.status.Load().Leader }

// Status returns a description of the node.
func (n *Node) Status() Status { return *n.status.Load() }

func (n *Node) publish(core consensus.Status) {
	status := &Status{
		Role: core.Role, Term: core.Term, Commit: core.Commit, CommittedInTerm: core.CommittedInTerm,
		Voters:   namesOf(core.Members.GetVoters()),
		Learners: namesOf(core.Members.GetLearners()),
		Member:   core.Members.Has(n.id),
	}
	if core.Leader != "" {
		status.Leader = InstanceName(core.Leader)
	}
	n.status.Store(status)
	if n.options.OnStatus != nil {
		n.options.OnStatus(*status)
	}
}

func (o *Options) reportError(err error) {
	if o.OnError != nil {
		o.OnError(err)
	}
}

// memberByName returns the ID of an instance's voter, or else its learner.
func memberByName(members *consensus.Members, name string) string {
	for _, id := range slices.Concat(members.GetVoters(), members.GetLearners()) {
		if InstanceName(id) == name {
			return id
		}
	}
	return ""
}
