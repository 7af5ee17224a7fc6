package quorum

// log holds in memory the entries that follow the last snapshot.
type log struct {
	snapshot Snapshot // without Data; see Core.snapshotData
	entries  []Entry
}

func (l *log) lastIndex() uint64 {
	return l.snapshot.Index + uint64(len(l.entries))
}

func (l *log) lastTerm() uint64 {
	term, _ := l.term(l.lastIndex())
	return term
}

// term returns the term of the entry at index. It returns false if the entry
// was compacted or doesn't exist yet.
func (l *log) term(index uint64) (uint64, bool) {
	if index == l.snapshot.Index {
		return l.snapshot.Term, true
	}
	if index < l.snapshot.Index || index > l.lastIndex() {
		return 0, false
	}
	return l.entries[index-l.snapshot.Index-1].Term, true
}

// slice returns the entries in [low, high).
func (l *log) slice(low, high uint64) []Entry {
	first := l.snapshot.Index + 1
	return l.entries[low-first : high-first]
}

// entriesFrom returns the entries from low on that fit into maxBytes of data, but
// at least one if there is any.
func (l *log) entriesFrom(low uint64, maxBytes int) []Entry {
	if low > l.lastIndex() {
		return nil
	}
	entries := l.slice(low, l.lastIndex()+1)
	size := 0
	for i := range entries {
		size += len(entries[i].Data)
		if size > maxBytes && i > 0 {
			return entries[:i]
		}
	}
	return entries
}

// truncateAndAppend removes all entries from the index of the first given entry
// on and appends the given ones.
func (l *log) truncateAndAppend(entries []Entry) {
	keep := entries[0].Index - l.snapshot.Index - 1
	l.entries = append(l.entries[:keep:keep], entries...)
}

// compact removes the entries that the snapshot covers.
func (l *log) compact(s Snapshot) {
	if s.Index >= l.lastIndex() {
		l.entries = nil
	} else {
		l.entries = append([]Entry(nil), l.entries[s.Index-l.snapshot.Index:]...)
	}
	l.snapshot = Snapshot{Index: s.Index, Term: s.Term, Members: s.Members}
}

// membersAt returns the members as of index, and the index of the entry or
// snapshot that defines them.
func (l *log) membersAt(index uint64) ([]Member, uint64) {
	for i := len(l.entries) - 1; i >= 0; i-- {
		e := l.entries[i]
		if e.Kind == MembershipChange && e.Index <= index {
			return e.Members, e.Index
		}
	}
	return l.snapshot.Members, l.snapshot.Index
}
