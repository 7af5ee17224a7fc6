package placement

import (
	"slices"
	"time"
)

// peerLoadTTL is for how long the word of another relay counts.
const peerLoadTTL = 300 * time.Millisecond

type (
	// peerLoad is what another relay peerLoad of one server.
	peerLoad struct {
		load       Load
		receivedAt time.Time
	}

	// totalLoad is what all relays have given to one server.
	totalLoad struct {
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
			list = append(list, Load{Server: s.ID, Pending: s.pending, Late: s.latePending, Active: s.active, Chats: s.chats})
		}
	}
	return list
}

// Readings returns what this relay has had read since a place in the order of
// its readings, and the place after them.
func (t *Table) Readings(since uint64) ([]Reading, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	next := t.droppedInserts + uint64(len(t.inserts))
	since = min(max(since, t.droppedInserts), next)
	return slices.Clone(t.inserts[since-t.droppedInserts:]), next
}

// Hear takes in what another relay has given to each server, and what it has
// had read since it last told.
func (t *Table) Hear(now time.Time, relay string, list []Load, readings []Reading) {
	loads := make(map[string]peerLoad, len(list))
	for _, l := range list {
		loads[l.Server] = peerLoad{load: l, receivedAt: now}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.peerLoads[relay] = loads
	for _, r := range readings {
		if s := t.servers[r.Server]; s != nil {
			s.cache.insert(r.Prefixes, r.Tokens)
		}
	}
}

// recordInsert notes that a server is given a prompt.
func (t *Table) recordInsert(s *server, prefixes []uint64, tokens int) {
	const most = 256 // readings that are kept for relays that are told late
	s.cache.insert(prefixes, tokens)
	t.inserts = append(t.inserts, Reading{Server: s.ID, Prefixes: prefixes, Tokens: tokens})
	if over := len(t.inserts) - most; over >= most {
		t.inserts = slices.Clone(t.inserts[over:])
		t.droppedInserts += uint64(over)
	}
}

// loadOf sums up what this relay, and lately the others, have loadOf to a server.
func (t *Table) loadOf(now time.Time, s *server) totalLoad {
	sum := totalLoad{pending: s.pending, late: s.latePending, chats: s.chats}
	for _, loads := range t.peerLoads {
		l, known := loads[s.ID]
		if !known || now.Sub(l.receivedAt) > peerLoadTTL {
			continue
		}
		sum.pending += l.load.Pending
		sum.late += l.load.Late
		sum.chats += l.load.Chats
	}
	return sum
}
