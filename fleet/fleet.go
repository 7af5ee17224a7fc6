// Package fleet holds what one entry process knows of the backend servers.
//
// The control process announces which backend servers exist. Each sidecar
// sends grants, which say how long it accepts new work, and reports its load.
// Since load reports are late, the table also counts the requests that the
// entry process has in flight. Since cache events are late and may be lost, it
// keeps an estimate of the content of each engine's prefix cache.
//
// The prefix cache consists of blocks of a fixed number of prompt tokens. A
// block is identified by a hash of the model and of the prompt up to the end of
// the block.
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
	maxCachedBlocks        = 1 << 14 // recorded for one backend server
	blockTTL               = 10 * time.Minute
	baseBackoff            = time.Second // after the first failure, doubled for each consecutive one
	maxBackoffDoublings    = 5
	rateAverageWeight      = 0.2  // of the newest sample
	minIntervalTokens      = 8    // of an answer, to measure the token interval
	intervalAverageDivisor = 10   // the newest sample has a weight of 1/10
	minRateTokens          = 1024 // of a prompt, to measure the prompt rate; the fixed cost of a step dominates shorter ones
)

type (
	// Server is one backend server. Its times are offsets from the epoch of
	// the table.
	Server struct {
		Backend             message.Backend
		Incarnation         string        // of the sidecar, from its grants
		GrantUntil          time.Duration // end of the grant
		BackoffUntil        time.Duration // end of the backoff after failures
		LoadAt              time.Duration // when Load was measured
		Models              []string
		Role                string
		Load                message.Load
		BlockTokens         int           // tokens per block of the prefix cache
		InFlight            int           // requests that this entry process has in flight
		PendingTokens       int           // uncached prompt tokens of those that wait for their first token
		InFlightAtReport    int           // InFlight at the last grant
		ConsecutiveFailures int           // failed requests in a row
		PromptRate          float64       // measured prompt tokens per second; 0 if unknown
		TokenInterval       time.Duration // measured interval between two answer tokens; 0 if unknown

		cachedBlocks map[uint64]time.Time // block hash -> when it was last believed to be cached; zero if known to be evicted
	}

	// Table holds the backend servers. Create it with New.
	Table struct {
		mu      rank.Mutex
		servers map[string]*Server
		sorted  []*Server // the same servers, sorted by name
		epoch   time.Time // of the first announcement
	}

	// Selector selects the backend servers that a request may be sent to, by
	// model or by service.
	Selector struct {
		Model       string
		Service     string
		NeedsDedupe bool                           // only services that detect a repeated idempotency key
		Exclude     map[string]bool                // names to exclude, because they were tried already
		BlockHashes func(blockTokens int) []uint64 // returns the hashes of the prompt's blocks; may be nil
	}

	// Ticket is one request in flight at a backend server.
	Ticket struct {
		Name           string
		Address        string
		Incarnation    string
		UncachedTokens int // prompt tokens that are not believed to be cached

		blockHashes   []uint64
		sentAt        time.Time
		awaitingToken bool      // no token has arrived yet
		firstTokenAt  time.Time // zero until the first token arrives
	}
)

// New returns an empty table.
func New() *Table {
	return &Table{mu: rank.New(rank.Fleet), servers: map[string]*Server{}}
}

// SetBackends updates the table with the backend servers that control knows.
// One that is missing from the list is kept until its grant expires, because a
// new leader does not know all backend servers at first. SetBackends returns the
// backend servers that are new or have a new address, and the names of the
// removed ones.
func (t *Table) SetBackends(now time.Time, backends []message.Backend) (added []message.Backend, removed []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.epoch.IsZero() {
		t.epoch = now
	}
	announced := map[string]bool{}
	for _, b := range backends {
		announced[b.Name] = true
		s := t.servers[b.Name]
		if s == nil {
			s = &Server{cachedBlocks: map[uint64]time.Time{}}
			t.servers[b.Name] = s
		}
		if s.Backend.Address != b.Address {
			added = append(added, b)
		}
		s.Backend = b
	}
	for name, s := range t.servers {
		if !announced[name] && t.sinceEpoch(now) > s.GrantUntil {
			delete(t.servers, name)
			removed = append(removed, name)
		}
	}
	t.sortServers()
	return added, removed
}

