package storage

import (
	"errors"
	"fmt"
	"syscall"

	juju "github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"hawthornshore.example/consensus"
)

// Save makes the effects durable, in order and with one sync for all of them
// unless they contain a snapshot. It may be repeated after a *DiskFullError.
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
	if truncateErr := d.discardPending(); truncateErr != nil {
		d.failure = truncateErr
		return juju.Annotate(truncateErr, "remove records after full disk")
	}
	return juju.Annotate(err, "save")
}

// discardPending removes a failed write's records from the active segment.
func (d *Disk) discardPending() error {
	if d.active == nil {
		return nil
	}
	d.pending = d.segments[len(d.segments)-1]
	return d.active.Truncate(d.pending.size)
}

func (d *Disk) save(batch []consensus.Persist) error {
	if err := d.prepare(); err != nil {
		return err
	}
	hardState := d.hardState
	for _, persist := range batch {
		if persist.Sequence <= d.saved {
			continue // written by an earlier call with this batch
		}
		if persist.Snapshot != nil {
			if err := d.flush(); err != nil {
				return err
			}
			d.hardState, d.saved = hardState, persist.Sequence-1
			if err := d.saveSnapshot(persist.Snapshot, persist.Reset); err != nil {
				return err
			}
		}
		for _, entry := range persist.Entries {
			if err := d.appendMessage(kindEntry, entry); err != nil {
				return err
			}
			d.pending.lastIndex = max(d.pending.lastIndex, entry.Index)
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
		d.saved = batch[len(batch)-1].Sequence
	}
	if d.pending.size >= d.segmentBytes {
		return d.rotate()
	}
	return nil
}

// prepare makes the folder ready for records before the first write.
func (d *Disk) prepare() error {
	if !d.identity.Started {
		started := d.identity
		started.Started = true
		if err := writeIdentity(d.fs, started); err != nil {
			return classify(err, identityFile)
		}
		d.identity = started
	}
	if d.active == nil {
		if err := d.rotate(); err != nil {
			return err
		}
	}
	if d.obsolete {
		d.buffer = appendRecord(d.buffer, record{kind: kindReset})
		if err := d.flush(); err != nil {
			return err
		}
		d.obsolete = false
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
	name := segmentName(d.pending.number)
	if _, err := d.active.Write(d.buffer); err != nil {
		return classify(err, name)
	}
	if err := d.active.Sync(); err != nil {
		return classify(err, name)
	}
	d.pending.size += int64(len(d.buffer))
	d.buffer = d.buffer[:0]
	d.segments[len(d.segments)-1] = d.pending
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
		return classify(err, name)
	}
	head := appendRecord(nil, record{kind: kindHeader, body: []byte(d.identity.Incarnation)})
	if d.hardState != nil {
		body, err := marshal(d.hardState)
		if err != nil {
			return err
		}
		head = appendRecord(head, record{kind: kindHardState, body: body})
	}
	if err := d.writeHead(file, head); err != nil {
		file.Close()
		// A file that is left behind would break the order of segments.
		return classify(errors.Join(err, d.fs.Remove(name)), name)
	}
	if d.active != nil {
		d.active.Close()
	}
	d.active = file
	d.pending = segment{number: number, size: int64(len(head))}
	d.segments = append(d.segments, d.pending)
	return nil
}

func (d *Disk) writeHead(file File, head []byte) error {
	if _, err := file.Write(head); err != nil {
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
		return classify(err, name)
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
	return d.removeOld(snapshot.Index, reset)
}

// removeOld removes older snapshots, and the segments whose entries the
// snapshot covers.
func (d *Disk) removeOld(index uint64, reset bool) error {
	names, err := d.fs.List()
	if err != nil {
		return err
	}
	for _, old := range numbersOf(names, snapshotPrefix, snapshotSuffix) {
		if old < index {
			if err := d.fs.Remove(snapshotName(old)); err != nil {
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

// classify wraps the operating system's error for a full disk in a
// *DiskFullError.
func classify(err error, file string) error {
	if errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) {
		return &DiskFullError{File: file, Err: err}
	}
	return juju.Annotate(err, file)
}
