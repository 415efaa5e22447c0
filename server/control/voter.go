package control

import (
	"context"
	"encoding/json"
	"errors"
	"sync/atomic"
	"time"

	jujuerrors "github.com/juju/errors"

	"hawthornshore.example/claims/lease"
	"hawthornshore.example/consensus"
	"hawthornshore.example/consensus/node"
	"hawthornshore.example/consensus/sysstate"
	"hawthornshore.example/operatorapi"
	"hawthornshore.example/storage"
	"hawthornshore.example/structs"
	"hawthornshore.example/wire"
)

const (
	// leaderCheckInterval is how often the leader checks for expired leases.
	leaderCheckInterval = 500 * time.Millisecond
	// proposeTimeout bounds one proposal of a voter.
	proposeTimeout = 2 * time.Second
	// minVersionRetryInterval is the delay before the request for the committed
	// version is retried after startup.
	minVersionRetryInterval = 100 * time.Millisecond
	// initialOperationID is the operation ID of the first configuration, so that
	// it is applied once even if several instances propose it.
	initialOperationID = "initial-configuration"
)

// voter runs this instance's member of the Raft group.
type voter struct {
	control  *Control
	disk     *storage.Disk // owned by the node's writer once the node has started
	memberID string
	store    *sysstate.Store
	node     *node.Node
	applied  chan struct{} // signals that entries were applied
	// minVersionKnown is set once minVersion holds the configuration version that
	// was committed when this process started. Older states are not published:
	// this or another instance may have published newer ones.
	minVersionKnown atomic.Bool
	minVersion      atomic.Uint64
	outgoing        deflater // owned by the node's sender
}

// Send implements node.Transport.
func (v *voter) Send(peer string, data []byte) {
	message := &wire.Envelope{Body: &wire.Envelope_Consensus{Consensus: v.outgoing.pack(data)}}
	_ = v.control.options.Mesh.Send(peer, message) // Raft retransmits lost messages
}

// start opens the data folder and starts the node.
func (v *voter) start(ctx context.Context) error {
	folder, err := storage.OpenFolder(v.control.options.DataFolder)
	if err != nil {
		return jujuerrors.Annotate(err, "open data folder")
	}
	disk, persisted, err := v.open(folder)
	if err != nil {
		return jujuerrors.Annotate(err, "open data folder")
	}
	v.disk = disk
	v.memberID = node.MemberID(v.control.options.Name, disk.Incarnation())
	v.store.SetSummarizer(summaryOf)
	v.control.options.Logger.Info().Str("event", "data_folder_opened").
		Str("verdict", disk.OpenResult().String()).Str("disk_incarnation", disk.Incarnation()).Send()
	v.node, err = node.Start(ctx, node.Options{
		Name:             v.control.options.Name,
		Incarnation:      disk.Incarnation(),
		Peers:            v.control.options.Voters,
		DisableBootstrap: disk.OpenResult() == storage.LogLost || disk.OpenResult() == storage.Foreign,
		Persisted:        persisted,
		Storage:          disk,
		Transport:        v,
		StateMachine:     v.store,
		OnApplied:        func(node.Applied) { v.signalApplied() },
		OnStatus:         v.logStatus,
		OnError:          v.logError,
	})
	return jujuerrors.Annotate(err, "start voter")
}

// open opens the folder. A damaged log is set aside if the options allow it; the
// instance then rejoins as a learner.
func (v *voter) open(folder *storage.Folder) (*storage.Disk, consensus.PersistentState, error) {
	options := storage.Options{FS: folder, Instance: v.control.options.Name}
	disk, persisted, err := storage.Open(options)
	var corruption *storage.CorruptionError
	if !v.control.options.SetAsideDamaged || !errors.As(err, &corruption) {
		return disk, persisted, err
	}
	v.control.options.Logger.Warn().Str("event", "data_set_aside").Str("step", "open data folder").Err(err).Send()
	if err := storage.SetAside(folder); err != nil {
		return nil, persisted, err
	}
	return storage.Open(options)
}

// run waits until the node stops and closes the disk. A disk failure stops only
// the voter: the instance continues its jobs and uses the other voters.
func (v *voter) run() error {
	err := v.node.Wait()
	if closeErr := v.disk.Close(); err == nil {
		err = closeErr
	}
	if err != nil && !errors.Is(err, context.Canceled) {
		v.control.options.Logger.Error().Str("event", "voter_stopped").Str("step", "voter").Err(err).Send()
	}
	return nil
}

func (v *voter) signalApplied() {
	select {
	case v.applied <- struct{}{}:
	default:
	}
}

