package placement

import (
	"slices"
	"time"
)

// toldTime is for how long the word of another relay counts.
const toldTime = 300 * time.Millisecond

type (
	// told is what another relay told of one server.
	told struct {
		load Load
		at   time.Time
	}

	// share is what all relays have given to one server.
	share struct {
		pending time.Duration
		late    time.Duration
		chats   int
	}
)

// Loads returns what this relay has given to each server.
func (t *Table) Loads() []Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Load
	for _, s := range t.servers {
		if s.active > 0 {
			list = append(list, Load{Server: s.ID, Pending: s.pending, Late: s.late, Active: s.active, Chats: s.chats})
		}
	}
	return list
}

// CacheInserts returns what this relay has had read since a place in the order of
// its readings, and the place after them.
func (t *Table) CacheInserts(since uint64) ([]CacheInsert, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	next := t.dropped + uint64(len(t.readings))
	since = min(max(since, t.dropped), next)
	return slices.Clone(t.readings[since-t.dropped:]), next
}

// UpdatePeer takes in what another relay has given to each server, and what it has
// had read since it last told.
func (t *Table) UpdatePeer(now time.Time, relay string, list []Load, readings []CacheInsert) {
	loads := make(map[string]told, len(list))
	for _, l := range list {
		loads[l.Server] = told{load: l, at: now}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.others[relay] = loads
	for _, r := range readings {
		if s := t.servers[r.Server]; s != nil {
			s.memory.take(r.Prefixes, r.Tokens)
		}
	}
}

// read notes that a server is given a prompt.
func (t *Table) read(s *server, prefixes []uint64, tokens int) {
	const most = 256 // readings that are kept for relays that are told late
	s.memory.take(prefixes, tokens)
	t.readings = append(t.readings, CacheInsert{Server: s.ID, Prefixes: prefixes, Tokens: tokens})
	if over := len(t.readings) - most; over >= most {
		t.readings = slices.Clone(t.readings[over:])
		t.dropped += uint64(over)
	}
}

// given sums up what this relay, and lately the others, have given to a server.
func (t *Table) given(now time.Time, s *server) share {
	sum := share{pending: s.pending, late: s.late, chats: s.chats}
	for _, loads := range t.others {
		l, known := loads[s.ID]
		if !known || now.Sub(l.at) > toldTime {
			continue
		}
		sum.pending += l.load.Pending
		sum.late += l.load.Late
		sum.chats += l.load.Chats
	}
	return sum
}
