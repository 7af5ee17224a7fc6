package quorum

// log is the part of the log behind the snapshot, in memory.
type log struct {
	snapshot Snapshot // Data isn't kept here; see Core.snapshotData
	entries  []Entry
}

func (l *log) last() uint64 {
	return l.snapshot.Index + uint64(len(l.entries))
}

func (l *log) lastTerm() uint64 {
	term, _ := l.term(l.last())
	return term
}

// term returns the term at index, and false when the index is outside of
// what the log still holds.
func (l *log) term(index uint64) (uint64, bool) {
	if index == l.snapshot.Index {
		return l.snapshot.Term, true
	}
	if index < l.snapshot.Index || index > l.last() {
		return 0, false
	}
	return l.entries[index-l.snapshot.Index-1].Term, true
}

// slice returns the entries from low up to, but not including, high.
func (l *log) slice(low, high uint64) []Entry {
	base := l.snapshot.Index + 1
	return l.entries[low-base : high-base]
}

// from returns the entries from low on, at most bytes of data but at least one.
func (l *log) from(low uint64, bytes int) []Entry {
	if low > l.last() {
		return nil
	}
	entries := l.slice(low, l.last()+1)
	size := 0
	for i := range entries {
		size += len(entries[i].Data)
		if size > bytes && i > 0 {
			return entries[:i]
		}
	}
	return entries
}

// replace puts entries at their indexes and drops what stood from there on.
func (l *log) replace(entries []Entry) {
	keep := entries[0].Index - l.snapshot.Index - 1
	l.entries = append(l.entries[:keep:keep], entries...)
}

// compact drops the entries up to and including index.
func (l *log) compact(s Snapshot) {
	if s.Index >= l.last() {
		l.entries = nil
	} else {
		l.entries = append([]Entry(nil), l.entries[s.Index-l.snapshot.Index:]...)
	}
	l.snapshot = Snapshot{Index: s.Index, Term: s.Term, Members: s.Members}
}

// members returns the members by the newest Config entry up to index.
func (l *log) members(index uint64) ([]Member, uint64) {
	for i := len(l.entries) - 1; i >= 0; i-- {
		e := l.entries[i]
		if e.Kind == MembershipChange && e.Index <= index {
			return e.Members, e.Index
		}
	}
	return l.snapshot.Members, l.snapshot.Index
}
