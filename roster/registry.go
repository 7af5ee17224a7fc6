package roster

import (
	"slices"
	"strings"
	"time"

	"endivedeck.example/rank"
)

// retention is how long a registry keeps a server after its last announcement or
// its departure. Delayed announcements arrive within seconds, so by then none can
// bring back a server that has left.
const retention = 30 * time.Second

type (
	// Registry holds the announcements that one control instance has received.
	// Create it with NewRegistry.
	Registry struct {
		mu      rank.Mutex
		servers map[string]record // by ID
	}

	// record is a server in a Registry.
	record struct {
		server   Server
		lastSeen time.Time
	}
)

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{mu: rank.New(rank.Fleet), servers: map[string]record{}}
}

// Announce records an announcement and reports whether relays must be notified.
// It ignores an announcement that is older than the recorded one or that
// arrives after the server has left.
func (r *Registry) Announce(now time.Time, s Server) (changed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	old, known := r.servers[s.ID]
	if known && compareAnnouncements(&s, &old.server) <= 0 {
		return false
	}
	if known && old.server.Draining && s.StartedAt == old.server.StartedAt {
		s.Draining = true // a server doesn't resume until it has restarted
	}
	r.servers[s.ID] = record{server: s, lastSeen: now}
	return !known || !equivalent(s, old.server)
}

// Leave records that a server has left and reports whether relays must be
// notified. Only s.ID is required; the other fields may be empty and are then
// taken from the server's last announcement.
func (r *Registry) Leave(now time.Time, s Server) (changed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	old, known := r.servers[s.ID]
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
	r.servers[s.ID] = record{server: s, lastSeen: now}
	return changed
}

// List returns the recorded servers by ID, after deleting those whose
// retention time has passed.
func (r *Registry) List(now time.Time) []Observation {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]Observation, 0, len(r.servers))
	for id, e := range r.servers {
		age := now.Sub(e.lastSeen)
		if age > retention {
			delete(r.servers, id)
			continue
		}
		list = append(list, Observation{Server: e.server, Age: age})
	}
	slices.SortFunc(list, func(a, b Observation) int { return strings.Compare(a.Server.ID, b.Server.ID) })
	return list
}
