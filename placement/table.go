package placement

import (
	"slices"
	"time"

	"endivedeck.example/fault"
	"endivedeck.example/internal/engines/pace"
	"endivedeck.example/internal/engines/ramp"
	"endivedeck.example/internal/teams/share"
	"endivedeck.example/rank"
	"endivedeck.example/roster"
	"endivedeck.example/routes"
)

type (
	// Table holds the servers that may receive requests and this relay's
	// knowledge about them. Create it with New.
	Table struct {
		mu           rank.Mutex
		servers      map[string]*server       // by ID
		byService    map[string][]*server     // in the order of the list that was passed to SetServers
		peerLoads    map[string]peerReport    // by relay
		engines      map[string]routes.Engine // by service
		classes      map[string]*class        // by name
		prefillPaces map[engineKind]*pace.Model
		handoffPaces map[engineKind]*pace.Model // of the engine that decodes
		usualSpeeds  map[usualKey]usualSpeed
		learnsSpeeds bool                   // see LearnSpeeds
		shares       *share.Table           // of the engines' time, by team
		pacer        Pacer                  // nil if servers aren't paced
		peerRatios   map[engineKind]float64 // estimate of peerQuantile of the ratios of measured to expected times, with a pacer

		inserts        []CacheInsert // cache insertions that this relay has caused, oldest first
		droppedInserts uint64        // number of insertions removed from the front; sequence number of inserts[0]
	}

	// server is a backend server with this relay's load on it and measurements of
	// it.
	server struct {
		roster.Server
		active          int           // requests of this relay
		chats           int           // number of active that are chats
		pending         time.Duration // expected prefill time of this relay's requests whose responses haven't begun, without latePending
		latePending     time.Duration // the same for late requests
		recent          recentPrefill // of this relay's requests, on an engine that decodes
		queueWait       time.Duration // wait beyond the expected queue, moving average as of queueWaitAt
		queueWaitAt     time.Time
		latency         time.Duration // of requests to the first byte, moving average
		paced           bool          // as of the latest decision
		pace            ramp.Pace     // the same, if paced
		step            time.Duration // between the events of a response, moving average; measured only with a pacer
		errorRate       float64       // moving average as of errorRateAt
		errorRateAt     time.Time
		noResponseCount int       // number of requests in a row that got no response
		backoffUntil    time.Time // the server gets no requests before this time unless all are in backoff
		pausedUntil     time.Time // the server gets no requests before this time
		lastSeen        time.Time // time of its last response; at first, of its first request
		cache           *prefixCache
		speeds          [measureCount]serverSpeed
	}
)

// New returns an empty table.
func New() *Table {
	return &Table{
		mu:           rank.New(rank.Fleet),
		servers:      map[string]*server{},
		byService:    map[string][]*server{},
		peerLoads:    map[string]peerReport{},
		engines:      map[string]routes.Engine{},
		classes:      map[string]*class{},
		prefillPaces: map[engineKind]*pace.Model{},
		handoffPaces: map[engineKind]*pace.Model{},
		usualSpeeds:  map[usualKey]usualSpeed{},
		shares:       share.New(equalWeights{}),
		peerRatios:   map[engineKind]float64{},
	}
}

// Configure sets the properties of each service's engines, and removes the
// statistics of request classes that aren't in classes.
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
		s.cache.setCapacity(engines[s.Service])
	}
}

// SetServers replaces the servers that may receive requests. The state of a server
// that remains is kept, unless it has restarted or has a new address.
func (t *Table) SetServers(list []roster.Server) {
	t.mu.Lock()
	defer t.mu.Unlock()
	servers := make(map[string]*server, len(list))
	byService := map[string][]*server{}
	for _, s := range list {
		if s.Draining || s.Departed {
			continue
		}
		known := t.servers[s.ID]
		if known == nil || known.StartedAt != s.StartedAt || known.Address != s.Address {
			known = &server{cache: newPrefixCache(t.engines[s.Service])}
		}
		known.Server = s
		servers[s.ID] = known
		byService[s.Service] = append(byService[s.Service], known)
	}
	t.servers = servers
	t.byService = byService
}

// ServerCount returns the number of servers of a service that may receive requests.
func (t *Table) ServerCount(service string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.byService[service])
}

// Accepts reports whether a server may receive requests now.
func (t *Table) Accepts(now time.Time, id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.servers[id]
	return s != nil && !now.Before(s.pausedUntil)
}

// Pause keeps a server from getting requests for a time that it has asked for, up to
// maxPause. It returns that time, or 0 if the server doesn't get requests for as long
// already.
func (t *Table) Pause(now time.Time, id string, length time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.servers[id]
	length = min(length, maxPause)
	if s == nil || !now.Add(length).After(s.pausedUntil) {
		return 0
	}
	s.pausedUntil = now.Add(length)
	return length
}

