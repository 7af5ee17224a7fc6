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
		mu           rank.Mutex
		servers      map[string]*server
		byService    map[string][]*server           // by service, in the order of their IDs
		peerLoads    map[string]map[string]peerLoad // of servers, by relay
		engines      map[string]routes.Engine       // by service
		classes      map[string]*class
		calibrations map[engineKind]float64 // time for a prompt against readTime's, moving average

		inserts        []Reading // that this relay caused, the newest last
		droppedInserts uint64    // readings that were dropped from the front
	}

	server struct {
		roster.Server
		active       int
		chats        int
		pending      time.Duration // of reading prompts that were given and haven't begun to be answered
		latePending  time.Duration // the same, of those that go behind the others
		queueWait    time.Duration // of requests in its queue, when last learnt
		queueWaitAt  time.Time
		latency      time.Duration // of requests without prompts, moving average
		errorRate    float64       // moving average of failures, as of errorAt
		errorRateAt  time.Time
		losses       int       // in a row
		backoffUntil time.Time // it gets no work before
		lastSeen     time.Time // last sign of life
		cache        *prefixCache
	}
)

// New returns an empty table.
func New() *Table {
	return &Table{
		mu:           rank.New(rank.Fleet),
		servers:      map[string]*server{},
		byService:    map[string][]*server{},
		peerLoads:    map[string]map[string]peerLoad{},
		engines:      map[string]routes.Engine{},
		classes:      map[string]*class{},
		calibrations: map[engineKind]float64{},
	}
}

// Describe takes in what is known of the engines of each service, and forgets
// the classes of requests that aren't among the given ones.
func (t *Table) Describe(engines map[string]routes.Engine, classes map[string]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.engines = engines
	for name := range t.classes {
		if !classes[name] {
			delete(t.classes, name)
		}
	}
	for _, s := range t.servers {
		s.cache.setCapacity(engines[s.Service])
	}
}

// Update replaces the servers that may get work. What is known of those that
// stay is kept.
func (t *Table) Update(list []roster.Server) {
	t.mu.Lock()
	defer t.mu.Unlock()
	servers := make(map[string]*server, len(list))
	byName := map[string][]*server{}
	for _, s := range list {
		if s.Leaving || s.Gone {
			continue
		}
		known := t.servers[s.ID]
		if known == nil || known.Born != s.Born || known.Address != s.Address {
			known = &server{cache: newPrefixCache(t.engines[s.Service])}
		}
		known.Server = s
		servers[s.ID] = known
		byName[s.Service] = append(byName[s.Service], known)
	}
	t.servers = servers
	t.byService = byName
}

// Count returns how many servers of a service may get work.
func (t *Table) Count(service string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.byService[service])
}

// Known reports whether a server may still get work.
func (t *Table) Known(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.servers[id] != nil
}

// Choose places a request. It fails with fault.Unavailable when no server may
// get it.
func (t *Table) Choose(now time.Time, ask Ask) (Choice, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	able := t.candidates(now, ask)
	if len(able) == 0 {
		return Choice{}, fault.New(fault.Unavailable, fault.No, "no backend server of %s takes work now", ask.Service)
	}
	switch {
	case len(ask.Prompt) == 0:
		return t.chooseByLatency(now, ask, able)
	case ask.isChat():
		return t.chooseChat(now, ask, able)
	}
	return t.choosePrompt(now, ask, able)
}

// candidates returns the servers that aren't resting; if all are, all of them.
func (t *Table) candidates(now time.Time, ask Ask) []*server {
	var able, resting []*server
	for _, s := range t.byService[ask.Service] {
		switch {
		case ask.Tried[s.ID]:
		case now.Before(s.backoffUntil):
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

// chooseByLatency takes the server that is expected to answer first, by how long
// it took lately and what it has from this relay.
func (t *Table) chooseByLatency(now time.Time, ask Ask, able []*server) (Choice, error) {
	const unknown = 30 * time.Millisecond // of a server that hasn't answered yet
	best := slices.MinFunc(able, func(a, b *server) int {
		return compareFloats(a.latencyCost(now, ask, unknown), b.latencyCost(now, ask, unknown))
	})
	cost := best.latencyCost(now, ask, unknown)
	return Choice{Runner: t.assign(now, best, ask, prefillJob{}), Expect: time.Duration(cost)}, nil
}

func (s *server) latencyCost(now time.Time, ask Ask, unknown time.Duration) float64 {
	const (
		errorWeight = 4.0 // a failure costs about as much as a few answers
		farCost     = float64(time.Millisecond)
	)
	latency := s.latency
	if latency == 0 {
		latency = unknown
	}
	cost := float64(latency) * float64(1+s.active) * (1 + errorWeight*s.currentErrorRate(now))
	if s.Domain != ask.Domain {
		cost += farCost
	}
	return cost
}

func compareFloats(a, b float64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}
