package storage

import (
	"errors"
	"fmt"
	"syscall"

	juju "github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"hawthornshore.example/consensus"
)

// Save makes a batch of effects durable, in order and usually with one sync; a
// snapshot or a new segment needs more. It may be repeated after a
// *DiskFullError.
func (d *Disk) Save(batch []consensus.Persist) error {
	if d.failure != nil {
		return fmt.Errorf("%w: %v", ErrBroken, d.failure)
	}
	err := d.save(batch)
	if err == nil {
		return nil
	}
	d.buffer = d.buffer[:0]
	full := new(DiskFullError)
	if !errors.As(err, &full) {
		d.failure = err
		return juju.Annotate(err, "save")
	}
	if truncateErr := d.truncateFailedWrite(); truncateErr != nil {
		d.failure = truncateErr
		return juju.Annotate(truncateErr, "remove records after full disk")
	}
	return juju.Annotate(err, "save")
}

// truncateFailedWrite removes what a failed write left in the active segment.
func (d *Disk) truncateFailedWrite() error {
	if d.activeFile == nil {
		return nil
	}
	d.activeSegment = d.segments[len(d.segments)-1]
	return d.activeFile.Truncate(d.activeSegment.size)
}

func (d *Disk) save(batch []consensus.Persist) error {
	if err := d.prepare(); err != nil {
		return err
	}
	hardState := d.hardState
	for _, persist := range batch {
		if persist.Sequence <= d.savedSequence {
			continue // written by an earlier call with this batch
		}
		if persist.Snapshot != nil {
			if err := d.flush(); err != nil {
				return err
			}
			d.hardState, d.savedSequence = hardState, persist.Sequence-1
			if err := d.saveSnapshot(persist.Snapshot, persist.Reset); err != nil {
				return err
			}
		}
		for _, entry := range persist.Entries {
			if err := d.appendMessage(kindEntry, entry); err != nil {
				return err
			}
			d.activeSegment.lastIndex = max(d.activeSegment.lastIndex, entry.Index)
		}
		if persist.Hard != nil {
			if err := d.appendMessage(kindHardState, persist.Hard); err != nil {
				return err
			}
			hardState = persist.Hard
		}
	}
	if err := d.flush(); err != nil {
		return err
	}
	d.hardState = hardState
	if len(batch) > 0 {
		d.savedSequence = batch[len(batch)-1].Sequence
	}
	if d.activeSegment.size >= d.segmentBytes {
		return d.rotate()
	}
	return nil
}

// prepare makes the folder ready for the first record: it marks the identity as
// started, opens a segment and resets a log that does not match its snapshot.
func (d *Disk) prepare() error {
	if !d.identity.Started {
		started := d.identity
		started.Started = true
		if err := writeIdentity(d.fs, started); err != nil {
			return fileError(err, identityFile)
		}
		d.identity = started
	}
	if d.activeFile == nil {
		if err := d.rotate(); err != nil {
			return err
		}
	}
	if d.needsReset {
		d.buffer = appendRecord(d.buffer, record{kind: kindReset})
		if err := d.flush(); err != nil {
			return err
		}
		d.needsReset = false
	}
	return nil
}

func (d *Disk) appendMessage(kind recordKind, message proto.Message) error {
	body, err := marshal(message)
	if err != nil {
		return err
	}
	if len(body) > maxRecordBytes {
		return fmt.Errorf("record of %d bytes exceeds %d bytes", len(body), maxRecordBytes)
	}
	d.buffer = appendRecord(d.buffer, record{kind: kind, body: body})
	return nil
}

// flush writes and syncs the buffered records.
func (d *Disk) flush() error {
	if len(d.buffer) == 0 {
		return nil
	}
	name := segmentName(d.activeSegment.number)
	if _, err := d.activeFile.Write(d.buffer); err != nil {
		return fileError(err, name)
	}
	if err := d.activeFile.Sync(); err != nil {
		return fileError(err, name)
	}
	d.activeSegment.size += int64(len(d.buffer))
	d.buffer = d.buffer[:0]
	d.segments[len(d.segments)-1] = d.activeSegment
	return nil
}

// rotate starts a new segment with the current hard state, so that older
// segments can be removed. The folder is synced before the segment is used.
func (d *Disk) rotate() error {
	number := uint64(1)
	if len(d.segments) > 0 {
		number = d.segments[len(d.segments)-1].number + 1
	}
	name := segmentName(number)
	file, err := d.fs.Create(name)
	if err != nil {
		return fileError(err, name)
	}
	start := appendRecord(nil, record{kind: kindSegmentStart, body: []byte(d.identity.Incarnation)})
	if d.hardState != nil {
		body, err := marshal(d.hardState)
		if err != nil {
			return err
		}
		start = appendRecord(start, record{kind: kindHardState, body: body})
	}
	if err := d.writeSegmentStart(file, start); err != nil {
		file.Close()
		// Otherwise Open could find an empty or partial segment after the active one.
		return fileError(errors.Join(err, d.fs.Remove(name)), name)
	}
	if d.activeFile != nil {
		d.activeFile.Close()
	}
	d.activeFile = file
	d.activeSegment = segment{number: number, size: int64(len(start))}
	d.segments = append(d.segments, d.activeSegment)
	return nil
}

func (d *Disk) writeSegmentStart(file File, start []byte) error {
	if _, err := file.Write(start); err != nil {
		return err
	}
	if err := file.Sync(); err != nil {
		return err
	}
	return d.fs.SyncFolder()
}

// saveSnapshot writes a snapshot file and removes the files that it replaces.
// With reset it also discards the whole log.
func (d *Disk) saveSnapshot(snapshot *consensus.Snapshot, reset bool) error {
	body, err := marshal(snapshot)
	if err != nil {
		return err
	}
	name := snapshotName(snapshot.Index)
	data := appendRecord(nil, record{kind: kindSnapshot, body: body})
	if err := replaceFile(d.fs, name, data); err != nil {
		return fileError(err, name)
	}
	if err := d.rotate(); err != nil {
		return err
	}
	if reset {
		d.buffer = appendRecord(d.buffer, record{kind: kindReset})
		if err := d.flush(); err != nil {
			return err
		}
	}
	return d.removeReplaced(snapshot.Index, reset)
}

// removeReplaced removes older snapshots, and the segments whose entries the
// snapshot covers. With reset it removes all earlier segments.
func (d *Disk) removeReplaced(index uint64, reset bool) error {
	names, err := d.fs.List()
	if err != nil {
		return err
	}
	for _, older := range numbersOf(names, snapshotPrefix, snapshotSuffix) {
		if older < index {
			if err := d.fs.Remove(snapshotName(older)); err != nil {
				return err
			}
		}
	}
	for len(d.segments) > 1 && (reset || d.segments[0].lastIndex <= index) {
		if err := d.fs.Remove(segmentName(d.segments[0].number)); err != nil {
			return err
		}
		d.segments = d.segments[1:]
	}
	return d.fs.SyncFolder()
}

// fileError returns a *DiskFullError for a full disk or an exceeded quota, and
// otherwise the error annotated with the file.
func fileError(err error, file string) error {
	if errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) {
		return &DiskFullError{File: file, Err: err}
	}
	return juju.Annotate(err, file)
}
