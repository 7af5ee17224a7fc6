// Package fleet is what one entry knows of the backend servers.
//
// Control tells which backend servers there are; each sidecar itself says for
// how long it takes new work and how busy it is. The table adds what the entry
// has in flight there, because reports are late, and what it believes to be in
// each engine's prefix cache, because cache events are late and have gaps.
package fleet

import (
	"cmp"
	"slices"
	"time"

	"endivedeck.example/message"
	"endivedeck.example/rank"
	"endivedeck.example/routing"
)

const (
	mostPrefixes = 1 << 14 // pieces remembered for one backend server
	prefixAge    = 10 * time.Minute
	restTime     = time.Second // a backend server that failed rests for so long, doubled by each failure
	mostRests    = 5
	rateWeight   = 0.2
	gapTokens    = 8    // an answer's least tokens to learn the gap between two from
	gapPart      = 10   // the newest answer is one part of so many in the average
	rateTokens   = 1024 // a prompt's least tokens to learn the rate from; a step's own time hides that of shorter ones
)

type (
	// Server is one backend server.
	Server struct {
		Backend             message.Backend
		Incarnation         string        // as its grants have it
		GrantUntil          time.Duration // these three since the table began
		BackoffUntil        time.Duration
		LoadAt              time.Duration
		Models              []string
		Role                string
		Load                message.Load
		PieceTokens         int
		InFlight            int
		PendingTokens       int
		InFlightAtReport    int // this entry's requests in flight when the report came
		ConsecutiveFailures int
		PromptRate          float64
		TokenInterval       time.Duration // between two tokens of an answer, as observed

		prefixes map[uint64]time.Time // piece -> when it was last believed to be cached; zero when known to be gone
	}

	// Table holds the backend servers. Create it with New.
	Table struct {
		mu      rank.Mutex
		servers map[string]*Server
		ordered []*Server // the same, by name
		begun   time.Time // of the first announcement
	}

	// Selector says which backend servers a request may go to.
	Selector struct {
		Model       string
		Service     string
		NeedsDedupe bool            // only services that recognise a repeated key
		Exclude     map[string]bool // names that were tried already
		BlockHashes func(pieceTokens int) []uint64
	}

	// Ticket is one request in flight at a backend server.
	Ticket struct {
		Name           string
		Address        string
		Incarnation    string
		UncachedTokens int // prompt tokens that aren't believed to be cached
		prefix         []uint64
		sent           time.Time
		waiting        bool
		first          time.Time // when the first token came
	}
)

// New returns an empty table.
func New() *Table {
	return &Table{mu: rank.New(rank.Fleet), servers: map[string]*Server{}}
}

// SetBackends takes in what control knows. A backend server that control doesn't
// name is kept while its sidecar still grants, since a new leader doesn't know
// all of them yet. It returns the names that are new or have moved, and those
// that are gone.
func (t *Table) SetBackends(now time.Time, backends []message.Backend) (added []message.Backend, gone []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.begun.IsZero() {
		t.begun = now
	}
	named := map[string]bool{}
	for _, b := range backends {
		named[b.Name] = true
		s := t.servers[b.Name]
		if s == nil {
			s = &Server{prefixes: map[uint64]time.Time{}}
			t.servers[b.Name] = s
		}
		if s.Backend.Address != b.Address {
			added = append(added, b)
		}
		s.Backend = b
	}
	for name, s := range t.servers {
		if !named[name] && t.since(now) > s.GrantUntil {
			delete(t.servers, name)
			gone = append(gone, name)
		}
	}
	t.order()
	return added, gone
}

func (t *Table) order() {
	t.ordered = t.ordered[:0]
	for _, s := range t.servers {
		t.ordered = append(t.ordered, s)
	}
	slices.SortFunc(t.ordered, func(a, b *Server) int { return cmp.Compare(a.Backend.Name, b.Backend.Name) })
}

// ApplyGrant takes in a sidecar's grant.
func (t *Table) ApplyGrant(now time.Time, name string, g message.Grant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.servers[name]
	if s == nil {
		return
	}
	if s.Incarnation != g.Incarnation {
		s.Incarnation = g.Incarnation
		s.ConsecutiveFailures = 0
		s.BackoffUntil = 0
	}
	s.GrantUntil = t.since(now) + g.For
	s.Role = g.Role
	s.Load = g.Load
	s.LoadAt = t.since(now) - g.Load.Age
	s.InFlightAtReport = s.InFlight
	s.PieceTokens = g.PieceTokens
	s.Models = g.Models
	for _, hash := range g.Evicted {
		s.remember(time.Time{}, hash) // known to be gone, which isn't a gap
	}
	for _, hash := range g.Cached {
		s.remember(now, hash)
	}
}

// since returns a time as the table keeps times: comparing whole ones for each
// candidate took a sixth of a decision.
func (t *Table) since(now time.Time) time.Duration { return now.Sub(t.begun) }

// Revoke ends a grant, for instance when the way to its sidecar is lost.
func (t *Table) Revoke(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.servers[name]; s != nil {
		s.GrantUntil = 0
	}
}

// Candidates appends the backend servers that take new work of this kind to
// candidates, by name.
func (t *Table) Candidates(now time.Time, ask Selector, candidates []routing.Candidate) []routing.Candidate {
	t.mu.Lock()
	defer t.mu.Unlock()
	since := t.since(now)
	for _, s := range t.ordered {
		if since >= s.GrantUntil || since < s.BackoffUntil || !s.serves(&ask) {
			continue
		}
		name := s.Backend.Name
		if len(ask.Exclude) > 0 && ask.Exclude[name] {
			continue
		}
		c := routing.Candidate{
			Name:                name,
			FailureDomain:       s.Backend.FailureDomain,
			Role:                s.Role,
			Running:             s.Load.Running,
			Queued:              s.Load.Queued,
			Slots:               s.Load.Capacity,
			InFlight:            s.InFlight,
			PendingTokens:       s.PendingTokens,
			InFlightGrowth:      s.InFlight - s.InFlightAtReport,
			ReportAge:           since - s.LoadAt,
			ConsecutiveFailures: s.ConsecutiveFailures,
			PromptRate:          s.PromptRate,
			MeasuredTokenTime:   s.tokenTime(),
		}
		if ask.BlockHashes != nil {
			c.CachedTokens = s.hit(now, ask.BlockHashes(s.PieceTokens))
		}
		candidates = append(candidates, c)
	}
	return candidates
}

