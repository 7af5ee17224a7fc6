package placement

import (
	"math"
	"slices"
	"time"

	"endivedeck.example/fault"
	"endivedeck.example/rank"
	"endivedeck.example/roster"
	"endivedeck.example/routes"
)

const (
	failRest    = time.Second            // after a lost request; doubled for each in a row
	failRestMax = 4 * time.Second        // a server that is back is found this soon
	busyRest    = 50 * time.Millisecond  // after a refusal: about the work of a few requests
	waitHalf    = 150 * time.Millisecond // in which what was learnt of a queue loses half of its weight
	errorHalf   = 2 * time.Second        // the same, of failures
	toldTime    = 300 * time.Millisecond // for which the word of another relay counts

	learnRate = 0.2 // weight of a new sample in a moving average
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

		readings []Reading // that this relay caused, the newest last
		told     uint64    // readings that were dropped from the front
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

	// told is what another relay told of one server.
	told struct {
		load Load
		at   time.Time
	}

	// share is what all relays have given to one server.
	share struct {
		pending time.Duration
		late    time.Duration
		chats   int
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

// Describe takes in what is known of the engines of each service.
func (t *Table) Describe(engines map[string]routes.Engine) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.engines = engines
	for _, s := range t.servers {
		s.memory.resize(engines[s.Service])
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
			known = &server{memory: newMemory(t.engines[s.Service])}
		}
		known.Server = s
		servers[s.ID] = known
		byName[s.Service] = append(byName[s.Service], known)
	}
	t.servers = servers
	t.byName = byName
}

// Loads returns what this relay has given to each server.
func (t *Table) Loads() []Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Load
	for _, s := range t.servers {
		if s.active > 0 {
			list = append(list, Load{Server: s.ID, Pending: s.pending, Late: s.late, Active: s.active, Chats: s.chats})
		}
	}
	return list
}

// Readings returns what this relay has had read since a place in the order of
// its readings, and the place after them.
func (t *Table) Readings(since uint64) ([]Reading, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	next := t.told + uint64(len(t.readings))
	since = min(max(since, t.told), next)
	return slices.Clone(t.readings[since-t.told:]), next
}

