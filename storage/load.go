package storage

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"google.golang.org/protobuf/proto"

	"hawthornshore.example/consensus"
)

const (
	segmentPrefix, segmentSuffix   = "log-", ".seg"
	snapshotPrefix, snapshotSuffix = "snapshot-", ".snap"
)

func segmentName(number uint64) string {
	return fmt.Sprintf("%s%016x%s", segmentPrefix, number, segmentSuffix)
}

func snapshotName(index uint64) string {
	return fmt.Sprintf("%s%016x%s", snapshotPrefix, index, snapshotSuffix)
}

func parseName(name, prefix, suffix string) (uint64, bool) {
	if !strings.HasPrefix(name, prefix) || !strings.HasSuffix(name, suffix) {
		return 0, false
	}
	digits := strings.TrimSuffix(strings.TrimPrefix(name, prefix), suffix)
	number, err := strconv.ParseUint(digits, 16, 64)
	return number, err == nil && len(digits) == 16
}

// numbersOf returns the numbers in the names of one kind of file, ascending.
func numbersOf(names []string, prefix, suffix string) []uint64 {
	var numbers []uint64
	for _, name := range names {
		if number, ok := parseName(name, prefix, suffix); ok {
			numbers = append(numbers, number)
		}
	}
	slices.Sort(numbers)
	return numbers
}

// segment describes one segment file.
type segment struct {
	number    uint64
	size      int64
	lastIndex uint64 // largest index of an entry in it
}

// loader reads the files of a folder.
type loader struct {
	fs          FileSystem
	incarnation string
	segments    []segment
	persisted   consensus.PersistentState
	torn        bool // the last segment ends in a torn record
	foreign     bool // a segment belongs to another incarnation
	needsReset  bool // the log does not contain the snapshot's last entry
}

func (l *loader) load(names []string) error {
	if err := l.loadSnapshot(numbersOf(names, snapshotPrefix, snapshotSuffix)); err != nil {
		return err
	}
	numbers := numbersOf(names, segmentPrefix, segmentSuffix)
	for i, number := range numbers {
		if i > 0 && number != numbers[i-1]+1 {
			return &CorruptionError{File: segmentName(number), Reason: "segment before it is missing"}
		}
		if err := l.loadSegment(number, i == len(numbers)-1); err != nil || l.foreign {
			return err
		}
	}
	return l.finish()
}

func (l *loader) loadSnapshot(indexes []uint64) error {
	if len(indexes) == 0 {
		return nil
	}
	name := snapshotName(indexes[len(indexes)-1])
	data, err := l.fs.Read(name)
	if err != nil {
		return err
	}
	if len(data) == 0 {
		return &CorruptionError{File: name, Reason: "file is empty"}
	}
	r, fault := decodeRecord(data)
	if fault != faultNone {
		return &CorruptionError{File: name, Reason: string(fault)}
	}
	snapshot := new(consensus.Snapshot)
	if r.kind != kindSnapshot || r.size() != len(data) || proto.Unmarshal(r.body, snapshot) != nil {
		return &CorruptionError{File: name, Reason: "file does not hold one snapshot"}
	}
	l.persisted.Snapshot = snapshot
	return nil
}

func (l *loader) loadSegment(number uint64, last bool) error {
	name := segmentName(number)
	data, err := l.fs.Read(name)
	if err != nil {
		return err
	}
	current := segment{number: number}
	for int(current.size) < len(data) {
		r, fault := decodeRecord(data[current.size:])
		if fault == faultTorn && last {
			l.torn = true
			break
		}
		if fault != faultNone {
			return &CorruptionError{File: name, Offset: current.size, Reason: string(fault)}
		}
		if reason := l.replay(r, &current); reason != "" {
			return &CorruptionError{File: name, Offset: current.size, Reason: reason}
		}
		if l.foreign {
			return nil
		}
		current.size += int64(r.size())
	}
	if current.size == 0 && !last {
		return &CorruptionError{File: name, Reason: "segment is empty"}
	}
	l.segments = append(l.segments, current)
	return nil
}

