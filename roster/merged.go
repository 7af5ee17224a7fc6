package roster

import (
	"slices"
	"strings"
	"time"

	"endivedeck.example/rank"
)

type (
	// Roster merges the ledgers of all control instances. Create it with New.
	Roster struct {
		silence time.Duration
		mu      rank.Mutex
		servers map[string]*entry
		live    map[string]time.Time // when each source that speaks began to
	}
)

// New returns an empty roster. A server of which no control instance has heard
// for silence is left out.
func New(silence time.Duration) *Roster {
	return &Roster{silence: silence, mu: rank.New(rank.Fleet), servers: map[string]*entry{}, live: map[string]time.Time{}}
}

// Merge takes in the whole ledger of one source, and reports whether the
// servers that may get work have changed.
func (r *Roster) Merge(now time.Time, source string, list []Observation) (changed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, speaks := r.live[source]; !speaks {
		r.live[source] = now
	}
	for _, h := range list {
		changed = r.hear(now.Add(-h.Age), h.Server) || changed
	}
	return changed
}

func (r *Roster) hear(heard time.Time, s Server) (changed bool) {
	old := r.servers[s.ID]
	if old == nil {
		r.servers[s.ID] = &entry{server: s, heard: heard}
		return true
	}
	order := newer(&s, &old.server)
	if order < 0 {
		return false
	}
	if heard.After(old.heard) {
		old.heard = heard
	}
	if order == 0 {
		return false
	}
	if old.server.Draining && s.StartedAt == old.server.StartedAt {
		s.Draining = true
	}
	changed = !same(s, old.server)
	old.server = s
	return changed
}

// Disconnected tells that a source can't be heard any more.
func (r *Roster) Disconnected(source string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.live, source)
}

// Servers returns the servers that aren't gone, by ID; those that leave are
// among them. Where two claim one address, the one that started last has it.
// Silence counts only while some control instance is heard, and from when it
// first was: a relay that is cut off keeps what it knows.
func (r *Roster) Servers(now time.Time) []Server {
	r.mu.Lock()
	defer r.mu.Unlock()
	owners := map[string]*entry{}
	for id, e := range r.servers {
		if now.Sub(e.heard) > 2*keepTime {
			delete(r.servers, id)
			continue
		}
		if e.server.Departed || r.silent(now, e) {
			continue
		}
		if other := owners[e.server.Address]; other == nil || other.server.StartedAt < e.server.StartedAt {
			owners[e.server.Address] = e
		}
	}
	list := make([]Server, 0, len(owners))
	for _, e := range owners {
		list = append(list, e.server)
	}
	slices.SortFunc(list, func(a, b Server) int { return strings.Compare(a.ID, b.ID) })
	return list
}

func (r *Roster) silent(now time.Time, e *entry) bool {
	if len(r.live) == 0 || now.Sub(e.heard) <= r.silence {
		return false
	}
	for _, since := range r.live {
		if now.Sub(since) > r.silence {
			return true
		}
	}
	return false
}