// Hear takes in what another relay has given to each server, and what it has
// had read since it last told.
func (t *Table) Hear(now time.Time, relay string, list []Load, readings []Reading) {
	loads := make(map[string]told, len(list))
	for _, l := range list {
		loads[l.Server] = told{load: l, at: now}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.others[relay] = loads
	for _, r := range readings {
		if s := t.servers[r.Server]; s != nil {
			s.memory.take(r.Prefixes, r.Tokens)
		}
	}
}

// read notes that a server is given a prompt.
func (t *Table) read(s *server, prefixes []uint64, tokens int) {
	const most = 256 // readings that are kept for relays that are told late
	s.memory.take(prefixes, tokens)
	t.readings = append(t.readings, Reading{Server: s.ID, Prefixes: prefixes, Tokens: tokens})
	if over := len(t.readings) - most; over >= most {
		t.readings = slices.Clone(t.readings[over:])
		t.told += uint64(over)
	}
}

// given sums up what this relay, and lately the others, have given to a server.
func (t *Table) given(now time.Time, s *server) share {
	sum := share{pending: s.pending, late: s.late, chats: s.chats}
	for _, loads := range t.others {
		l, known := loads[s.ID]
		if !known || now.Sub(l.at) > toldTime {
			continue
		}
		sum.pending += l.load.Pending
		sum.late += l.load.Late
		sum.chats += l.load.Chats
	}
	return sum
}

// Count returns how many servers of a service may get work.
func (t *Table) Count(service string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.byName[service])
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
func (t *Table) able(now time.Time, ask Ask) []*server {
	var able, resting []*server
	for _, s := range t.byName[ask.Service] {
		switch {
		case ask.Tried[s.ID]:
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
func (t *Table) choosePlain(now time.Time, ask Ask, able []*server) (Choice, error) {
	const unknown = 30 * time.Millisecond // of a server that hasn't answered yet
	best := slices.MinFunc(able, func(a, b *server) int {
		return compare(a.plainCost(now, ask, unknown), b.plainCost(now, ask, unknown))
	})
	cost := best.plainCost(now, ask, unknown)
	return Choice{Runner: t.ticket(now, best, ask, reading{}), Expect: time.Duration(cost)}, nil
}

func (s *server) plainCost(now time.Time, ask Ask, unknown time.Duration) float64 {
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

// ticket counts a request with a server that it is given to.
func (t *Table) ticket(now time.Time, s *server, ask Ask, r reading) *Ticket {
	k := &Ticket{Server: s.Server, table: t, reading: r}
	k.chat = len(ask.Prompt) > 0 && ask.isChat()
	s.active++
	*s.waiting(r.late) += r.work
	if k.chat {
		s.chats++
	}
	if s.heard.IsZero() {
		s.heard = now
	}
	return k
}

// waiting returns the work of a class that this relay has given to the server.
func (s *server) waiting(late bool) *time.Duration {
	if late {
		return &s.late
	}
	return &s.pending
}

// Silent returns for how long nothing has come from the ticket's server.
func (k *Ticket) Silent(now time.Time) time.Duration {
	k.table.mu.Lock()
	defer k.table.mu.Unlock()
	s := k.table.servers[k.Server.ID]
	if s == nil {
		return 0
	}
	return now.Sub(s.heard)
}

// Begun tells that the answer has begun; what follows is generated.
func (k *Ticket) Begun(now time.Time, first time.Duration) {
	k.table.mu.Lock()
	defer k.table.mu.Unlock()
	s := k.table.servers[k.Server.ID]
	if s != nil {
		s.heard = now
		if k.taken > 0 {
			k.table.read(s, k.chain, k.taken)
			k.taken = 0
		}
	}
	k.settle(now, s, first)
}

// settle takes the prompt's work off and learns from how long it took.
func (k *Ticket) settle(now time.Time, s *server, first time.Duration) {
	work := k.work
	k.work = 0
	if s == nil || work == 0 {
		return
	}
	waiting := s.waiting(k.late)
	*waiting = max(*waiting-work, 0)
	if first <= 0 || k.late {
		return
	}
	s.learnWait(now, max(first-work-k.queue, 0))
	if k.queue < idleQueue && !k.chat && work > firstTime {
		k.table.learnPace(s, float64(first)/float64(work))
	}
}

func (s *server) learnWait(now time.Time, sample time.Duration) {
	old := s.waitNow(now)
	s.wait = old + time.Duration(learnRate*float64(sample-old))
	s.waitAt = now
}

// waitNow returns the wait in the queue as learnt, which counts less as it
// gets older.
func (s *server) waitNow(now time.Time) time.Duration {
	return time.Duration(faded(float64(s.wait), now.Sub(s.waitAt), waitHalf))
}

// End gives the place back.
func (k *Ticket) End(now time.Time, o Outcome) {
	k.table.mu.Lock()
	defer k.table.mu.Unlock()
	if k.ended {
		return
	}
	k.ended = true
	s := k.table.servers[k.Server.ID]
	k.settle(now, s, 0)
	if s == nil {
		return
	}
	s.active = max(s.active-1, 0)
	if k.chat {
		s.chats = max(s.chats-1, 0)
	}
	s.note(now, o)
}

func (s *server) note(now time.Time, o Outcome) {
	switch o.Result {
	case Good:
		s.heard = now
		s.fails = 0
		s.learnError(now, 0)
		s.learnLatency(o.First)
	case Failed:
		s.heard = now
		s.learnError(now, 1)
		s.learnLatency(o.First)
	case Busy:
		s.heard = now
		s.restFor(now, busyRest)
	case Lost:
		s.learnError(now, 1)
		s.fails++
		s.restFor(now, min(failRest<<min(s.fails-1, 4), failRestMax))
	}
}

func (s *server) learnError(now time.Time, sample float64) {
	old := s.errorsNow(now)
	s.errors = old + learnRate*(sample-old)
	s.errorAt = now
}

// errorsNow returns the average of failures, which counts less as it gets
// older, so that a server is tried again.
func (s *server) errorsNow(now time.Time) float64 {
	return faded(s.errors, now.Sub(s.errorAt), errorHalf)
}

// faded returns a value that loses half of its weight in each half.
func faded(value float64, age, half time.Duration) float64 {
	if value == 0 {
		return 0
	}
	return value * math.Exp2(-float64(age)/float64(half))
}

func (s *server) restFor(now time.Time, length time.Duration) {
	if until := now.Add(length); until.After(s.rest) {
		s.rest = until
	}
}

func (s *server) learnLatency(sample time.Duration) {
	switch {
	case sample <= 0:
	case s.latency == 0:
		s.latency = sample
	default:
		s.latency += time.Duration(learnRate * float64(sample-s.latency))
	}
}
