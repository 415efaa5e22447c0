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
	// pullQueueSize is the capacity of the queue of peers to pull the state from; a
	// peer that does not fit is queued again at its next heartbeat.
	pullQueueSize = 64
	// pullTimeout bounds one state request to a peer.
	pullTimeout = 2 * time.Second
)

// ErrNoVoter means that no voter could be reached. Nothing was proposed, or the
// outcome of the proposal is unknown if an earlier voter failed to reply.
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
	Voters     []string // names of all voters, those of the local data centre first
	// SetAsideDamaged moves a damaged log aside at startup; otherwise startup
	// fails.
	SetAsideDamaged bool
	InitialConfig   structs.SystemConfig
	Mesh            Mesh
	Logger          zerolog.Logger
	// OnState is called with each newer state, one at a time.
	OnState func(State)
}

// Control replicates the system state on one instance.
type Control struct {
	options   Options
	cache     stateCache
	voter     *voter // nil if this instance is not a voter
	pullQueue *ring.Ring[string]
}

// New returns a Control; Start and Run start it.
func New(options Options) *Control {
	c := &Control{
		options:   options,
		pullQueue: ring.New[string](pullQueueSize),
	}
	if options.DataFolder != "" {
		c.voter = &voter{control: c, store: sysstate.NewStore(), applied: make(chan struct{}, 1)}
	}
	return c
}

// Start opens the data folder and starts the voter, if there is one. Messages
// are processed from then on.
func (c *Control) Start(ctx context.Context) error {
	if c.voter == nil {
		return nil
	}
	return c.voter.start(ctx)
}

// Run runs the background loops until the context of Start ends.
func (c *Control) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return c.pullLoop(ctx) })
	if c.voter != nil {
		group.Go(c.voter.run)
		group.Go(func() error { return c.voter.publishLoop(ctx) })
		group.Go(func() error { return c.voter.leaderLoop(ctx) })
		group.Go(func() error { return c.voter.minVersionLoop(ctx) })
	}
	return group.Wait()
}

// State returns the newest known state.
func (c *Control) State() State { return c.cache.current() }

// updateState stores a newer state and calls OnState.
func (c *Control) updateState(state State) {
	if c.cache.update(state) {
		c.options.OnState(state)
	}
}

// ObserveVersion pulls the state from a peer that has a newer version.
func (c *Control) ObserveVersion(peer string, version uint64) {
	if c.voter != nil && !c.voter.minVersionKnown.Load() {
		return // the peer may be behind what this voter published before its restart
	}
	state := c.cache.current()
	if version > state.Version() {
		c.Pull(peer)
	}
}

// Pull queues a state request to a peer.
func (c *Control) Pull(peer string) {
	_ = c.pullQueue.Push(peer) // a full queue has other peers to pull from
}

// pullLoop requests newer states from peers, one at a time.
func (c *Control) pullLoop(ctx context.Context) error {
	var peers []string
	for {
		select {
		case <-c.pullQueue.Ready():
		case <-ctx.Done():
			return ctx.Err()
		}
		peers = c.pullQueue.PopAll(peers[:0])
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
	request := &wire.Envelope{Body: &wire.Envelope_StateRequest{StateRequest: c.cache.request()}}
	reply, err := c.options.Mesh.Call(ctx, peer, request)
	if err != nil {
		return err
	}
	state, err := c.cache.withReply(reply.GetStateReply())
	if err != nil {
		return err
	}
	c.updateState(state)
	return nil
}

// HandleConsensus passes a Raft message to the voter.
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

// HandleCall serves the requests of peers for the system state. It returns nil
// without an error for any other request.
func (c *Control) HandleCall(ctx context.Context, request *wire.Envelope) (*wire.Envelope, error) {
	switch body := request.GetBody().(type) {
	case *wire.Envelope_StateRequest:
		reply, err := c.cache.reply(body.StateRequest)
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

// TransferLeadership transfers the leadership to another voter if this instance
// is the leader.
func (c *Control) TransferLeadership(ctx context.Context) error {
	status, ok := c.Status()
	if !ok || status.Role != consensus.Leader || len(status.Voters) < 2 {
		return nil
	}
	return c.voter.node.TransferLeadership(ctx, "")
}

// IsVoter reports whether an instance is configured as a voter.
func (c *Control) IsVoter(instance string) bool { return slices.Contains(c.options.Voters, instance) }

// History returns the applied configuration changes, newest first, from this
// instance or a reachable voter.
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
