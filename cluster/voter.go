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
	// documentTimeout bounds one change or read of the document. Operators move
	// on to another coordinator after a second.
	documentTimeout = 900 * time.Millisecond
	// electionTimeout is how long a voter waits for the leader; a round trip
	// between data centres takes 3 ms and a sync 9 ms.
	electionTimeout = 800 * time.Millisecond
	// logHeartbeat is how often the leader sends to each member.
	logHeartbeat = 100 * time.Millisecond
	// replaceVoterAfter is the silence after which a voter's vote goes to a
	// learner; a restarted process is back within a second or two.
	replaceVoterAfter = 2500 * time.Millisecond
)

// ErrNoMajority means that the document could not be read or changed for
// certain at this time.
var ErrNoMajority = errors.New("no majority of the coordinators answers")

// voter is a coordinator's part in the replicated log.
type voter struct {
	coordinator *Coordinator
	store       *stateStore
	progress    *logProgress
	node        atomic.Pointer[node.Node] // nil until the data folder is open
	applied     chan struct{}             // holds a token after entries were applied
}

// Send implements node.Transport.
func (v *voter) Send(peer string, data []byte) {
	message := &wire.Envelope{Body: &wire.Envelope_Consensus{Consensus: &wire.ConsensusMessage{Data: data}}}
	_ = v.coordinator.mesh.Send(peer, message) // the log repeats what is lost
}

// openRetry is the pause after a data folder could not be opened; a disk that
// stalls or is full may recover.
const openRetry = time.Second

// run opens the data folder and takes part in the log until the context ends. A
// broken disk ends the voter only: the coordinator goes on with its targets.
func (v *voter) run(ctx context.Context) error {
	for {
		disk, err := v.start(ctx)
		if err == nil {
			v.wait(disk)
			return nil
		}
		v.warn().Str("event", "voter_not_started").Err(err).Send()
		select {
		case <-time.After(openRetry):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// start opens the data folder and joins or forms the group of voters.
func (v *voter) start(ctx context.Context) (*storage.Disk, error) {
	options := &v.coordinator.options
	folder, err := storage.OpenFolder(options.DataFolder)
	if err != nil {
		return nil, jujuerrors.Annotate(err, "open data folder")
	}
	disk, persisted, err := storage.Open(storage.Options{FS: folder, Instance: options.Name})
	var damaged *storage.CorruptionError
	if errors.As(err, &damaged) {
		v.warn().Str("event", "data_set_aside").Err(err).Send()
		if err := storage.SetAside(folder); err != nil {
			return nil, jujuerrors.Annotate(err, "set damaged data aside")
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
		DesiredVoters:    v.coordinator.wantedVoters,
		ReplaceAfter:     replaceVoterAfter,
		DisableBootstrap: !options.MayForm || disk.OpenResult() == storage.LogLost || disk.OpenResult() == storage.Foreign,
		Persisted:        persisted,
		Core: consensus.Options{
			ElectionTimeout:   electionTimeout,
			HeartbeatInterval: logHeartbeat,
		},
		Storage:      disk,
		Transport:    v,
		StateMachine: v.store,
		OnApplied: func(applied node.Applied) {
			v.progress.reach(applied.Index)
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

// warn begins a line about the log.
func (v *voter) warn() *zerolog.Event {
	return v.coordinator.options.Logger.Warn().Str("step", "voter")
}

// wait returns at the node's end and closes the disk.
func (v *voter) wait(disk *storage.Disk) {
	err := v.node.Load().Wait()
	if closeErr := disk.Close(); err == nil {
		err = closeErr
	}
	if err != nil && !errors.Is(err, context.Canceled) {
		v.warn().Str("event", "voter_stopped").Err(err).Send()
	}
}

// receive takes a message of the log.
func (v *voter) receive(peer string, data []byte) {
	if member := v.node.Load(); member != nil {
		member.Receive(peer, data)
	}
}

// publishLoop hands what was applied to the coordinator and its core.
func (v *voter) publishLoop(ctx context.Context) error {
	for {
		select {
		case <-v.applied:
			v.coordinator.adopt(v.store.current())
			v.coordinator.loop.push(placement.Tick{}) // the core takes the stored jobs
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// change brings a document to the leader and returns once it or a newer one is
// in force.
func (v *voter) change(ctx context.Context, document Document) error {
	ctx, cancel := context.WithTimeout(ctx, documentTimeout)
	defer cancel()
	_, err := v.propose(ctx, &wire.LogCommand{
		Document: &wire.DocumentState{Version: document.Version, Body: document.Body},
	})
	return err
}

// read returns the newest acknowledged document.
func (v *voter) read(ctx context.Context, forwarded bool) (Document, error) {
	ctx, cancel := context.WithTimeout(ctx, documentTimeout)
	defer cancel()
	member := v.node.Load()
	if member == nil {
		return Document{}, jujuerrors.Annotate(ErrNoMajority, "open data folder")
	}
	leader, err := v.elsewhere(member.ReadBarrier(ctx), forwarded)
	if leader == "" {
		return v.store.current(), err
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

// elsewhere returns the leader that a request has to go to, or else the outcome
// of the request.
func (v *voter) elsewhere(err error, forwarded bool) (string, error) {
	var notLeader *node.NotLeaderError
	if !errors.As(err, &notLeader) {
		return "", jujuerrors.Annotate(err, "ask the voters")
	}
	if notLeader.Leader == "" || forwarded {
		return "", jujuerrors.Annotate(ErrNoMajority, "find the leader")
	}
	return notLeader.Leader, nil
}

// resign hands the leadership over, if this coordinator has it.
func (v *voter) resign(ctx context.Context) error {
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
