package placement

import (
	"slices"
	"time"

	"endivedeck.example/roster"
)

// peerLoadTTL is how long the load reported by another relay is used.
const peerLoadTTL = 300 * time.Millisecond

type (
	// peerLoad is the load that another relay reported for one server.
	peerLoad struct {
		load       Load
		receivedAt time.Time
	}

	// totalLoad is the load that all relays together put on one server.
	totalLoad struct {
		pending time.Duration // as Load.Pending
		late    time.Duration // as Load.Late
		active  int
		chats   int
	}
)

// Loads returns the load that this relay puts on each server. Servers without
// active requests are omitted.
func (t *Table) Loads(now time.Time) []Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Load
	for _, s := range t.servers {
		if recent := s.recent.now(now).Truncate(time.Millisecond); s.active > 0 || recent > 0 {
			list = append(list, Load{Server: s.ID, Pending: s.pending, Late: s.latePending, Active: s.active, Chats: s.chats, Recent: recent})
		}
	}
	return list
}

// CacheInserts returns the cache insertions that this relay has caused, from
// sequence number since on, and the sequence number after them. Insertions that
// are no longer kept are missing.
func (t *Table) CacheInserts(since uint64) ([]CacheInsert, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	next := t.droppedInserts + uint64(len(t.inserts))
	since = min(max(since, t.droppedInserts), next)
	return slices.Clone(t.inserts[since-t.droppedInserts:]), next
}

// CacheSnapshot returns what the caches of the selected servers are expected to
// contain, for a relay that has just started.
func (t *Table) CacheSnapshot(selected func(serverID string) bool) (inserts []CacheInsert, listings []CacheListing) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, s := range t.servers {
		if !selected(id) {
			continue
		}
		var prefixes, parts []uint64
		for prefix := range s.cache.lastUse {
			if s.cache.contains(prefix) {
				prefixes = append(prefixes, prefix)
			}
		}
		for part := range s.cache.listed {
			if s.cache.containsPart(part) {
				parts = append(parts, part)
			}
		}
		if len(prefixes) > 0 {
			inserts = append(inserts, CacheInsert{Server: id, Prefixes: prefixes})
		}
		if len(parts) > 0 {
			listings = append(listings, CacheListing{Server: id, Parts: parts})
		}
	}
	return inserts, listings
}

// RecordListing records which parts a server has listed as cached.
func (t *Table) RecordListing(l CacheListing) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.servers[l.Server]; s != nil {
		s.cache.list(l.Parts)
	}
}

// CachingServers returns the servers of all services that have a KV cache.
func (t *Table) CachingServers() []roster.Server {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []roster.Server
	for _, s := range t.servers {
		if t.engines[s.Service].CacheTokens > 0 {
			list = append(list, s.Server)
		}
	}
	return list
}

// UpdatePeer records a report of another relay: its current load on each server,
// and the cache insertions that it has caused since its last report.
func (t *Table) UpdatePeer(now time.Time, relay string, list []Load, inserts []CacheInsert) {
	loads := make(map[string]peerLoad, len(list))
	for _, l := range list {
		loads[l.Server] = peerLoad{load: l, receivedAt: now}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.peerLoads[relay] = loads
	for _, inserted := range inserts {
		if s := t.servers[inserted.Server]; s != nil {
			s.cache.insert(inserted.Prefixes, inserted.Tokens)
		}
	}
}

// RemovePeer removes the load of a relay that has left.
func (t *Table) RemovePeer(relay string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.peerLoads, relay)
	t.shares.RemovePeer(relay)
}

// recordInsert records that a server inserts a prompt into its cache, and keeps
// the insertion for the other relays.
func (t *Table) recordInsert(s *server, prefixes []uint64, tokens int) {
	const minKept = 256 // insertions kept at least, for relays that receive reports late
	s.cache.insert(prefixes, tokens)
	t.inserts = append(t.inserts, CacheInsert{Server: s.ID, Prefixes: prefixes, Tokens: tokens})
	if over := len(t.inserts) - minKept; over >= minKept {
		t.inserts = slices.Clone(t.inserts[over:])
		t.droppedInserts += uint64(over)
	}
}

// loadOf returns the load on a server: that of this relay and that which other
// relays have reported within peerLoadTTL.
func (t *Table) loadOf(now time.Time, s *server) totalLoad {
	sum := totalLoad{pending: s.pending, late: s.latePending, active: s.active, chats: s.chats}
	for _, loads := range t.peerLoads {
		l, known := loads[s.ID]
		if !known || now.Sub(l.receivedAt) > peerLoadTTL {
			continue
		}
		sum.pending += l.load.Pending
		sum.late += l.load.Late
		sum.active += l.load.Active
		sum.chats += l.load.Chats
	}
	return sum
}
