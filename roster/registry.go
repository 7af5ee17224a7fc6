package roster

import (
	"slices"
	"strings"
	"time"

	"endivedeck.example/rank"
)

// retention is how long a ledger keeps a server after its last announcement or
// its leave. Delayed announcements arrive within seconds, so by then none can
// bring back a server that has left.
const retention = 30 * time.Second

type (
	// Ledger holds the announcements that one control instance has received.
	// Create it with NewLedger.
	Ledger struct {
		mu      rank.Mutex
		servers map[string]entry // by ID
	}

	entry struct {
		server   Server
		lastSeen time.Time
	}
)

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{mu: rank.New(rank.Fleet), servers: map[string]entry{}}
}

// Announce records an announcement and reports whether relays must be notified.
// It ignores an announcement that is older than the recorded one or that
// arrives after the server has left.
func (l *Ledger) Announce(now time.Time, s Server) (changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	old, known := l.servers[s.ID]
	if known && compareAnnouncements(&s, &old.server) <= 0 {
		return false
	}
	if known && old.server.Leaving && s.Born == old.server.Born {
		s.Leaving = true // a server doesn't resume until it has restarted
	}
	l.servers[s.ID] = entry{server: s, lastSeen: now}
	return !known || !equivalent(s, old.server)
}

// Leave records that a server has left and reports whether relays must be
// notified. Only s.ID is required; the other fields may be empty and are then
// taken from the server's last announcement.
func (l *Ledger) Leave(now time.Time, s Server) (changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	old, known := l.servers[s.ID]
	if known && s.Born != 0 && s.Born < old.server.Born {
		return false
	}
	if known && (s.Born == 0 || s.Born == old.server.Born) {
		seq := max(s.Seq, old.server.Seq)
		s = old.server
		s.Seq = seq
	}
	changed = !old.server.Gone || !known
	s.Gone = true
	s.Leaving = true
	l.servers[s.ID] = entry{server: s, lastSeen: now}
	return changed
}

// List returns the recorded servers by ID, after deleting those whose
// retention time has passed.
func (l *Ledger) List(now time.Time) []Heard {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := make([]Heard, 0, len(l.servers))
	for id, e := range l.servers {
		age := now.Sub(e.lastSeen)
		if age > retention {
			delete(l.servers, id)
			continue
		}
		list = append(list, Heard{Server: e.server, Age: age})
	}
	slices.SortFunc(list, func(a, b Heard) int { return strings.Compare(a.Server.ID, b.Server.ID) })
	return list
}
