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
	// logHeartbeatInterval is how often the leader sends a message to each node.
	logHeartbeatInterval = 100 * time.Millisecond
	// replaceVoterAfter is the time without contact after which a learner replaces
	// a voter; a restarted process is back within a second or two.
	replaceVoterAfter = 2500 * time.Millisecond
)

// ErrNoQuorum means that an up-to-date read of the log was not possible.
var ErrNoQuorum = errors.New("no quorum of coordinators")

// logNode is this coordinator's node of the replicated log, a voter or a learner.
type logNode struct {
	coordinator *Coordinator
	store       *stateStore
	progress    *logProgress
	node        atomic.Pointer[node.Node] // nil until the data folder is open
	applied     chan struct{}             // signals applied entries
	catchUp     catchUp
}

// Send implements node.Transport.
func (l *logNode) Send(peer string, data []byte) {
	message := &wire.Envelope{Body: &wire.Envelope_Consensus{Consensus: &wire.ConsensusMessage{Data: data}}}
	_ = l.coordinator.mesh.Send(peer, message) // the log resends lost messages
}

// openRetryDelay is the pause after a failure to open the data folder; a stalled
// or full disk may recover.
const openRetryDelay = time.Second

// run opens the data folder and runs the node until the context ends. A failed
// disk stops only the node: the coordinator continues to serve its targets.
func (l *logNode) run(ctx context.Context) error {
	for {
		disk, err := l.start(ctx)
		if err == nil {
			l.wait(disk)
			return nil
		}
		l.warn().Str("event", "voter_not_started").Err(err).Send()
		select {
		case <-time.After(openRetryDelay):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// start opens the data folder and starts the node, which joins or bootstraps the
// group of voters.
func (l *logNode) start(ctx context.Context) (*storage.Disk, error) {
	options := &l.coordinator.options
	folder, err := storage.OpenFolder(options.DataFolder)
	if err != nil {
		return nil, jujuerrors.Annotate(err, "open data folder")
	}
	disk, persisted, err := storage.Open(storage.Options{FS: folder, Instance: options.Name})
	var corruption *storage.CorruptionError
	if errors.As(err, &corruption) {
		l.warn().Str("event", "data_set_aside").Err(err).Send()
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
	if err := l.coordinator.evacuations.diskOpened(&persisted); err != nil {
		l.warn().Str("event", "evacuations_not_recovered").Err(err).Send()
	}
	l.store.noteLogged(persisted.Entries)
	n, err := node.Start(ctx, node.Options{
		Name:             options.Name,
		Incarnation:      disk.Incarnation(),
		Peers:            options.Seeds,
		AdmitNonPeers:    true,
		DesiredVoters:    l.coordinator.desiredVoters,
		ReplaceAfter:     replaceVoterAfter,
		DisableBootstrap: !options.AllowBootstrap || disk.OpenResult() == storage.LogLost || disk.OpenResult() == storage.Foreign,
		Persisted:        persisted,
		Core: consensus.Options{
			ElectionTimeout:   electionTimeout,
			HeartbeatInterval: logHeartbeatInterval,
			EagerApply:        true,
		},
		Storage:      disk,
		Transport:    l,
		StateMachine: l.store,
		OnApplied: func(applied node.Applied) {
			l.progress.advance(applied.Index)
			l.signalApplied()
		},
		OnCommitSynced: func(index uint64) {
			if l.store.commitSynced(index) {
				l.signalApplied()
			}
		},
		OnStatus: func(status node.Status) {
			options.Logger.Info().Str("event", "voter_status").Str("role", status.Role.String()).
				Uint64("term", status.Term).Str("leader", status.Leader).Strs("voters", status.Voters).
				Strs("learners", status.Learners).Send()
		},
		OnError: func(err error) { l.warn().Str("event", "voter_error").Err(err).Send() },
	})
	if err != nil {
		return nil, jujuerrors.Annotate(err, "start node")
	}
	l.node.Store(n)
	return disk, nil
}

// signalApplied wakes publishLoop.
func (l *logNode) signalApplied() {
	select {
	case l.applied <- struct{}{}:
	default:
	}
}

// warn begins a log line about the node.
func (l *logNode) warn() *zerolog.Event {
	return l.coordinator.options.Logger.Warn().Str("step", "voter")
}

// wait waits until the node has stopped and closes the disk.
func (l *logNode) wait(disk *storage.Disk) {
	err := l.node.Load().Wait()
	if closeErr := disk.Close(); err == nil {
		err = closeErr
	}
	if err != nil && !errors.Is(err, context.Canceled) {
		l.warn().Str("event", "voter_stopped").Err(err).Send()
	}
}

// receive passes a message of the log to the node.
func (l *logNode) receive(peer string, data []byte) {
	if n := l.node.Load(); n != nil {
		n.Receive(peer, data)
	}
}

// publishLoop passes applied changes to the coordinator and its core.
func (l *logNode) publishLoop(ctx context.Context) error {
	for {
		select {
		case <-l.applied:
			l.coordinator.applyDocument(l.store.syncedDocument())
			l.coordinator.loop.push(placement.Tick{}) // wakes the loop, which passes changes of stored jobs to the core
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// replaceDocument proposes a document and returns once the leader has applied it
// or a newer one.
func (l *logNode) replaceDocument(ctx context.Context, document Document) error {
	ctx, cancel := context.WithTimeout(ctx, logOperationTimeout)
	defer cancel()
	_, err := l.propose(ctx, &wire.LogCommand{
		Document: &wire.DocumentState{Version: document.Version, Body: document.Body},
	})
	return err
}

// readDocument returns the newest acknowledged document.
func (l *logNode) readDocument(ctx context.Context, forwarded bool) (Document, error) {
	ctx, cancel := context.WithTimeout(ctx, logOperationTimeout)
	defer cancel()
	n := l.node.Load()
	if n == nil {
		return Document{}, jujuerrors.Annotate(ErrNoQuorum, "data folder is not open")
	}
	leader, err := l.redirect(n.ReadBarrier(ctx), forwarded)
	if leader == "" {
		return l.store.currentDocument(), err
	}
	reply, err := l.coordinator.mesh.Call(ctx, leader, &wire.Envelope{Body: &wire.Envelope_DocumentRead{
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
func (l *logNode) redirect(err error, forwarded bool) (string, error) {
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
func (l *logNode) transferLeadership(ctx context.Context) error {
	n := l.node.Load()
	if n == nil {
		return nil
	}
	status := n.Status()
	if status.Role != consensus.Leader || len(status.Voters) < 2 {
		return nil
	}
	return jujuerrors.Annotate(n.TransferLeadership(ctx, ""), "resign")
}
