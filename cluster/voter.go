package cluster

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	jujuerrors "github.com/juju/errors"
	"github.com/rs/zerolog"

	"hawthornshore.example/consensus"
	"hawthornshore.example/consensus/node"
	"hawthornshore.example/placement"
	"hawthornshore.example/storage"
	"hawthornshore.example/wire"
)

const (
	// logOperationTimeout bounds one command or one read of the log. Operators try
	// another coordinator after a second.
	logOperationTimeout = 900 * time.Millisecond
	// electionTimeout is how long a voter waits for a message from the leader; a
	// round trip between data centres takes 3 ms and a sync 9 ms.
	electionTimeout = 800 * time.Millisecond
	// logHeartbeatInterval is how often the leader sends a message to each member.
	logHeartbeatInterval = 100 * time.Millisecond
	// replaceVoterAfter is the time without contact after which a learner replaces
	// a voter; a restarted process is back within a second or two.
	replaceVoterAfter = 2500 * time.Millisecond
)

// ErrNoQuorum means that an up-to-date read of the log was not possible.
var ErrNoQuorum = errors.New("no quorum of coordinators")

// voter is a coordinator's member of the replicated log.
type voter struct {
	coordinator *Coordinator
	store       *stateStore
	progress    *logProgress
	node        atomic.Pointer[node.Node] // nil until the data folder is open
	applied     chan struct{}             // signals applied entries
}

// Send implements node.Transport.
func (v *voter) Send(peer string, data []byte) {
	message := &wire.Envelope{Body: &wire.Envelope_Consensus{Consensus: &wire.ConsensusMessage{Data: data}}}
	_ = v.coordinator.mesh.Send(peer, message) // the log resends lost messages
}

// openRetryDelay is the pause after a failure to open the data folder; a stalled
// or full disk may recover.
const openRetryDelay = time.Second

