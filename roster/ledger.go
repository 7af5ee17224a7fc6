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
	// Ledger is what one control instance has heard. Create it with NewLedger.
	Ledger struct {
		mu      rank.Mutex
		servers map[string]entry
	}

	entry struct {
		server Server
		heard  time.Time
	}
)

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{mu: rank.New(rank.Fleet), servers: map[string]entry{}}
}

// Announce takes an announcement in, and reports whether relays have to know.
// One that is older than what is known, or comes after the server's leave,
// counts for nothing.
func (l *Ledger) Announce(now time.Time, s Server) (changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	old, known := l.servers[s.ID]
	if known && newer(&s, &old.server) <= 0 {
		return false
	}
	if known && old.server.Leaving && s.Born == old.server.Born {
		s.Leaving = true // who has once said that it leaves doesn't come back
	}
	l.servers[s.ID] = entry{server: s, heard: now}
	return !known || !same(s, old.server)
}

// Leave notes that a server is gone. The fields but for ID are those that it
// gave, and may be empty; what was known of it fills the gaps.
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
	l.servers[s.ID] = entry{server: s, heard: now}
	return changed
}

// List returns what has been heard of each server, and forgets those of whom
// nothing has been heard for long.
func (l *Ledger) List(now time.Time) []Heard {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := make([]Heard, 0, len(l.servers))
	for id, e := range l.servers {
		age := now.Sub(e.heard)
		if age > keepTime {
			delete(l.servers, id)
			continue
		}
		list = append(list, Heard{Server: e.server, Age: age})
	}
	slices.SortFunc(list, func(a, b Heard) int { return strings.Compare(a.Server.ID, b.Server.ID) })
	return list
}
