package cluster

import (
	"context"
	"os"
	"path/filepath"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"hawthornshore.example/placement"
	"hawthornshore.example/storage"
	"hawthornshore.example/wire"
)

const (
	memoryFolder = "targets"
	memoryFile   = "known"
)

// targetMemory keeps the owned targets on disk, so that a new process need not
// wait for their heartbeats. It is a hint: a target that is taken over by mistake
// is handed back with its next heartbeat.
type targetMemory struct {
	folder  string
	open    func() (storage.FileSystem, error) // the folder, for writing
	logger  zerolog.Logger
	pending chan []placement.Description // holds the newest list
}

func newTargetMemory(dataFolder string, logger zerolog.Logger) *targetMemory {
	folder := filepath.Join(dataFolder, memoryFolder)
	return &targetMemory{
		folder:  folder,
		open:    func() (storage.FileSystem, error) { return storage.OpenFolder(folder) },
		logger:  logger,
		pending: make(chan []placement.Description, 1),
	}
}

// remember replaces the list that is written next. It does not block.
func (m *targetMemory) remember(targets []placement.Description) {
	select {
	case <-m.pending:
	default:
	}
	m.pending <- targets
}

// run writes lists until the context ends. A failed write is logged, once until
// one succeeds.
func (m *targetMemory) run(ctx context.Context) error {
	failed := false
	var last uint64
	for {
		select {
		case targets := <-m.pending:
			known := knownTargets(targets)
			if known.GetChecksum() == last {
				continue
			}
			err := m.write(known)
			if err != nil && !failed {
				m.logger.Warn().Str("event", "targets_not_remembered").Err(err).Send()
			}
			failed = err != nil
			if err == nil {
				last = known.GetChecksum()
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// knownTargets leaves out what changes with each heartbeat.
func knownTargets(targets []placement.Description) *wire.KnownTargets {
	known := &wire.KnownTargets{}
	for i := range targets {
		target := descriptionToWire(&targets[i])
		target.Sequence, target.ClockMs = 0, 0
		known.Targets = append(known.Targets, target)
	}
	known.Checksum = checksum(known.GetTargets())
	return known
}

func checksum(targets []*wire.TargetDescription) uint64 {
	digest := xxhash.New()
	for _, target := range targets {
		data, err := proto.MarshalOptions{Deterministic: true}.Marshal(target)
		if err != nil {
			return 0 // matches no list that was written
		}
		_, _ = digest.Write(data) // a digest does not fail
	}
	return digest.Sum64()
}

func (m *targetMemory) write(known *wire.KnownTargets) error {
	data, err := proto.Marshal(known)
	if err != nil {
		return errors.Annotate(err, "encode targets")
	}
	files, err := m.open()
	if err != nil {
		return errors.Annotate(err, "open folder")
	}
	temporary := memoryFile + ".new"
	file, err := files.Create(temporary)
	if err != nil {
		return errors.Annotate(err, "create list")
	}
	_, err = file.Write(data)
	if err == nil {
		err = file.Sync()
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return errors.Annotate(err, "write list")
	}
	if err := files.Rename(temporary, memoryFile); err != nil {
		return errors.Annotate(err, "replace list")
	}
	return errors.Annotate(files.SyncFolder(), "sync folder")
}

// recall returns the targets of the last list. A list that is missing, torn or
// damaged is left out with a log line.
func (m *targetMemory) recall() []placement.Description {
	data, err := os.ReadFile(filepath.Join(m.folder, memoryFile))
	if err != nil {
		if !os.IsNotExist(err) {
			m.logger.Warn().Str("event", "targets_not_recalled").Err(err).Send()
		}
		return nil
	}
	known := &wire.KnownTargets{}
	err = proto.Unmarshal(data, known)
	if err == nil && checksum(known.GetTargets()) != known.GetChecksum() {
		err = errors.NotValidf("checksum of %s", memoryFile)
	}
	if err != nil {
		m.logger.Warn().Str("event", "targets_not_recalled").Err(err).Send()
		return nil
	}
	targets := make([]placement.Description, 0, len(known.GetTargets()))
	for _, target := range known.GetTargets() {
		targets = append(targets, descriptionFromWire(target))
	}
	m.logger.Info().Str("event", "targets_recalled").Int("targets", len(targets)).Send()
	return targets
}