// minVersionLoop requests the committed version from the leader until it replies.
// The durable commit index of this voter may be behind it: the leader reports a
// change before all voters have its commit index.
func (v *voter) minVersionLoop(ctx context.Context) error {
	for {
		version, err := v.committedVersion(ctx)
		if err == nil {
			v.minVersion.Store(version)
			v.minVersionKnown.Store(true)
			v.signalApplied()
			return nil
		}
		select {
		case <-time.After(minVersionRetryInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// committedVersion proposes a command; its answer has the configuration version
// at its position in the log.
func (v *voter) committedVersion(ctx context.Context) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	answer, err := v.control.propose(ctx, &sysstate.Command{Body: &sysstate.Command_MarkVoter{MarkVoter: &sysstate.MarkVoter{
		Instance: v.control.options.Name,
		MemberId: v.memberID,
	}}})
	return answer.GetVersion(), err
}

func (v *voter) logStatus(status node.Status) {
	v.control.options.Logger.Info().Str("event", "voter_status").Str("role", status.Role.String()).
		Uint64("term", status.Term).Str("leader", status.Leader).Send()
}

func (v *voter) logError(err error) {
	v.control.options.Logger.Error().Str("event", "voter_error").Str("step", "voter").Err(err).Send()
}

// publishLoop publishes applied states.
func (v *voter) publishLoop(ctx context.Context) error {
	for {
		select {
		case <-v.applied:
		case <-ctx.Done():
			return ctx.Err()
		}
		state, err := v.state()
		if err != nil {
			return err
		}
		if v.minVersionKnown.Load() && state.Config.Version >= v.minVersion.Load() {
			v.control.updateState(state)
		}
	}
}

func (v *voter) state() (State, error) {
	view, err := v.store.View()
	if err != nil {
		return State{}, jujuerrors.Annotate(err, "read system state")
	}
	state := State{Config: view.Config, Views: view.DataCentres}
	if history := v.store.History(); len(history) > 0 {
		state.Revision = revisionOf(history[len(history)-1])
	}
	return state, nil
}

// leaderLoop runs the duties of the leader: it proposes the initial configuration
// and removes members whose leases have expired.
func (v *voter) leaderLoop(ctx context.Context) error {
	ticker := time.NewTicker(leaderCheckInterval)
	defer ticker.Stop()
	var monitors map[string]*lease.ExpiryMonitor
	var term uint64
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		status := v.node.Status()
		if status.Role != consensus.Leader || !status.CommittedInTerm {
			monitors = nil
			continue
		}
		if monitors == nil || term != status.Term {
			monitors, term = make(map[string]*lease.ExpiryMonitor), status.Term
		}
		v.proposeInitial(ctx)
		v.expireLeases(ctx, monitors)
	}
}

// proposeInitial proposes the configuration that this instance was started with
// if none was ever applied.
func (v *voter) proposeInitial(ctx context.Context) {
	if v.store.Version() > 0 {
		return
	}
	config, err := json.Marshal(v.control.options.InitialConfig)
	if err != nil {
		v.logError(err)
		return
	}
	v.propose(ctx, &sysstate.Command{
		OperationId: initialOperationID,
		Body: &sysstate.Command_ApplyConfig{ApplyConfig: &sysstate.ApplyConfig{
			Config: config,
			Author: v.control.options.Name,
		}},
	})
}

func (v *voter) expireLeases(ctx context.Context, monitors map[string]*lease.ExpiryMonitor) {
	agreements := v.store.Agreements()
	now := time.Now() // read after the state, see lease.ExpiryMonitor.ExpireCommands
	for centre, agreement := range agreements {
		monitor := monitors[centre]
		if monitor == nil {
			monitor = lease.NewExpiryMonitor()
			monitors[centre] = monitor
		}
		for _, command := range monitor.ExpireCommands(now, agreement) {
			v.control.options.Logger.Warn().Str("event", "lease_expired").Str("peer", command.Instance).
				Str("data_centre", centre).Uint64("epoch", command.Epoch).Send()
			v.propose(ctx, &sysstate.Command{Body: &sysstate.Command_Lease{Lease: sysstate.CommandToProto(centre, &command)}})
		}
	}
}

// propose proposes the leader's own commands; leaderLoop retries a failed or lost
// proposal at its next check.
func (v *voter) propose(ctx context.Context, command *sysstate.Command) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	data, err := sysstate.EncodeCommand(command)
	if err == nil {
		_, err = v.node.Propose(ctx, data)
	}
	if err != nil {
		v.logError(err)
	}
}

// summaryOf encodes the differences of a change for the history.
func summaryOf(before, after *structs.SystemConfig) string {
	changes, err := json.Marshal(operatorapi.Diff(*before, *after))
	if err != nil {
		return ""
	}
	return string(changes)
}

func revisionOf(change *sysstate.Change) operatorapi.Revision {
	return operatorapi.Revision{
		Version:       change.GetVersion(),
		OperationID:   change.GetOperationId(),
		Operator:      change.GetAuthor(),
		AppliedUnixMS: change.GetUnixMs(),
	}
}

// changesOf decodes a summary written by summaryOf.
func changesOf(change *sysstate.Change) []operatorapi.Change {
	var changes []operatorapi.Change
	if err := json.Unmarshal([]byte(change.GetSummary()), &changes); err != nil {
		return nil
	}
	return changes
}
