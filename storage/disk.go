package storage

import (
	"io"
	"slices"
	"strings"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"hawthornshore.example/consensus"
)

// OpenResult is the state of the data folder when it was opened.
type OpenResult int

const (
	// Fresh means that the folder has no log: this is the first start, or the
	// disk was replaced by an empty one. The instance participates only if
	// the group confirms that this incarnation is a member.
	Fresh OpenResult = iota
	// Intact means that the log was written by this instance and incarnation.
	Intact
	// LogLost means that the identity is marked as started and has no log. Open
	// gave the folder a new incarnation, and the instance has to rejoin as a
	// learner.
	LogLost
	// Foreign means that the folder was written by another instance or incarnation.
	// Its files were set aside, and the folder has a new incarnation. The
	// instance has to rejoin as a learner.
	Foreign
)

func (r OpenResult) String() string { return [...]string{"fresh", "known", "lost", "foreign"}[r] }

// Options configure a Disk.
type Options struct {
	FS       FileSystem
	Instance string // name of the instance that owns the folder
	// SegmentBytes is the size at which a new segment is started; 0 is 16 MiB.
	SegmentBytes int64
}

const defaultSegmentBytes = 16 << 20

// Disk is an open data folder. It is owned by one goroutine.
type Disk struct {
	fs           FileSystem
	lock         io.Closer
	identity     identity
	openResult   OpenResult
	segmentBytes int64

	segments      []segment            // the last one is active
	activeFile    File                 // nil until the first Save
	buffer        []byte               // records that are not written yet
	activeSegment segment              // the last of segments; lastIndex includes buffered entries, size does not
	hardState     *consensus.HardState // the last durable one
	savedSequence uint64               // of the last durable effect
	needsReset    bool                 // a reset record has to precede further records
	failure       error                // after which the contents of the folder are unknown
}

// Open locks and reads the folder. A damaged log gives a *CorruptionError;
// SetAside then clears the folder, so that the instance can rejoin as a
// learner.
func Open(options Options) (*Disk, consensus.PersistentState, error) {
	empty := consensus.PersistentState{}
	lock, err := options.FS.Lock(lockFile)
	if err != nil {
		return nil, empty, errors.Annotate(err, "lock data folder")
	}
	d := &Disk{fs: options.FS, lock: lock, segmentBytes: options.SegmentBytes}
	if d.segmentBytes == 0 {
		d.segmentBytes = defaultSegmentBytes
	}
	persisted, err := d.open(options.Instance)
	if err != nil {
		lock.Close()
		return nil, empty, err
	}
	return d, persisted, nil
}

func (d *Disk) open(instance string) (consensus.PersistentState, error) {
	empty := consensus.PersistentState{}
	names, err := d.fs.List()
	if err != nil {
		return empty, errors.Annotate(err, "list data folder")
	}
	names, err = removeTemporary(d.fs, names)
	if err != nil {
		return empty, err
	}
	if !slices.Contains(names, identityFile) {
		if len(dataFiles(names)) == 0 {
			return empty, d.assignIncarnation(instance, Fresh, nil)
		}
		return empty, d.assignIncarnation(instance, Foreign, dataFiles(names))
	}
	if d.identity, err = readIdentity(d.fs); err != nil {
		return empty, err
	}
	if d.identity.Instance != instance {
		return empty, d.assignIncarnation(instance, Foreign, dataFiles(names))
	}
	return d.openLog(instance, names)
}

func (d *Disk) openLog(instance string, names []string) (consensus.PersistentState, error) {
	empty := consensus.PersistentState{}
	l := &loader{fs: d.fs, incarnation: d.identity.Incarnation}
	err := l.load(names)
	switch {
	case err != nil:
		return empty, errors.Annotate(err, "read log")
	case l.foreign:
		return empty, d.assignIncarnation(instance, Foreign, dataFiles(names))
	case l.persisted.Empty() && d.identity.Started:
		return empty, d.assignIncarnation(instance, LogLost, dataFiles(names))
	case l.persisted.Empty():
		d.openResult = Fresh
	default:
		d.openResult = Intact
	}
	d.hardState, d.needsReset = l.persisted.Hard, l.needsReset
	return l.persisted, d.reopenLast(l)
}

// reopenLast opens the last segment for appending.
func (d *Disk) reopenLast(l *loader) error {
	d.segments = l.segments
	if len(d.segments) == 0 {
		return nil
	}
	last := d.segments[len(d.segments)-1]
	if last.size == 0 {
		d.segments = d.segments[:len(d.segments)-1]
		return errors.Annotate(d.fs.Remove(segmentName(last.number)), "remove empty segment")
	}
	file, err := d.fs.Append(segmentName(last.number))
	if err != nil {
		return errors.Annotate(err, "open segment")
	}
	d.activeFile, d.activeSegment = file, last
	if !l.torn {
		return nil
	}
	if err := file.Truncate(last.size); err != nil {
		return errors.Annotate(err, "truncate torn record")
	}
	return errors.Annotate(file.Sync(), "sync truncated segment")
}

// assignIncarnation sets old files aside and gives the folder a new incarnation.
func (d *Disk) assignIncarnation(instance string, result OpenResult, old []string) error {
	next := identity{Instance: instance, Incarnation: newIncarnation()}
	if len(old) > 0 {
		if err := d.fs.SetAside("set-aside-"+next.Incarnation, old); err != nil {
			return errors.Annotate(err, "set files aside")
		}
	}
	d.identity, d.openResult = next, result
	return writeIdentity(d.fs, next)
}

// SetAside moves the log, the snapshots and the identity into a subfolder.
// The next Open finds an empty folder.
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
		if !strings.HasSuffix(name, temporarySuffix) {
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

// OpenResult returns the state of the data folder when it was opened.
func (d *Disk) OpenResult() OpenResult { return d.openResult }

// Incarnation returns the ID of the folder, which changes when its contents are
// lost or set aside.
func (d *Disk) Incarnation() string { return d.identity.Incarnation }

// Close releases the folder.
func (d *Disk) Close() error {
	if d.activeFile != nil {
		d.activeFile.Close()
	}
	return d.lock.Close()
}

func marshal(message proto.Message) ([]byte, error) {
	data, err := proto.Marshal(message)
	return data, errors.Annotate(err, "encode record")
}
