package consensus

// entryLog is the part of the log that is in memory. The entries follow the
// place (prevIndex, prevTerm) without a gap.
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

// from returns the entries from index on, at most maxBytes of data but at
// least one entry, up to and including index last.
func (l *entryLog) from(index, last uint64, maxBytes int) []*Entry {
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

// entryOverhead is a rough size of an encoded entry without data, in bytes.
const entryOverhead = 32

// cutFrom removes the entries from index on. The slice is copied because
// effects that were handed out may still refer to the old one.
func (l *entryLog) cutFrom(index uint64) {
	keep := index - l.firstIndex()
	l.entries = append([]*Entry(nil), l.entries[:keep]...)
}

// forgetUpTo removes the entries up to and including index from memory.
func (l *entryLog) forgetUpTo(index uint64) {
	if index <= l.prevIndex {
		return
	}
	term, _ := l.term(index)
	l.entries = append([]*Entry(nil), l.entries[index-l.prevIndex:]...)
	l.prevIndex, l.prevTerm = index, term
}

// trailing returns the index before the last entries up to index that are
// within both limits.
func (l *entryLog) trailing(index, maxEntries uint64, maxBytes int) uint64 {
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

// upToDate reports whether a log that ends at (index, term) holds every
// entry that a quorum may have acknowledged through this log.
func (l *entryLog) upToDate(index, term uint64) bool {
	if term != l.lastTerm() {
		return term > l.lastTerm()
	}
	return index >= l.lastIndex()
}