// PauseLeft returns the time until a server of the service may get requests again, if
// it has servers and all of them are paused. Otherwise it returns 0.
func (t *Table) PauseLeft(now time.Time, service string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	var least time.Duration
	for _, s := range t.byService[service] {
		left := s.pausedUntil.Sub(now)
		if left <= 0 {
			return 0
		}
		if least == 0 || left < least {
			least = left
		}
	}
	return least
}

// HasAlternative reports whether a server that the request doesn't exclude, and that is
// neither paused nor in backoff, could run it to its end.
func (t *Table) HasAlternative(now time.Time, req Request) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.byService[req.Service] {
		prefillOnly := len(req.Prompt) > 0 && s.Stage == roster.Prefill
		if !req.Excluded[s.ID] && !prefillOnly && !now.Before(s.pausedUntil) && !now.Before(s.backoffUntil) {
			return true
		}
	}
	return false
}

// Choose places a request. It returns a fault.Unavailable error if the service
// has no server for it, and a fault.Overloaded error if the response would come
// too late.
func (t *Table) Choose(now time.Time, req Request) (Choice, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.choose(now, req)
}

// choose is Choose. The caller must hold t.mu.
func (t *Table) choose(now time.Time, req Request) (Choice, error) {
	candidates := t.candidates(now, req)
	if len(candidates) == 0 {
		return Choice{}, fault.New(fault.Unavailable, fault.NotRun, "no backend server of service %q is available", req.Service)
	}
	switch {
	case len(req.Prompt) == 0:
		return t.chooseByLatency(now, req, candidates)
	case req.isChat():
		return t.chooseChat(now, req, candidates)
	}
	return t.choosePrompt(now, req, candidates)
}

// candidates returns the servers of the request's service that are neither
// excluded by the request nor paused nor in backoff. If all others are in backoff, it
// returns these. A server that is paced and has no room is left out while another of its
// stage is there.
func (t *Table) candidates(now time.Time, req Request) []*server {
	room := t.newRoom(now)
	var candidates, inBackoff, limited []*server
	for _, s := range t.byService[req.Service] {
		switch {
		case req.Excluded[s.ID]:
			req.preview.exclude(s, reasonExcluded, 0)
		case now.Before(s.pausedUntil):
			req.preview.exclude(s, reasonPaused, s.pausedUntil.Sub(now))
		case now.Before(s.backoffUntil):
			inBackoff = append(inBackoff, s)
			req.preview.exclude(s, reasonBackoff, s.backoffUntil.Sub(now))
		case !room.left(s):
			limited = append(limited, s)
			req.preview.exclude(s, reasonPaced, 0)
		default:
			candidates = append(candidates, s)
		}
	}
	candidates = withMissingStages(candidates, limited)
	if len(candidates) == 0 {
		candidates = inBackoff
	}
	for _, s := range candidates {
		req.preview.exclude(s, "", 0)
		req.preview.paced(s)
	}
	return candidates
}

// chooseByLatency selects the server with the lowest latencyCost.
func (t *Table) chooseByLatency(now time.Time, req Request, candidates []*server) (Choice, error) {
	defaultLatency := t.defaultLatency(candidates)
	best := slices.MinFunc(candidates, func(a, b *server) int {
		return compareFloats(a.latencyCost(now, req, defaultLatency), b.latencyCost(now, req, defaultLatency))
	})
	if req.preview != nil {
		for _, s := range candidates {
			req.preview.latency(s, s.latencyCost(now, req, defaultLatency))
		}
	}
	cost := best.latencyCost(now, req, defaultLatency)
	return Choice{Runner: t.assign(now, best, req, prefillJob{}), FirstByte: time.Duration(cost)}, nil
}

// latencyCost returns the expected latency of one more request at the server, in
// nanoseconds, from its recent latency, its active requests of this relay, its
// error rate and its failure domain.
func (s *server) latencyCost(now time.Time, req Request, defaultLatency time.Duration) float64 {
	const (
		errorWeight     = 4.0                       // cost of a failure, as a multiple of the latency
		crossDomainCost = float64(time.Millisecond) // added for another failure domain
	)
	latency := s.latency
	switch {
	case s.paced:
		latency = s.pacedLatency(defaultLatency)
	case latency == 0:
		latency = defaultLatency
	}
	cost := float64(latency) * float64(1+s.active) * (1 + errorWeight*s.currentErrorRate(now))
	if s.Domain != req.Domain {
		cost += crossDomainCost
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
