package roster

import (
	"slices"
	"strings"
	"time"

	"endivedeck.example/rank"
)

// keepTime is how long a ledger remembers a server that is silent or gone.
// Late announcements come seconds after they were sent.
const keepTime = 30 * time.Second

type (
	// Registry is what one control instance has heard. Create it with NewLedger.
	Registry struct {
		mu      rank.Mutex
		servers map[string]entry
	}

	entry struct {
		server Server
		heard  time.Time
	}
)

// NewRegistry returns an empty ledger.
func NewRegistry() *Registry {
	return &Registry{mu: rank.New(rank.Fleet), servers: map[string]entry{}}
}

// Announce takes an announcement in, and reports whether relays have to know.
// One that is older than what is known, or comes after the server's leave,
// counts for nothing.
func (l *Registry) Announce(now time.Time, s Server) (changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	old, known := l.servers[s.ID]
	if known && newer(&s, &old.server) <= 0 {
		return false
	}
	if known && old.server.Draining && s.StartedAt == old.server.StartedAt {
		s.Draining = true // who has once said that it leaves doesn't come back
	}
	l.servers[s.ID] = entry{server: s, heard: now}
	return !known || !same(s, old.server)
}

// Leave notes that a server is gone. The fields but for ID are those that it
// gave, and may be empty; what was known of it fills the gaps.
func (l *Registry) Leave(now time.Time, s Server) (changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	old, known := l.servers[s.ID]
	if known && s.StartedAt != 0 && s.StartedAt < old.server.StartedAt {
		return false
	}
	if known && (s.StartedAt == 0 || s.StartedAt == old.server.StartedAt) {
		seq := max(s.Seq, old.server.Seq)
		s = old.server
		s.Seq = seq
	}
	changed = !old.server.Departed || !known
	s.Departed = true
	s.Draining = true
	l.servers[s.ID] = entry{server: s, heard: now}
	return changed
}

// List returns what has been heard of each server, and forgets those of whom
// nothing has been heard for long.
func (l *Registry) List(now time.Time) []Observation {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := make([]Observation, 0, len(l.servers))
	for id, e := range l.servers {
		age := now.Sub(e.heard)
		if age > keepTime {
			delete(l.servers, id)
			continue
		}
		list = append(list, Observation{Server: e.server, Age: age})
	}
	slices.SortFunc(list, func(a, b Observation) int { return strings.Compare(a.Server.ID, b.Server.ID) })
	return list
}
