package control

import (
	"context"
	"encoding/json"
	"errors"

	jujuerrors "github.com/juju/errors"

	"hawthornshore.example/claims/lease"
	"hawthornshore.example/consensus/node"
	"hawthornshore.example/consensus/sysstate"
	"hawthornshore.example/operatorapi"
	"hawthornshore.example/structs"
	"hawthornshore.example/wire"
)

// errNotLeader means that a proposal was forwarded to a voter that is not the leader.
var errNotLeader = errors.New("voter is not the leader")

// ProposeLease proposes a lease command of a data centre.
func (c *Control) ProposeLease(ctx context.Context, dataCentre string, command *lease.Command) (lease.Result, error) {
	answer, err := c.propose(ctx, &sysstate.Command{
		Body: &sysstate.Command_Lease{Lease: sysstate.CommandToProto(dataCentre, command)},
	})
	if err != nil {
		return lease.Result{}, err
	}
	if answer.GetLease() == nil {
		return lease.Result{}, jujuerrors.Errorf("lease command rejected: %s", answer.GetMessage())
	}
	return sysstate.ResultFromProto(answer.GetLease()), nil
}

// Apply proposes an operator's configuration. Repeating it with the same
// operation ID returns the first answer.
func (c *Control) Apply(ctx context.Context, request *operatorapi.ApplyRequest) (*sysstate.Answer, error) {
	config := structs.SystemConfig{Classes: request.Classes, Tenants: request.Tenants}
	encoded, err := json.Marshal(config)
	if err != nil {
		return nil, jujuerrors.Annotate(err, "encode configuration")
	}
	return c.propose(ctx, &sysstate.Command{
		OperationId: request.OperationID,
		Body: &sysstate.Command_ApplyConfig{ApplyConfig: &sysstate.ApplyConfig{
			BaseVersion: request.ExpectedVersion,
			Config:      encoded,
			Author:      request.Operator,
		}},
	})
}

// Conflict describes the applied change that a rejected one conflicts with.
func (c *Control) Conflict(answer *sysstate.Answer) *operatorapi.Conflict {
	winner := answer.GetChange()
	return &operatorapi.Conflict{Winner: revisionOf(winner), Changes: changesOf(winner)}
}

// propose sends a command to the leader, through another voter if necessary.
func (c *Control) propose(ctx context.Context, command *sysstate.Command) (*sysstate.Answer, error) {
	data, err := sysstate.EncodeCommand(command)
	if err != nil {
		return nil, jujuerrors.Annotate(err, "encode command")
	}
	if c.voter != nil {
		answer, err := c.proposeLocal(ctx, &wire.Proposal{Command: data})
		if err == nil {
			return sysstate.DecodeAnswer(answer)
		}
		if !errors.Is(err, node.ErrStopped) {
			return nil, err
		}
	}
	failures := []error{ErrNoVoter}
	for _, peer := range c.options.Voters {
		if peer == c.options.Name {
			continue
		}
		answer, err := c.proposeTo(ctx, peer, &wire.Proposal{Command: data})
		if err != nil {
			failures = append(failures, err)
			continue
		}
		return sysstate.DecodeAnswer(answer)
	}
	return nil, errors.Join(failures...)
}

func (c *Control) proposeTo(ctx context.Context, peer string, proposal *wire.Proposal) ([]byte, error) {
	reply, err := c.options.Mesh.Call(ctx, peer, &wire.Envelope{Body: &wire.Envelope_Proposal{Proposal: proposal}})
	if err != nil {
		return nil, err
	}
	return reply.GetProposalAnswer().GetAnswer(), nil
}

func (c *Control) serveProposal(ctx context.Context, proposal *wire.Proposal) ([]byte, error) {
	if c.voter == nil {
		return nil, jujuerrors.Errorf("instance %s is not a voter", c.options.Name)
	}
	return c.proposeLocal(ctx, proposal)
}

// proposeLocal proposes to the local voter, or else to the leader.
func (c *Control) proposeLocal(ctx context.Context, proposal *wire.Proposal) ([]byte, error) {
	answer, err := c.voter.node.Propose(ctx, proposal.GetCommand())
	var notLeader *node.NotLeaderError
	if !errors.As(err, &notLeader) {
		return answer, jujuerrors.Annotate(err, "propose")
	}
	if notLeader.Leader == "" || proposal.GetForwarded() {
		return nil, jujuerrors.Annotatef(errNotLeader, "propose at %s", c.options.Name)
	}
	return c.proposeTo(ctx, notLeader.Leader, &wire.Proposal{Command: proposal.GetCommand(), Forwarded: true})
}
