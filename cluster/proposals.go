package cluster

import (
	"context"
	"errors"
	"time"

	jujuerrors "github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"hawthornshore.example/consensus/node"
	"hawthornshore.example/wire"
)

// ErrRefused means that a command has no effect, now or later.
var ErrRefused = errors.New("command was not taken into the log")

// propose appends a command to the log and returns its answer once it is in
// force at the leader. An error that is not ErrRefused leaves the outcome open.
func (v *voter) propose(ctx context.Context, command *wire.LogCommand) (*wire.LogAnswer, error) {
	command.ClockUnixMs = time.Now().UnixMilli()
	data, err := proto.Marshal(command)
	if err != nil {
		return nil, jujuerrors.Annotate(ErrRefused, err.Error())
	}
	answer, leader, err := v.proposeHere(ctx, data)
	if leader != "" {
		answer, err = v.proposeAt(ctx, leader, data)
	}
	if err != nil {
		return nil, err
	}
	var decoded wire.LogAnswer
	return &decoded, jujuerrors.Annotate(proto.Unmarshal(answer, &decoded), "read answer")
}

// proposeHere appends a command if this coordinator leads, or else returns the
// leader to ask.
func (v *voter) proposeHere(ctx context.Context, data []byte) (answer []byte, leader string, err error) {
	member := v.node.Load()
	if member == nil {
		return nil, "", jujuerrors.Annotate(ErrRefused, "data folder is not open")
	}
	answer, err = member.Propose(ctx, data)
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

// proposeAt sends a command to the leader.
func (v *voter) proposeAt(ctx context.Context, leader string, data []byte) ([]byte, error) {
	reply, err := v.coordinator.mesh.Call(ctx, leader, &wire.Envelope{Body: &wire.Envelope_LogProposal{
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

// proposed answers a command that another coordinator has sent to the leader.
func (v *voter) proposed(ctx context.Context, command []byte) (*wire.LogProposed, error) {
	ctx, cancel := context.WithTimeout(ctx, documentTimeout)
	defer cancel()
	answer, leader, err := v.proposeHere(ctx, command)
	if leader != "" || errors.Is(err, ErrRefused) {
		return &wire.LogProposed{Refused: true}, nil
	}
	return &wire.LogProposed{Answer: answer}, err
}

// confirm returns once this coordinator has applied all that was acknowledged
// before the call.
func (v *voter) confirm(ctx context.Context) error {
	member := v.node.Load()
	if member == nil {
		return jujuerrors.Annotate(ErrNoQuorum, "open data folder")
	}
	leader, err := v.elsewhere(member.ReadBarrier(ctx), false)
	if leader == "" {
		return err
	}
	reply, err := v.coordinator.mesh.Call(ctx, leader, &wire.Envelope{Body: &wire.Envelope_LogReadRequest{
		LogReadRequest: &wire.LogReadRequest{},
	}})
	if err != nil {
		return jujuerrors.Annotate(err, "ask the leader how far the log is")
	}
	return v.awaitApplied(ctx, reply.GetLogReadReply().GetIndex())
}

// readIndex returns how far the leader has applied the log after a barrier.
func (v *voter) readIndex(ctx context.Context) (*wire.LogReadReply, error) {
	member := v.node.Load()
	if member == nil {
		return nil, jujuerrors.Annotate(ErrNoQuorum, "open data folder")
	}
	if err := member.ReadBarrier(ctx); err != nil {
		return nil, jujuerrors.Annotate(err, "read barrier")
	}
	return &wire.LogReadReply{Index: v.progress.reached()}, nil
}

// awaitApplied returns once the log is applied here up to an index.
func (v *voter) awaitApplied(ctx context.Context, index uint64) error {
	for {
		reached, more := v.progress.watch()
		if reached >= index {
			return nil
		}
		select {
		case <-more:
		case <-ctx.Done():
			return jujuerrors.Annotatef(ctx.Err(), "apply the log up to %d", index)
		}
	}
}
