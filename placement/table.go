package placement

import (
	"slices"
	"time"

	"endivedeck.example/fault"
	"endivedeck.example/rank"
	"endivedeck.example/roster"
	"endivedeck.example/routes"
)

type (
	// Table holds the servers that may get work, and what this relay knows of
	// them. Create it with New.
	Table struct {
		mu      rank.Mutex
		servers map[string]*server
		byName  map[string][]*server       // by service, in the order of their IDs
		others  map[string]map[string]told // of servers, by relay
		engines map[string]routes.Engine   // by service
		classes map[string]*class
		paces   map[pace]float64 // time for a prompt against readTime's, moving average

		readings []CacheInsert // that this relay caused, the newest last
		dropped  uint64        // readings that were dropped from the front
	}

	server struct {
		roster.Server
		active  int
		chats   int
		pending time.Duration // of reading prompts that were given and haven't begun to be answered
		late    time.Duration // the same, of those that go behind the others
		wait    time.Duration // of requests in its queue, when last learnt
		waitAt  time.Time
		latency time.Duration // of requests without prompts, moving average
		errors  float64       // moving average of failures, as of errorAt
		errorAt time.Time
		fails   int       // in a row
		rest    time.Time // it gets no work before
		heard   time.Time // last sign of life
		memory  *memory
	}
)

// New returns an empty table.
func New() *Table {
	return &Table{
		mu:      rank.New(rank.Fleet),
		servers: map[string]*server{},
		byName:  map[string][]*server{},
		others:  map[string]map[string]told{},
		engines: map[string]routes.Engine{},
		classes: map[string]*class{},
		paces:   map[pace]float64{},
	}
}

// Configure takes in what is known of the engines of each service, and forgets
// the classes of requests that aren't among the given ones.
func (t *Table) Configure(engines map[string]routes.Engine, classes map[string]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.engines = engines
	for name := range t.classes {
		if !classes[name] {
			delete(t.classes, name)
		}
	}
	for _, s := range t.servers {
		s.memory.resize(engines[s.Service])
	}
}

// SetServers replaces the servers that may get work. What is known of those that
// stay is kept.
func (t *Table) SetServers(list []roster.Server) {
	t.mu.Lock()
	defer t.mu.Unlock()
	servers := make(map[string]*server, len(list))
	byName := map[string][]*server{}
	for _, s := range list {
		if s.Draining || s.Departed {
			continue
		}
		known := t.servers[s.ID]
		if known == nil || known.StartedAt != s.StartedAt || known.Address != s.Address {
			known = &server{memory: newMemory(t.engines[s.Service])}
		}
		known.Server = s
		servers[s.ID] = known
		byName[s.Service] = append(byName[s.Service], known)
	}
	t.servers = servers
	t.byName = byName
}

// ServerCount returns how many servers of a service may get work.
func (t *Table) ServerCount(service string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.byName[service])
}

// HasServer reports whether a server may still get work.
func (t *Table) HasServer(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.servers[id] != nil
}

// Choose places a request. It fails with fault.Unavailable when no server may
// get it.
func (t *Table) Choose(now time.Time, ask Request) (Choice, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	able := t.able(now, ask)
	if len(able) == 0 {
		return Choice{}, fault.New(fault.Unavailable, fault.No, "no backend server of %s takes work now", ask.Service)
	}
	switch {
	case len(ask.Prompt) == 0:
		return t.choosePlain(now, ask, able)
	case ask.isChat():
		return t.chooseChat(now, ask, able)
	}
	return t.choosePrompt(now, ask, able)
}

// able returns the servers that aren't resting; if all are, all of them.
func (t *Table) able(now time.Time, ask Request) []*server {
	var able, resting []*server
	for _, s := range t.byName[ask.Service] {
		switch {
		case ask.Excluded[s.ID]:
		case now.Before(s.rest):
			resting = append(resting, s)
		default:
			able = append(able, s)
		}
	}
	if len(able) == 0 {
		return resting
	}
	return able
}

// choosePlain takes the server that is expected to answer first, by how long
// it took lately and what it has from this relay.
func (t *Table) choosePlain(now time.Time, ask Request, able []*server) (Choice, error) {
	const unknown = 30 * time.Millisecond // of a server that hasn't answered yet
	best := slices.MinFunc(able, func(a, b *server) int {
		return compare(a.plainCost(now, ask, unknown), b.plainCost(now, ask, unknown))
	})
	cost := best.plainCost(now, ask, unknown)
	return Choice{Runner: t.ticket(now, best, ask, reading{}), FirstByte: time.Duration(cost)}, nil
}

func (s *server) plainCost(now time.Time, ask Request, unknown time.Duration) float64 {
	const (
		errorWeight = 4.0 // a failure costs about as much as a few answers
		farCost     = float64(time.Millisecond)
	)
	latency := s.latency
	if latency == 0 {
		latency = unknown
	}
	cost := float64(latency) * float64(1+s.active) * (1 + errorWeight*s.errorsNow(now))
	if s.Domain != ask.Domain {
		cost += farCost
	}
	return cost
}

func compare(a, b float64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}
