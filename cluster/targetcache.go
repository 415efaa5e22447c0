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
	cacheFolder = "targets"
	cacheFile   = "known"
)

// targetCache caches the owned targets on disk, so that a restarted process need
// not wait for their heartbeats. It may be outdated: a target that was taken over
// by mistake is handed over to its owner with its next heartbeat.
type targetCache struct {
	folder  string
	open    func() (storage.FileSystem, error) // the folder, for writing
	logger  zerolog.Logger
	pending chan []placement.Description // holds the newest targets
}

func newTargetCache(dataFolder string, logger zerolog.Logger) *targetCache {
	folder := filepath.Join(dataFolder, cacheFolder)
	return &targetCache{
		folder:  folder,
		open:    func() (storage.FileSystem, error) { return storage.OpenFolder(folder) },
		logger:  logger,
		pending: make(chan []placement.Description, 1),
	}
}

// save sets the targets to be written next. It does not block.
func (c *targetCache) save(targets []placement.Description) {
	select {
	case <-c.pending:
	default:
	}
	c.pending <- targets
}

// run writes targets until the context ends. Only the first of consecutive failed
// writes is logged.
func (c *targetCache) run(ctx context.Context) error {
	failed := false
	var last uint64
	for {
		select {
		case targets := <-c.pending:
			list := targetList(targets)
			if list.GetChecksum() == last {
				continue
			}
			err := c.write(list)
			if err != nil && !failed {
				c.logger.Warn().Str("event", "targets_not_remembered").Err(err).Send()
			}
			failed = err != nil
			if err == nil {
				last = list.GetChecksum()
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// targetList omits the fields that change with each heartbeat.
func targetList(targets []placement.Description) *wire.KnownTargets {
	list := &wire.KnownTargets{}
	for i := range targets {
		target := descriptionToWire(&targets[i])
		target.Sequence, target.ClockMs, target.ColdMs = 0, 0, 0
		list.Targets = append(list.Targets, target)
	}
	list.Checksum = checksum(list.GetTargets())
	return list
}

func checksum(targets []*wire.TargetDescription) uint64 {
	digest := xxhash.New()
	for _, target := range targets {
		data, err := proto.MarshalOptions{Deterministic: true}.Marshal(target)
		if err != nil {
			return 0 // matches no written list
		}
		_, _ = digest.Write(data) // never fails
	}
	return digest.Sum64()
}

func (c *targetCache) write(list *wire.KnownTargets) error {
	data, err := proto.Marshal(list)
	if err != nil {
		return errors.Annotate(err, "encode targets")
	}
	files, err := c.open()
	if err != nil {
		return errors.Annotate(err, "open folder")
	}
	temporary := cacheFile + ".new"
	file, err := files.Create(temporary)
	if err != nil {
		return errors.Annotate(err, "create file")
	}
	_, err = file.Write(data)
	if err == nil {
		err = file.Sync()
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return errors.Annotate(err, "write file")
	}
	if err := files.Rename(temporary, cacheFile); err != nil {
		return errors.Annotate(err, "replace file")
	}
	return errors.Annotate(files.SyncFolder(), "sync folder")
}

// load returns the targets written last. A missing, truncated or corrupt file
// yields none; the latter two are logged. So is a target that is not valid, which
// an earlier version may have written.
func (c *targetCache) load() []placement.Description {
	data, err := os.ReadFile(filepath.Join(c.folder, cacheFile))
	if err != nil {
		if !os.IsNotExist(err) {
			c.logger.Warn().Str("event", "targets_not_recalled").Err(err).Send()
		}
		return nil
	}
	list := &wire.KnownTargets{}
	err = proto.Unmarshal(data, list)
	if err == nil && checksum(list.GetTargets()) != list.GetChecksum() {
		err = errors.NotValidf("checksum of %s", cacheFile)
	}
	if err != nil {
		c.logger.Warn().Str("event", "targets_not_recalled").Err(err).Send()
		return nil
	}
	targets := make([]placement.Description, 0, len(list.GetTargets()))
	for _, message := range list.GetTargets() {
		target := descriptionFromWire(message)
		if err := target.Validate(); err != nil {
			c.logger.Warn().Str("event", "target_not_recalled").Str("target", target.ID).Err(err).Send()
			continue
		}
		targets = append(targets, target)
	}
	c.logger.Info().Str("event", "targets_recalled").Int("targets", len(targets)).Send()
	return targets
}
