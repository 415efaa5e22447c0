package control

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"hawthornshore.example/consensus"
	"hawthornshore.example/consensus/node"
	"hawthornshore.example/consensus/sysstate"
	"hawthornshore.example/operatorapi"
	"hawthornshore.example/ring"
	"hawthornshore.example/structs"
	"hawthornshore.example/wire"
)

const (
	// pullRingSize is the number of peers that may wait to be asked for their
	// state; a peer that does not fit is seen again at its next heartbeat.
	pullRingSize = 64
	// pullTimeout bounds one question for a peer's state.
	pullTimeout = 2 * time.Second
)

// ErrNoVoter means that no voter could be reached. Nothing was proposed, or the
// outcome of the proposal is unknown if an earlier voter failed to answer.
var ErrNoVoter = errors.New("no voter could be reached")

// Mesh sends messages to other instances.
type Mesh interface {
	Send(peer string, message *wire.Envelope) error
	Call(ctx context.Context, peer string, request *wire.Envelope) (*wire.Envelope, error)
}

// Options configure a Control.
type Options struct {
	Name       string
	DataFolder string   // empty if this instance is not a voter
	Voters     []string // names of all voters, those nearby first
	// SetAsideDamaged moves a damaged log out of the way instead of refusing to
	// start.
	SetAsideDamaged bool
	InitialConfig   structs.SystemConfig
	Mesh            Mesh
	Logger          zerolog.Logger
	// OnState is called with each newer state, one at a time.
	OnState func(State)
}

// Control is an instance's part in the system's own state.
type Control struct {
	options Options
	keeper  keeper
	voter   *voter // nil if this instance is not a voter
	pulls   *ring.Ring[string]
}

// New returns a Control that starts work in Run.
func New(options Options) *Control {
	c := &Control{
		options: options,
		pulls:   ring.New[string](pullRingSize),
	}
	if options.DataFolder != "" {
		c.voter = &voter{control: c, store: sysstate.NewStore(), applied: make(chan struct{}, 1)}
	}
	return c
}

// Start opens the data folder and starts the voter, if there is one. Messages
// may arrive from then on.
func (c *Control) Start(ctx context.Context) error {
	if c.voter == nil {
		return nil
	}
	return c.voter.start(ctx)
}

// Run works until the context of Start ends.
func (c *Control) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return c.pullLoop(ctx) })
	if c.voter != nil {
		group.Go(c.voter.run)
		group.Go(func() error { return c.voter.publishLoop(ctx) })
		group.Go(func() error { return c.voter.watchLoop(ctx) })
		group.Go(func() error { return c.voter.confirmLoop(ctx) })
	}
	return group.Wait()
}

// State returns the newest known state.
func (c *Control) State() State { return c.keeper.current() }

// adopt takes a newer state and reports it.
func (c *Control) adopt(state State) {
	if c.keeper.adopt(state) {
		c.options.OnState(state)
	}
}

// ObserveVersion says that a peer knows a state version.
func (c *Control) ObserveVersion(peer string, version uint64) {
	if c.voter != nil && !c.voter.confirmed.Load() {
		return // the peer may lag behind what this voter reported before its start
	}
	state := c.keeper.current()
	if version > state.Version() {
		c.Pull(peer)
	}
}

// Pull asks a peer for its state soon.
func (c *Control) Pull(peer string) {
	_ = c.pulls.Push(peer) // a full ring has others to ask
}

// pullLoop asks peers for newer states, one at a time.
func (c *Control) pullLoop(ctx context.Context) error {
	var peers []string
	for {
		select {
		case <-c.pulls.Ready():
		case <-ctx.Done():
			return ctx.Err()
		}
		peers = c.pulls.PopAll(peers[:0])
		slices.Sort(peers)
		for _, peer := range slices.Compact(peers) {
			if err := c.pullFrom(ctx, peer); err != nil && ctx.Err() == nil {
				c.options.Logger.Warn().Str("event", "state_pull_failed").Str("step", "pull state").
					Str("peer", peer).Err(err).Send()
			}
		}
	}
}