// run opens the data folder and runs the member until the context ends. A failed
// disk stops only the member: the coordinator continues to serve its targets.
func (v *voter) run(ctx context.Context) error {
	for {
		disk, err := v.start(ctx)
		if err == nil {
			v.wait(disk)
			return nil
		}
		v.warn().Str("event", "voter_not_started").Err(err).Send()
		select {
		case <-time.After(openRetryDelay):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// start opens the data folder and joins or bootstraps the group of voters.
func (v *voter) start(ctx context.Context) (*storage.Disk, error) {
	options := &v.coordinator.options
	folder, err := storage.OpenFolder(options.DataFolder)
	if err != nil {
		return nil, jujuerrors.Annotate(err, "open data folder")
	}
	disk, persisted, err := storage.Open(storage.Options{FS: folder, Instance: options.Name})
	var corruption *storage.CorruptionError
	if errors.As(err, &corruption) {
		v.warn().Str("event", "data_set_aside").Err(err).Send()
		if err := storage.SetAside(folder); err != nil {
			return nil, jujuerrors.Annotate(err, "set corrupt data aside")
		}
		disk, persisted, err = storage.Open(storage.Options{FS: folder, Instance: options.Name})
	}
	if err != nil {
		return nil, jujuerrors.Annotate(err, "open data folder")
	}
	options.Logger.Info().Str("event", "data_folder_opened").Str("verdict", disk.OpenResult().String()).
		Str("disk_incarnation", disk.Incarnation()).Send()
	member, err := node.Start(ctx, node.Options{
		Name:             options.Name,
		Incarnation:      disk.Incarnation(),
		Peers:            options.Seeds,
		AdmitNonPeers:    true,
		DesiredVoters:    v.coordinator.desiredVoters,
		ReplaceAfter:     replaceVoterAfter,
		DisableBootstrap: !options.AllowBootstrap || disk.OpenResult() == storage.LogLost || disk.OpenResult() == storage.Foreign,
		Persisted:        persisted,
		Core: consensus.Options{
			ElectionTimeout:   electionTimeout,
			HeartbeatInterval: logHeartbeatInterval,
		},
		Storage:      disk,
		Transport:    v,
		StateMachine: v.store,
		OnApplied: func(applied node.Applied) {
			v.progress.advance(applied.Index)
			select {
			case v.applied <- struct{}{}:
			default:
			}
		},
		OnStatus: func(status node.Status) {
			options.Logger.Info().Str("event", "voter_status").Str("role", status.Role.String()).
				Uint64("term", status.Term).Str("leader", status.Leader).Strs("voters", status.Voters).
				Strs("learners", status.Learners).Send()
		},
		OnError: func(err error) { v.warn().Str("event", "voter_error").Err(err).Send() },
	})
	if err != nil {
		return nil, jujuerrors.Annotate(err, "start voter")
	}
	v.node.Store(member)
	return disk, nil
}

// warn begins a log line about the member.
func (v *voter) warn() *zerolog.Event {
	return v.coordinator.options.Logger.Warn().Str("step", "voter")
}

// wait waits until the node has stopped and closes the disk.
func (v *voter) wait(disk *storage.Disk) {
	err := v.node.Load().Wait()
	if closeErr := disk.Close(); err == nil {
		err = closeErr
	}
	if err != nil && !errors.Is(err, context.Canceled) {
		v.warn().Str("event", "voter_stopped").Err(err).Send()
	}
}

// receive passes a message of the log to the node.
func (v *voter) receive(peer string, data []byte) {
	if member := v.node.Load(); member != nil {
		member.Receive(peer, data)
	}
}

// publishLoop passes applied changes to the coordinator and its core.
func (v *voter) publishLoop(ctx context.Context) error {
	for {
		select {
		case <-v.applied:
			v.coordinator.applyDocument(v.store.currentDocument())
			v.coordinator.loop.push(placement.Tick{}) // the loop steps the stored jobs
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// replaceDocument proposes a document and returns once the leader has applied it
// or a newer one.
func (v *voter) replaceDocument(ctx context.Context, document Document) error {
	ctx, cancel := context.WithTimeout(ctx, logOperationTimeout)
	defer cancel()
	_, err := v.propose(ctx, &wire.LogCommand{
		Document: &wire.DocumentState{Version: document.Version, Body: document.Body},
	})
	return err
}

// readDocument returns the newest acknowledged document.
func (v *voter) readDocument(ctx context.Context, forwarded bool) (Document, error) {
	ctx, cancel := context.WithTimeout(ctx, logOperationTimeout)
	defer cancel()
	member := v.node.Load()
	if member == nil {
		return Document{}, jujuerrors.Annotate(ErrNoQuorum, "data folder is not open")
	}
	leader, err := v.redirect(member.ReadBarrier(ctx), forwarded)
	if leader == "" {
		return v.store.currentDocument(), err
	}
	reply, err := v.coordinator.mesh.Call(ctx, leader, &wire.Envelope{Body: &wire.Envelope_DocumentRead{
		DocumentRead: &wire.DocumentRead{Forwarded: true},
	}})
	if err != nil {
		return Document{}, jujuerrors.Annotate(err, "forward read")
	}
	answer := reply.GetDocumentAnswer()
	return Document{Version: answer.GetVersion(), Body: answer.GetBody()}, nil
}

// redirect returns the leader to forward a request to, or else the error of the
// request.
func (v *voter) redirect(err error, forwarded bool) (string, error) {
	var notLeader *node.NotLeaderError
	if !errors.As(err, &notLeader) {
		return "", jujuerrors.Annotate(err, "read barrier")
	}
	if notLeader.Leader == "" || forwarded {
		return "", jujuerrors.Annotate(ErrNoQuorum, "leader is unknown")
	}
	return notLeader.Leader, nil
}

// transferLeadership transfers the leadership if this coordinator is the leader.
func (v *voter) transferLeadership(ctx context.Context) error {
	member := v.node.Load()
	if member == nil {
		return nil
	}
	status := member.Status()
	if status.Role != consensus.Leader || len(status.Voters) < 2 {
		return nil
	}
	return jujuerrors.Annotate(member.TransferLeadership(ctx, ""), "resign")
}