func (t *Table) sortServers() {
	t.sorted = t.sorted[:0]
	for _, s := range t.servers {
		t.sorted = append(t.sorted, s)
	}
	slices.SortFunc(t.sorted, func(a, b *Server) int { return cmp.Compare(a.Backend.Name, b.Backend.Name) })
}

// ApplyGrant applies a sidecar's grant, with its load report and its cache
// events.
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
	s.GrantUntil = t.sinceEpoch(now) + g.Duration
	s.Role = g.Role
	s.Load = g.Load
	s.LoadAt = t.sinceEpoch(now) - g.Load.ReportAge
	s.InFlightAtReport = s.InFlight
	s.BlockTokens = g.BlockTokens
	s.Models = g.Models
	for _, hash := range g.EvictedBlocks {
		s.recordBlock(time.Time{}, hash) // known to be evicted, unlike a block whose event was lost
	}
	for _, hash := range g.CachedBlocks {
		s.recordBlock(now, hash)
	}
}

// sinceEpoch returns a time as an offset from the table's epoch. Comparing
// time.Time values for each candidate took a sixth of the time of a decision.
func (t *Table) sinceEpoch(now time.Time) time.Duration { return now.Sub(t.epoch) }

// Revoke ends a grant, for instance when the connection to its sidecar is lost.
func (t *Table) Revoke(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.servers[name]; s != nil {
		s.GrantUntil = 0
	}
}

// Candidates appends to candidates the backend servers that match selector and
// accept new work, sorted by name.
func (t *Table) Candidates(now time.Time, selector Selector, candidates []routing.Candidate) []routing.Candidate {
	t.mu.Lock()
	defer t.mu.Unlock()
	elapsed := t.sinceEpoch(now)
	for _, s := range t.sorted {
		if elapsed >= s.GrantUntil || elapsed < s.BackoffUntil || !s.accepts(&selector) {
			continue
		}
		name := s.Backend.Name
		if len(selector.Exclude) > 0 && selector.Exclude[name] {
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
			ReportAge:           elapsed - s.LoadAt,
			ConsecutiveFailures: s.ConsecutiveFailures,
			PromptRate:          s.PromptRate,
			MeasuredTokenTime:   s.tokenTime(),
		}
		if selector.BlockHashes != nil {
			c.CachedTokens = s.cachedTokens(now, selector.BlockHashes(s.BlockTokens))
		}
		candidates = append(candidates, c)
	}
	return candidates
}

// RecordSent records that a request with the given number of uncached prompt
// tokens is sent to a backend server.
func (t *Table) RecordSent(now time.Time, name string, selector Selector, uncached int) Ticket {
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
		UncachedTokens: uncached,

		sentAt:        now,
		awaitingToken: true,
	}
	if selector.BlockHashes != nil {
		ticket.blockHashes = selector.BlockHashes(s.BlockTokens)
	}
	s.InFlight++
	s.PendingTokens += uncached
	return ticket
}

// RecordFirstToken records the first token of a request: its prompt has been
// processed and is in the prefix cache. Further calls for the same ticket do
// nothing.
func (t *Table) RecordFirstToken(now time.Time, ticket *Ticket) {
	if !ticket.awaitingToken {
		return
	}
	ticket.awaitingToken = false
	ticket.firstTokenAt = now
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.servers[ticket.Name]
	if s == nil {
		return
	}
	seconds := now.Sub(ticket.sentAt).Seconds()
	if seconds > 0 && ticket.UncachedTokens >= minRateTokens {
		sample := float64(max(s.PendingTokens, ticket.UncachedTokens)) / seconds
		if s.PromptRate == 0 {
			s.PromptRate = sample
		}
		s.PromptRate += rateAverageWeight * (sample - s.PromptRate)
	}
	s.PendingTokens = max(0, s.PendingTokens-ticket.UncachedTokens)
	for _, hash := range ticket.blockHashes {
		s.recordBlock(now, hash)
	}
}

