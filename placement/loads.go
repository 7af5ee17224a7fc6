package placement

import (
	"slices"
	"time"

	"endivedeck.example/roster"
)

// peerLoadTTL is how long the load reported by another relay is used. A relay on a thin
// link reports every 200 ms.
const peerLoadTTL = 600 * time.Millisecond

type (
	// peerReport is the load that another relay has reported.
	peerReport struct {
		loads      map[string]Load // by server ID
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

// Loads returns the load that this relay puts on each server, and what it has measured of
// their speeds. Servers without active requests or recent samples are omitted.
func (t *Table) Loads(now time.Time) []Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Load
	for _, s := range t.servers {
		l := Load{
			Server: s.ID, Pending: s.pending, Late: s.latePending, Active: s.active, Chats: s.chats, Recent: s.recent.now(now).Truncate(time.Millisecond),
			Answering: s.speeds[answering].recent(now), Generating: s.speeds[generating].recent(now),
		}
		if l.Active > 0 || l.Answering.Count > 0 || l.Generating.Count > 0 || l.Recent > 0 {
			list = append(list, l)
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

// LoadChanges returns the loads that differ from those that were sent before, which it
// updates. A server whose load has ended is listed without load.
func LoadChanges(sent map[string]Load, current []Load) []Load {
	var changes []Load
	listed := make(map[string]bool, len(current))
	for _, l := range current {
		listed[l.Server] = true
		if sent[l.Server] != l {
			sent[l.Server] = l
			changes = append(changes, l)
		}
	}
	for id := range sent {
		if !listed[id] {
			delete(sent, id)
			changes = append(changes, Load{Server: id})
		}
	}
	return changes
}

// UpdatePeer records a report of another relay: its current load on each server,
// and the cache insertions that it has caused since its last report.
func (t *Table) UpdatePeer(now time.Time, relay string, list []Load, inserts []CacheInsert) {
	t.mu.Lock()
	defer t.mu.Unlock()
	before := t.peerLoads[relay].loads
	t.peerLoads[relay] = peerReport{loads: make(map[string]Load, len(list)), receivedAt: now}
	t.applyReport(now, relay, before, list, inserts)
}

// ChangePeer records the changes since the last report of another relay, as LoadChanges
// lists them, and the cache insertions since then.
func (t *Table) ChangePeer(now time.Time, relay string, changes []Load, inserts []CacheInsert) {
	t.mu.Lock()
	defer t.mu.Unlock()
	report := t.peerLoads[relay]
	if report.loads == nil {
		report.loads = map[string]Load{}
	}
	report.receivedAt = now
	t.peerLoads[relay] = report
	t.applyReport(now, relay, report.loads, changes, inserts)
}

// applyReport applies what another relay has reported. before has its loads until then.
// The caller must hold mu.
func (t *Table) applyReport(now time.Time, relay string, before map[string]Load, list []Load, inserts []CacheInsert) {
	loads := t.peerLoads[relay].loads
	for _, l := range list {
		if s := t.servers[l.Server]; s != nil {
			t.heardSpeeds(now, s, before[l.Server], l)
		}
		if l == (Load{Server: l.Server}) {
			delete(loads, l.Server)
			continue
		}
		loads[l.Server] = l
	}
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
	for _, report := range t.peerLoads {
		if now.Sub(report.receivedAt) > peerLoadTTL {
			continue
		}
		l := report.loads[s.ID]
		sum.pending += l.Pending
		sum.late += l.Late
		sum.active += l.Active
		sum.chats += l.Chats
	}
	return sum
}
