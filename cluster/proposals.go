package cluster

import (
	"context"
	"errors"
	"time"

	jujuerrors "github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"hawthornshore.example/consensus/node"
	"hawthornshore.example/placement"
	"hawthornshore.example/wire"
)

// ErrRefused means that a command has no effect, now or later.
var ErrRefused = errors.New("command has no effect")

// propose appends a command to the log and returns its answer once the leader has
// applied it. After any error but ErrRefused the outcome is unknown.
func (l *logNode) propose(ctx context.Context, command *wire.LogCommand) (*wire.LogAnswer, error) {
	command.ClockUnixMs = time.Now().UnixMilli()
	data, err := proto.Marshal(command)
	if err != nil {
		return nil, jujuerrors.Annotate(ErrRefused, err.Error())
	}
	answer, leader, err := l.proposeLocally(ctx, data)
	if leader != "" {
		answer, err = l.forwardProposal(ctx, leader, data)
	}
	if err != nil {
		return nil, err
	}
	var decoded wire.LogAnswer
	return &decoded, jujuerrors.Annotate(proto.Unmarshal(answer, &decoded), "decode answer")
}

// proposeLocally appends a command if this coordinator is the leader, or else
// returns the leader to forward it to.
func (l *logNode) proposeLocally(ctx context.Context, data []byte) (answer []byte, leader string, err error) {
	n := l.node.Load()
	if n == nil {
		return nil, "", jujuerrors.Annotate(ErrRefused, "data folder is not open")
	}
	answer, err = n.Propose(ctx, data)
	var notLeader *node.NotLeaderError
	switch {
	case err == nil:
		return answer, "", nil
	case errors.Is(err, node.ErrOutcomeUnknown):
		return nil, "", jujuerrors.Annotate(err, "propose")
	case errors.As(err, &notLeader) && notLeader.Leader != "":
		return nil, notLeader.Leader, nil
	}
	return nil, "", jujuerrors.Annotate(ErrRefused, err.Error())
}

// forwardProposal forwards a command to the leader.
func (l *logNode) forwardProposal(ctx context.Context, leader string, data []byte) ([]byte, error) {
	reply, err := l.coordinator.mesh.Call(ctx, leader, &wire.Envelope{Body: &wire.Envelope_LogProposal{
		LogProposal: &wire.LogProposal{Command: data},
	}})
	switch {
	case errors.Is(err, wire.ErrNoLink):
		return nil, jujuerrors.Annotate(ErrRefused, err.Error())
	case err != nil:
		return nil, jujuerrors.Annotate(err, "forward command")
	case reply.GetLogProposed().GetRefused():
		return nil, jujuerrors.Annotatef(ErrRefused, "leader %s", leader)
	}
	return reply.GetLogProposed().GetAnswer(), nil
}

// handleProposal proposes a command that another coordinator has forwarded.
func (l *logNode) handleProposal(ctx context.Context, command []byte) (*wire.LogProposed, error) {
	ctx, cancel := context.WithTimeout(ctx, logOperationTimeout)
	defer cancel()
	answer, leader, err := l.proposeLocally(ctx, command)
	if leader != "" || errors.Is(err, ErrRefused) {
		return &wire.LogProposed{Refused: true}, nil
	}
	return &wire.LogProposed{Answer: answer}, err
}

// readBarrier returns once this coordinator has applied every command that was
// acknowledged before the call.
func (l *logNode) readBarrier(ctx context.Context) error {
	startedAt := boottimeNow()
	err := l.readToEnd(ctx, startedAt)
	if err == nil {
		l.catchUp.confirm(startedAt)
	}
	return err
}

func (l *logNode) readToEnd(ctx context.Context, startedAt time.Duration) error {
	n := l.node.Load()
	if n == nil {
		return jujuerrors.Annotate(ErrNoQuorum, "data folder is not open")
	}
	leader, err := l.redirect(n.ReadBarrier(ctx), false)
	if leader == "" {
		return err
	}
	reply, err := l.coordinator.mesh.Call(ctx, leader, &wire.Envelope{Body: &wire.Envelope_LogReadRequest{
		LogReadRequest: &wire.LogReadRequest{},
	}})
	if err != nil {
		return jujuerrors.Annotate(err, "read the leader's applied index")
	}
	if l.coordinator.evacuations.leaderAnswered(startedAt, reply.GetLogReadReply().GetEvacuations()) {
		l.coordinator.loop.push(placement.Tick{}) // wakes the loop, which passes the set to the core
	}
	return l.awaitApplied(ctx, reply.GetLogReadReply().GetIndex())
}

// readIndex returns the leader's applied index and evacuations after a read barrier.
func (l *logNode) readIndex(ctx context.Context) (*wire.LogReadReply, error) {
	n := l.node.Load()
	if n == nil {
		return nil, jujuerrors.Annotate(ErrNoQuorum, "data folder is not open")
	}
	if err := n.ReadBarrier(ctx); err != nil {
		return nil, jujuerrors.Annotate(err, "read barrier")
	}
	return &wire.LogReadReply{Index: l.progress.applied(), Evacuations: l.store.leaderEvacuations()}, nil
}

// awaitApplied returns once this coordinator has applied the log up to an index.
func (l *logNode) awaitApplied(ctx context.Context, index uint64) error {
	for {
		applied, raised := l.progress.watch()
		if applied >= index {
			return nil
		}
		select {
		case <-raised:
		case <-ctx.Done():
			return jujuerrors.Annotatef(ctx.Err(), "wait for applied index %d", index)
		}
	}
}
