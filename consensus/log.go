package consensus

// entryLog is the part of the log that is in memory. Its entries directly follow
// the one at (prevIndex, prevTerm).
type entryLog struct {
	prevIndex, prevTerm uint64
	entries             []*Entry
}

func (l *entryLog) firstIndex() uint64 { return l.prevIndex + 1 }

func (l *entryLog) lastIndex() uint64 { return l.prevIndex + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	term, _ := l.term(l.lastIndex())
	return term
}

// term returns the term of the entry at index, and whether it is known.
func (l *entryLog) term(index uint64) (uint64, bool) {
	if index == l.prevIndex {
		return l.prevTerm, true
	}
	if index < l.prevIndex || index > l.lastIndex() {
		return 0, false
	}
	return l.entries[index-l.firstIndex()].Term, true
}

// slice returns the entries from index through last, at most maxBytes but at
// least one entry.
func (l *entryLog) slice(index, last uint64, maxBytes int) []*Entry {
	if index > last || index > l.lastIndex() {
		return nil
	}
	rest := l.entries[index-l.firstIndex() : min(last, l.lastIndex())-l.prevIndex]
	size := 0
	for i, entry := range rest {
		size += len(entry.Data) + entryOverhead
		if size > maxBytes && i > 0 {
			return rest[:i:i]
		}
	}
	return rest[:len(rest):len(rest)]
}

// entryOverhead is the approximate size of an encoded entry without data, in bytes.
const entryOverhead = 32

// truncateFrom removes the entries from index on. The slice is copied because
// emitted effects may still refer to the old one.
func (l *entryLog) truncateFrom(index uint64) {
	keep := index - l.firstIndex()
	l.entries = append([]*Entry(nil), l.entries[:keep]...)
}

// compactTo removes the entries up to and including index from memory.
func (l *entryLog) compactTo(index uint64) {
	if index <= l.prevIndex {
		return
	}
	term, _ := l.term(index)
	l.entries = append([]*Entry(nil), l.entries[index-l.prevIndex:]...)
	l.prevIndex, l.prevTerm = index, term
}

// compactIndex returns the index up to which the log can be compacted so that
// the entries after it, through index, are within both limits.
func (l *entryLog) compactIndex(index, maxEntries uint64, maxBytes int) uint64 {
	before, size := index, 0
	for before > l.prevIndex && index-before < maxEntries {
		size += sizeOf(l.entries[before-l.firstIndex() : before-l.prevIndex])
		if size > maxBytes {
			break
		}
		before--
	}
	return before
}

// sizeOf returns the approximate encoded size of entries, in bytes.
func sizeOf(entries []*Entry) int {
	size := 0
	for _, entry := range entries {
		size += len(entry.Data) + entryOverhead
	}
	return size
}

// conflict returns the term at index and the first index in memory with that
// term, or (0, lastIndex+1) when the log is shorter.
func (l *entryLog) conflict(index uint64) (term, first uint64) {
	if index > l.lastIndex() {
		return 0, l.lastIndex() + 1
	}
	term, _ = l.term(index)
	first = index
	for first > l.firstIndex() {
		if before, _ := l.term(first - 1); before != term {
			break
		}
		first--
	}
	return term, first
}

// lastOfTerm returns the last index with the given term, or 0.
func (l *entryLog) lastOfTerm(term uint64) uint64 {
	for index := l.lastIndex(); index >= l.prevIndex && index > 0; index-- {
		at, _ := l.term(index)
		if at == term {
			return index
		}
		if at < term {
			return 0
		}
	}
	return 0
}

// isUpToDate reports whether a log that ends at (index, term) is at least as up
// to date as this one, and so has every entry that this log may have committed.
func (l *entryLog) isUpToDate(index, term uint64) bool {
	if term != l.lastTerm() {
		return term > l.lastTerm()
	}
	return index >= l.lastIndex()
}