// replay applies one record. It returns why the record is invalid, or "".
func (l *loader) replay(r record, current *segment) string {
	if (r.kind == kindSegmentStart) != (current.size == 0) {
		return "start record of the segment is missing or repeated"
	}
	switch r.kind {
	case kindSegmentStart:
		l.foreign = string(r.body) != l.incarnation
	case kindEntry:
		entry := new(consensus.Entry)
		if proto.Unmarshal(r.body, entry) != nil {
			return "entry cannot be decoded"
		}
		current.lastIndex = max(current.lastIndex, entry.Index)
		return l.replayEntry(entry)
	case kindHardState:
		hardState := new(consensus.HardState)
		if proto.Unmarshal(r.body, hardState) != nil {
			return "hard state cannot be decoded"
		}
		l.persisted.Hard = hardState
	case kindReset:
		l.persisted.Entries = nil
	default:
		return "record has an unknown kind"
	}
	return ""
}

// replayEntry adds an entry; it replaces everything from its index on.
func (l *loader) replayEntry(entry *consensus.Entry) string {
	entries := l.persisted.Entries
	if len(entries) == 0 {
		l.persisted.Entries = append(entries, entry)
		return ""
	}
	first, last := entries[0].Index, entries[len(entries)-1].Index
	if entry.Index > last+1 {
		return fmt.Sprintf("entry %d follows entry %d", entry.Index, last)
	}
	keep := uint64(0)
	if entry.Index > first {
		keep = entry.Index - first
	}
	l.persisted.Entries = append(entries[:keep], entry)
	return ""
}

// finish drops the entries that the snapshot covers, and checks that the log
// follows the snapshot and reaches the commit index.
func (l *loader) finish() error {
	p := &l.persisted
	base := uint64(0)
	if p.Snapshot != nil {
		base = p.Snapshot.Index
		l.needsReset = !matchesSnapshot(p.Entries, p.Snapshot)
		p.Entries = entriesAfter(p.Snapshot, p.Entries, l.needsReset)
	}
	last := base
	if len(p.Entries) > 0 {
		last = p.Entries[len(p.Entries)-1].Index
		if p.Entries[0].Index != base+1 {
			return l.missingRecords(fmt.Sprintf("log begins at entry %d, after snapshot %d", p.Entries[0].Index, base))
		}
	}
	if p.Hard.GetCommit() > last {
		return l.missingRecords(fmt.Sprintf("log ends at entry %d, before the committed entry %d", last, p.Hard.GetCommit()))
	}
	return nil
}

// missingRecords returns an error at the end of the log.
func (l *loader) missingRecords(reason string) error {
	err := &CorruptionError{Reason: reason}
	if len(l.segments) > 0 {
		last := l.segments[len(l.segments)-1]
		err.File, err.Offset = segmentName(last.number), last.size
	}
	return err
}

// matchesSnapshot reports whether a log has the snapshot's last entry with the
// same term, or begins after it. Otherwise the snapshot came from a leader, and
// the process crashed before the log was reset.
func matchesSnapshot(entries []*consensus.Entry, snapshot *consensus.Snapshot) bool {
	if len(entries) == 0 {
		return true
	}
	first := entries[0].Index
	if first > snapshot.Index {
		return true
	}
	offset := snapshot.Index - first
	return offset < uint64(len(entries)) && entries[offset].Term == snapshot.Term
}

func entriesAfter(snapshot *consensus.Snapshot, entries []*consensus.Entry, needsReset bool) []*consensus.Entry {
	if needsReset {
		return nil
	}
	if len(entries) == 0 || entries[0].Index > snapshot.Index {
		return entries
	}
	return entries[snapshot.Index-entries[0].Index+1:]
}