// RecordSent notes that a request goes to a backend server.
func (t *Table) RecordSent(now time.Time, name string, ask Selector, todo int) Ticket {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.servers[name]
	if s == nil {
		return Ticket{Name: name}
	}
	ticket := Ticket{
		Name:           name,
		Address:        s.Backend.Address,
		Incarnation:    s.Incarnation,
		UncachedTokens: todo,
		sent:           now,
		waiting:        true,
	}
	if ask.BlockHashes != nil {
		ticket.prefix = ask.BlockHashes(s.PieceTokens)
	}
	s.InFlight++
	s.PendingTokens += todo
	return ticket
}

// RecordFirstToken notes a request's first token: its prompt is worked through and, for
// now, in the prefix cache.
func (t *Table) RecordFirstToken(now time.Time, ticket *Ticket) {
	if !ticket.waiting {
		return
	}
	ticket.waiting = false
	ticket.first = now
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.servers[ticket.Name]
	if s == nil {
		return
	}
	took := now.Sub(ticket.sent).Seconds()
	if took > 0 && ticket.UncachedTokens >= rateTokens {
		seen := float64(max(s.PendingTokens, ticket.UncachedTokens)) / took
		if s.PromptRate == 0 {
			s.PromptRate = seen
		}
		s.PromptRate += rateWeight * (seen - s.PromptRate)
	}
	s.PendingTokens = max(0, s.PendingTokens-ticket.UncachedTokens)
	for _, hash := range ticket.prefix {
		s.remember(now, hash)
	}
}

// RecordEnd notes that a request has left a backend server, which gave it so many
// tokens. A failure lets the backend server rest for a while, longer each time
// in a row.
func (t *Table) RecordEnd(now time.Time, ticket *Ticket, tokens int, failed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.servers[ticket.Name]
	if s == nil {
		return
	}
	s.InFlight = max(0, s.InFlight-1)
	if ticket.waiting {
		s.PendingTokens = max(0, s.PendingTokens-ticket.UncachedTokens)
	}
	if !failed {
		s.ConsecutiveFailures = 0
		s.observeGap(now, ticket, tokens)
		return
	}
	s.ConsecutiveFailures++
	s.BackoffUntil = t.since(now) + restTime<<min(s.ConsecutiveFailures-1, mostRests)
}

func (s *Server) observeGap(now time.Time, ticket *Ticket, tokens int) {
	if tokens < gapTokens || ticket.first.IsZero() {
		return
	}
	gap := now.Sub(ticket.first) / time.Duration(tokens-1)
	if s.TokenInterval == 0 {
		s.TokenInterval = gap
	}
	s.TokenInterval += (gap - s.TokenInterval) / gapPart
}

// tokenTime returns the engine time that one token of an answer takes when
// all slots are in use, or 0 where it isn't known: a step serves them all and
// takes hardly longer than with a few.
func (s *Server) tokenTime() time.Duration {
	if s.Load.Capacity == 0 {
		return 0
	}
	return s.TokenInterval / time.Duration(s.Load.Capacity)
}

// Models returns the models that some backend server holds.
func (t *Table) Models() map[string]bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	models := map[string]bool{}
	for _, s := range t.servers {
		for _, model := range s.Models {
			models[model] = true
		}
	}
	return models
}

func (s *Server) serves(ask *Selector) bool {
	if ask.Service != "" {
		return s.Backend.Service == ask.Service && (s.Backend.Dedupe || !ask.NeedsDedupe)
	}
	return slices.Contains(s.Models, ask.Model)
}

// hit returns how many leading tokens of a prompt are believed to be cached.
// One piece that isn't known of is passed over, because events have gaps.
func (s *Server) hit(now time.Time, prefix []uint64) int {
	pieces := 0
	gap := false
	for i, hash := range prefix {
		at, ok := s.prefixes[hash]
		if ok && now.Sub(at) < prefixAge {
			pieces = i + 1
			continue
		}
		if gap || ok && at.IsZero() {
			break
		}
		gap = true
	}
	return pieces * s.PieceTokens
}

func (s *Server) remember(now time.Time, hash uint64) {
	if len(s.prefixes) >= mostPrefixes {
		s.dropOldest()
	}
	s.prefixes[hash] = now
}

// dropOldest halves the memory by age, approximately: it keeps what is newer
// than the middle of a few samples.
func (s *Server) dropOldest() {
	var sum int64
	n := int64(0)
	for _, at := range s.prefixes {
		sum += at.UnixMilli() / 256
		n++
		if n == 256 {
			break
		}
	}
	middle := time.UnixMilli(sum / n * 256)
	for hash, at := range s.prefixes {
		if at.Before(middle) {
			delete(s.prefixes, hash)
		}
	}
	for hash := range s.prefixes {
		if len(s.prefixes) < mostPrefixes {
			break
		}
		delete(s.prefixes, hash)
	}
}

// GrantedCount returns how many backend servers grant new work at now.
func (t *Table) GrantedCount(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	count := 0
	for _, s := range t.servers {
		if t.since(now) < s.GrantUntil {
			count++
		}
	}
	return count
}
