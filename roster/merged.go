package roster

import (
	"slices"
	"strings"
	"time"

	"endivedeck.example/rank"
)

type (
	// Roster merges the registries of all control instances. Create it with New.
	Roster struct {
		timeout        time.Duration
		mu             rank.Mutex
		servers        map[string]*entry    // by ID
		connectedSince map[string]time.Time // by source, for the sources that are connected
		departures     []departure          // learned within retention, in that order
		forgotten      uint64               // number of departures removed from the front
	}

	// entry is a server in a Roster.
	entry struct {
		server    Server
		firstSeen time.Time // of this start
		lastSeen  time.Time
	}

	// departure is an announcement by which a server leaves.
	departure struct {
		server    Server
		at        time.Time // of the announcement
		learnedAt time.Time
	}
)

// New returns an empty roster. It leaves out servers whose last announcement to
// any control instance is longer ago than timeout.
func New(timeout time.Duration) *Roster {
	return &Roster{timeout: timeout, mu: rank.New(rank.Fleet), servers: map[string]*entry{}, connectedSince: map[string]time.Time{}}
}

// Merge merges a list of one source, a control instance, and reports whether the
// servers that may receive requests have changed.
func (r *Roster) Merge(now time.Time, source string, list []Observation) (changed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, connected := r.connectedSince[source]; !connected {
		r.connectedSince[source] = now
	}
	for _, o := range list {
		changed = r.merge(now, now.Add(-o.Age), o.Server) || changed
	}
	return changed
}

// MergeDepartures merges departures that another relay has learned, and reports whether
// the servers that may receive requests have changed. Other announcements are ignored:
// another relay doesn't vouch for servers.
func (r *Roster) MergeDepartures(now time.Time, list []Observation) (changed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, o := range list {
		if o.Server.Draining || o.Server.Departed {
			changed = r.merge(now, now.Add(-o.Age), o.Server) || changed
		}
	}
	return changed
}

// Departures returns the departures learned lately, from sequence number since on, and
// the sequence number after them. They are passed on to other relays, since the path from
// the control instance that was told to some relays may be slow or lost.
func (r *Roster) Departures(now time.Time, since uint64) (list []Observation, next uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := 0
	for old < len(r.departures) && now.Sub(r.departures[old].learnedAt) > retention {
		old++
	}
	r.departures = r.departures[old:]
	r.forgotten += uint64(old)
	next = r.forgotten + uint64(len(r.departures))
	for _, d := range r.departures[min(max(since, r.forgotten), next)-r.forgotten:] {
		list = append(list, Observation{Server: d.server, Age: now.Sub(d.at)})
	}
	return list, next
}

// merge merges one announcement and reports whether the server has changed. The
// caller must hold r.mu.
func (r *Roster) merge(now, lastSeen time.Time, s Server) (changed bool) {
	old := r.servers[s.ID]
	if old == nil {
		r.servers[s.ID] = &entry{server: s, firstSeen: lastSeen, lastSeen: lastSeen}
		r.noteDeparture(now, lastSeen, s)
		return true
	}
	if s.Departed && s.StartedAt == 0 && !old.firstSeen.After(lastSeen) {
		// The control instance didn't know the server that left. Later announcements of
		// this start, which may arrive late, don't take that back.
		s = old.server
		s.Departed = true
		s.Draining = true
	}
	order := compareAnnouncements(&s, &old.server)
	if order < 0 {
		return false
	}
	if lastSeen.After(old.lastSeen) {
		old.lastSeen = lastSeen
	}
	if order == 0 {
		return false
	}
	if old.server.Draining && s.StartedAt == old.server.StartedAt {
		s.Draining = true
	}
	if s.StartedAt != old.server.StartedAt {
		old.firstSeen = lastSeen
	}
	changed = !equivalent(s, old.server)
	old.server = s
	if changed {
		r.noteDeparture(now, lastSeen, s)
	}
	return changed
}

// noteDeparture keeps an announcement by which a server leaves for Departures. The caller
// must hold r.mu.
func (r *Roster) noteDeparture(now, at time.Time, s Server) {
	if s.Draining || s.Departed {
		r.departures = append(r.departures, departure{server: s, at: at, learnedAt: now})
	}
}

// MarkDraining records that a server has said in a response that it leaves, and
// reports whether that is new. It has no effect on a server that has restarted since:
// only the start that said so leaves.
func (r *Roster) MarkDraining(id string, startedAt int64) (changed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.servers[id]
	if e == nil || e.server.StartedAt != startedAt || e.server.Draining {
		return false
	}
	e.server.Draining = true
	return true
}

// Disconnected records that the connection to a source is lost.
func (r *Roster) Disconnected(source string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.connectedSince, source)
}

// Servers returns, by ID, the servers that have neither left nor timed out;
// those that are draining are included. If two servers have the same address,
// only the one that started last is returned. Servers time out only while the
// relay is connected to a control instance, and at the earliest one timeout
// after it connected: a relay that is cut off from all of them keeps the
// servers that it knows.
func (r *Roster) Servers(now time.Time) []Server {
	r.mu.Lock()
	defer r.mu.Unlock()
	byAddress := map[string]*entry{}
	for id, e := range r.servers {
		if now.Sub(e.lastSeen) > 2*retention {
			delete(r.servers, id)
			continue
		}
		if e.server.Departed || r.timedOut(now, e) {
			continue
		}
		if other := byAddress[e.server.Address]; other == nil || other.server.StartedAt < e.server.StartedAt {
			byAddress[e.server.Address] = e
		}
	}
	list := make([]Server, 0, len(byAddress))
	for _, e := range byAddress {
		list = append(list, e.server)
	}
	slices.SortFunc(list, func(a, b Server) int { return strings.Compare(a.ID, b.ID) })
	return list
}

func (r *Roster) timedOut(now time.Time, e *entry) bool {
	if len(r.connectedSince) == 0 || now.Sub(e.lastSeen) <= r.timeout {
		return false
	}
	for _, since := range r.connectedSince {
		if now.Sub(since) > r.timeout {
			return true
		}
	}
	return false
}