// RecordEnd records the end of a request, for which the backend server returned
// the given number of tokens. After a failure the backend server gets no
// requests during a backoff, which doubles with each consecutive failure.
func (t *Table) RecordEnd(now time.Time, ticket *Ticket, tokens int, failed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.servers[ticket.Name]
	if s == nil {
		return
	}
	s.InFlight = max(0, s.InFlight-1)
	if ticket.awaitingToken {
		s.PendingTokens = max(0, s.PendingTokens-ticket.UncachedTokens)
	}
	if !failed {
		s.ConsecutiveFailures = 0
		s.updateTokenInterval(now, ticket, tokens)
		return
	}
	s.ConsecutiveFailures++
	s.BackoffUntil = t.sinceEpoch(now) + baseBackoff<<min(s.ConsecutiveFailures-1, maxBackoffDoublings)
}

func (s *Server) updateTokenInterval(now time.Time, ticket *Ticket, tokens int) {
	if tokens < minIntervalTokens || ticket.firstTokenAt.IsZero() {
		return
	}
	interval := now.Sub(ticket.firstTokenAt) / time.Duration(tokens-1)
	if s.TokenInterval == 0 {
		s.TokenInterval = interval
	}
	s.TokenInterval += (interval - s.TokenInterval) / intervalAverageDivisor
}

// tokenTime returns the engine time per answer token with all slots in use, or
// 0 if it is unknown. One step of the engine generates a token for each slot
// and takes hardly longer for all of them than for a few, so the token interval
// is divided by the number of slots.
func (s *Server) tokenTime() time.Duration {
	if s.Load.Capacity == 0 {
		return 0
	}
	return s.TokenInterval / time.Duration(s.Load.Capacity)
}

// Models returns the models that at least one backend server has loaded.
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

func (s *Server) accepts(selector *Selector) bool {
	if selector.Service != "" {
		return s.Backend.Service == selector.Service && (s.Backend.Dedupe || !selector.NeedsDedupe)
	}
	return slices.Contains(s.Models, selector.Model)
}

// cachedTokens returns how many leading tokens of a prompt are believed to be
// cached. It tolerates one block of unknown state, because events may be lost.
func (s *Server) cachedTokens(now time.Time, hashes []uint64) int {
	blocks := 0
	skipped := false
	for i, hash := range hashes {
		at, ok := s.cachedBlocks[hash]
		if ok && now.Sub(at) < blockTTL {
			blocks = i + 1
			continue
		}
		if skipped || ok && at.IsZero() {
			break
		}
		skipped = true
	}
	return blocks * s.BlockTokens
}

func (s *Server) recordBlock(now time.Time, hash uint64) {
	if len(s.cachedBlocks) >= maxCachedBlocks {
		s.evictOldest()
	}
	s.cachedBlocks[hash] = now
}

// evictOldest removes the recorded blocks that are older than the mean of a
// sample, which are about half of them. If that removes none, as when all have
// the same age, it removes arbitrary ones until there is room for one more.
func (s *Server) evictOldest() {
	var sum int64
	n := int64(0)
	for _, at := range s.cachedBlocks {
		sum += at.UnixMilli() / 256
		n++
		if n == 256 {
			break
		}
	}
	mean := time.UnixMilli(sum / n * 256)
	for hash, at := range s.cachedBlocks {
		if at.Before(mean) {
			delete(s.cachedBlocks, hash)
		}
	}
	for hash := range s.cachedBlocks {
		if len(s.cachedBlocks) < maxCachedBlocks {
			break
		}
		delete(s.cachedBlocks, hash)
	}
}

// GrantedCount returns how many backend servers have a valid grant at now.
func (t *Table) GrantedCount(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	count := 0
	for _, s := range t.servers {
		if t.sinceEpoch(now) < s.GrantUntil {
			count++
		}
	}
	return count
}
