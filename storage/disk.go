package storage

import (
	"io"
	"slices"
	"strings"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"hawthornshore.example/consensus"
)

// OpenResult is what Open found in the folder.
type OpenResult int

const (
	// Fresh means that the folder has no log: this is the first start, or the
	// disk was replaced by an empty one. The instance takes part only if the
	// group confirms that it is a member under this incarnation.
	Fresh OpenResult = iota
	// Intact means that the log is the one that this instance wrote.
	Intact
	// LogLost means that the log of this disk is gone. The instance has to
	// return as a learner; Open gave the folder a new incarnation.
	LogLost
	// Foreign means that the folder was written by another instance or disk.
	// Its files were set aside, and the folder has a new incarnation. The
	// instance has to return as a learner.
	Foreign
)

func (v OpenResult) String() string { return [...]string{"fresh", "known", "lost", "foreign"}[v] }

// Options configure a Disk.
type Options struct {
	FS       FileSystem
	Instance string // name of the instance that owns the folder
	// SegmentBytes is the size at which a new segment is begun; 0 is 16 MiB.
	SegmentBytes int64
}

const defaultSegmentBytes = 16 << 20

// Disk is an open data folder. It is owned by one goroutine.
type Disk struct {
	fs           FileSystem
	lock         io.Closer
	identity     identity
	verdict      OpenResult
	segmentBytes int64

	segments []segment // the last one is active
	active   File      // nil until the first Save
	buffer   []byte    // records that are not written yet
	pending  segment   // the active segment once buffer is synced
	hard     *consensus.HardState
	saved    uint64 // sequence of the last effect that is durable
	void     bool   // the log has to be reset before further records
	broken   error
}

// Open locks and reads the folder. A damaged log gives a *CorruptionError;
// SetAside then clears the folder, so that the instance can return as a
// learner.
func Open(options Options) (*Disk, consensus.PersistentState, error) {
	none := consensus.PersistentState{}
	lock, err := options.FS.Lock(lockFile)
	if err != nil {
		return nil, none, errors.Annotate(err, "lock data folder")
	}
	d := &Disk{fs: options.FS, lock: lock, segmentBytes: options.SegmentBytes}
	if d.segmentBytes == 0 {
		d.segmentBytes = defaultSegmentBytes
	}
	persisted, err := d.open(options.Instance)
	if err != nil {
		lock.Close()
		return nil, none, err
	}
	return d, persisted, nil
}

func (d *Disk) open(instance string) (consensus.PersistentState, error) {
	none := consensus.PersistentState{}
	names, err := d.fs.List()
	if err != nil {
		return none, errors.Annotate(err, "list data folder")
	}
	names, err = removeTemporary(d.fs, names)
	if err != nil {
		return none, err
	}
	if !slices.Contains(names, identityFile) {
		if len(dataFiles(names)) == 0 {
			return none, d.renew(instance, Fresh, nil)
		}
		return none, d.renew(instance, Foreign, dataFiles(names))
	}
	if d.identity, err = readIdentity(d.fs); err != nil {
		return none, err
	}
	if d.identity.Instance != instance {
		return none, d.renew(instance, Foreign, dataFiles(names))
	}
	return d.openLog(instance, names)
}

func (d *Disk) openLog(instance string, names []string) (consensus.PersistentState, error) {
	none := consensus.PersistentState{}
	l := &loader{fs: d.fs, incarnation: d.identity.Incarnation}
	err := l.load(names)
	switch {
	case err != nil:
		return none, errors.Annotate(err, "read log")
	case l.foreign:
		return none, d.renew(instance, Foreign, dataFiles(names))
	case l.persisted.Empty() && d.identity.Started:
		return none, d.renew(instance, LogLost, dataFiles(names))
	case l.persisted.Empty():
		d.verdict = Fresh
	default:
		d.verdict = Intact
	}
	d.hard, d.void = l.persisted.Hard, l.void
	return l.persisted, d.resume(l)
}

// resume prepares the last segment for further records.
func (d *Disk) resume(l *loader) error {
	d.segments = l.segments
	if len(d.segments) == 0 {
		return nil
	}
	tail := d.segments[len(d.segments)-1]
	if tail.size == 0 {
		d.segments = d.segments[:len(d.segments)-1]
		return errors.Annotate(d.fs.Remove(segmentName(tail.number)), "remove empty segment")
	}
	file, err := d.fs.Append(segmentName(tail.number))
	if err != nil {
		return errors.Annotate(err, "open segment")
	}
	d.active, d.pending = file, tail
	if !l.torn {
		return nil
	}
	if err := file.Truncate(tail.size); err != nil {
		return errors.Annotate(err, "truncate torn record")
	}
	return errors.Annotate(file.Sync(), "sync truncated segment")
}

// renew sets the given files aside and gives the folder a new incarnation.
func (d *Disk) renew(instance string, verdict OpenResult, old []string) error {
	fresh := identity{Instance: instance, Incarnation: newIncarnation()}
	if len(old) > 0 {
		if err := d.fs.SetAside("set-aside-"+fresh.Incarnation, old); err != nil {
			return errors.Annotate(err, "set files aside")
		}
	}
	d.identity, d.verdict = fresh, verdict
	return writeIdentity(d.fs, fresh)
}

// SetAside moves the log, the snapshots and the identity into a subfolder.
// The next Open finds a fresh folder.
func SetAside(fs FileSystem) error {
	lock, err := fs.Lock(lockFile)
	if err != nil {
		return errors.Annotate(err, "lock data folder")
	}
	defer lock.Close()
	names, err := fs.List()
	if err != nil {
		return errors.Annotate(err, "list data folder")
	}
	return errors.Annotate(fs.SetAside("set-aside-"+newIncarnation(), dataFiles(names)), "set files aside")
}

func removeTemporary(fs FileSystem, names []string) ([]string, error) {
	var kept []string
	for _, name := range names {
		if !strings.HasSuffix(name, temporary) {
			kept = append(kept, name)
			continue
		}
		if err := fs.Remove(name); err != nil {
			return nil, errors.Annotate(err, "remove temporary file")
		}
	}
	return kept, nil
}

func dataFiles(names []string) []string {
	return slices.DeleteFunc(slices.Clone(names), func(name string) bool { return name == lockFile })
}

// OpenResult returns what Open found.
func (d *Disk) OpenResult() OpenResult { return d.verdict }

// Incarnation returns the identity of this disk; a lost or replaced disk gets
// a new one.
func (d *Disk) Incarnation() string { return d.identity.Incarnation }

// Close releases the folder.
func (d *Disk) Close() error {
	if d.active != nil {
		d.active.Close()
	}
	return d.lock.Close()
}

func marshal(message proto.Message) ([]byte, error) {
	data, err := proto.Marshal(message)
	return data, errors.Annotate(err, "encode record")
}