func (c *Control) pullFrom(ctx context.Context, peer string) error {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	request := &wire.Envelope{Body: &wire.Envelope_StateRequest{StateRequest: c.keeper.request()}}
	reply, err := c.options.Mesh.Call(ctx, peer, request)
	if err != nil {
		return err
	}
	state, err := c.keeper.merge(reply.GetStateReply())
	if err != nil {
		return err
	}
	c.adopt(state)
	return nil
}

// HandleConsensus takes a message of the replicated log.
func (c *Control) HandleConsensus(peer string, message *wire.ConsensusMessage) {
	if c.voter == nil || c.voter.node == nil {
		return
	}
	data, err := unpack(message)
	if err != nil {
		c.voter.logError(&structs.StepError{Step: "receive", Peer: peer, Err: err})
		return
	}
	c.voter.node.Receive(peer, data)
}

// HandleCall answers the requests of peers that concern the system state; nil
// without an error means that the request is another one.
func (c *Control) HandleCall(ctx context.Context, request *wire.Envelope) (*wire.Envelope, error) {
	switch body := request.GetBody().(type) {
	case *wire.Envelope_StateRequest:
		reply, err := c.keeper.reply(body.StateRequest)
		return &wire.Envelope{Body: &wire.Envelope_StateReply{StateReply: reply}}, err
	case *wire.Envelope_Proposal:
		answer, err := c.serveProposal(ctx, body.Proposal)
		return &wire.Envelope{Body: &wire.Envelope_ProposalAnswer{ProposalAnswer: &wire.ProposalAnswer{Answer: answer}}}, err
	case *wire.Envelope_HistoryRequest:
		history, err := c.localHistory()
		return &wire.Envelope{Body: &wire.Envelope_HistoryReply{HistoryReply: &wire.HistoryReply{History: history}}}, err
	}
	return nil, nil
}

// Status returns the voter's status; false if this instance is not a voter.
func (c *Control) Status() (node.Status, bool) {
	if c.voter == nil || c.voter.node == nil {
		return node.Status{}, false
	}
	return c.voter.node.Status(), true
}

// TransferLeadership hands the leadership of the voters to another one, if this instance
// has it.
func (c *Control) TransferLeadership(ctx context.Context) error {
	status, ok := c.Status()
	if !ok || status.Role != consensus.Leader || len(status.Voters) < 2 {
		return nil
	}
	return c.voter.node.TransferLeadership(ctx, "")
}

// IsVoter reports whether an instance is meant to be a voter.
func (c *Control) IsVoter(instance string) bool { return slices.Contains(c.options.Voters, instance) }

// History returns the applied configuration changes, newest first, from this
// instance or a voter that can be reached.
func (c *Control) History(ctx context.Context) (operatorapi.History, error) {
	var history operatorapi.History
	if c.voter != nil {
		data, err := c.localHistory()
		if err != nil {
			return history, err
		}
		return history, json.Unmarshal(data, &history)
	}
	request := &wire.Envelope{Body: &wire.Envelope_HistoryRequest{HistoryRequest: &wire.HistoryRequest{}}}
	failures := []error{ErrNoVoter}
	for _, peer := range c.options.Voters {
		reply, err := c.options.Mesh.Call(ctx, peer, request)
		if err != nil {
			failures = append(failures, err)
			continue
		}
		return history, json.Unmarshal(reply.GetHistoryReply().GetHistory(), &history)
	}
	return history, errors.Join(failures...)
}

func (c *Control) localHistory() ([]byte, error) {
	if c.voter == nil {
		return nil, fmt.Errorf("instance %s is not a voter", c.options.Name)
	}
	var history operatorapi.History
	for _, change := range slices.Backward(c.voter.store.History()) {
		history.Revisions = append(history.Revisions, operatorapi.HistoryEntry{
			Revision: revisionOf(change),
			Changes:  changesOf(change),
		})
	}
	return json.Marshal(history)
}
