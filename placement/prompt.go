package placement

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"endivedeck.example/fault"
	"endivedeck.example/roster"
)

const (
	// A prompt's reading as the engines' sheets have it. What it takes longer
	// is learnt as a wait.
	prefillRate          = 400.0                  // tokens in a millisecond
	decodeEngineFraction = 0.38                   // of that rate at an engine that generates meanwhile: half, in small pieces between its steps
	attentionTime        = 65 * time.Nanosecond   // for each thousand pairs of a new token and one before it
	prefillOverhead      = 3 * time.Millisecond   // besides, for each prompt
	decodeStepTime       = 700 * time.Microsecond // of generating one token

	handoffTime       = 3 * time.Millisecond   // to hand a prompt's KV cache to another engine, with the second call
	transferSetupTime = 500 * time.Microsecond // before KV cache begins to move
	crossDomainTime   = time.Millisecond       // more, between failure domains

	maxDecodeQueue   = 5 * time.Millisecond  // of a prompt's reading, before which a more urgent request goes
	lateResidualTime = 12 * time.Millisecond // left on average of a late prompt that is being read; it isn't broken off

	maxWaitFraction  = 0.6  // of a latency objective that a request may wait; the rest is for its prompt and the ways
	ownPrefillWeight = 0.25 // of the time for its own prompt that counts as waiting
	maxLateFraction  = 0.4  // of a caller's time that the prompt of a late answer may take; the rest is for others that come, and for generating

	// Chances that what is expected in memory isn't there.
	localMissRate  = 0.05 // in the server's own
	remoteMissRate = 0.15 // in that of another one, by the time that it is asked

	// evictionCostFraction is what a token that is put into memory costs, against reading
	// one: something else yields, about half of which is asked for again.
	evictionCostFraction = 0.2
)

type (
	// promptSearch is the placing of one long prompt.
	promptSearch struct {
		table       *Table
		now         time.Time
		ask         Ask
		prefixes    []uint64
		candidates  []*server
		cacheSource *server // that holds most of its shared parts; nil for none
	}

	// plan is how a server would read the prompt.
	plan struct {
		server      *server
		runner      *server       // that generates, where that is another one
		cacheSource *server       // whose memory has more of the prompt; nil for none
		late        bool          // behind what can still be in time
		chats       int           // that the server generates
		queueTime   time.Duration // before it is read
		prefillTime time.Duration // to read what has to be read
		newTokens   int           // tokens that the server's memory takes in
		firstByte   time.Duration // until the answer begins
		cost        time.Duration // the same, and what it costs others
	}
)

// choosePrompt takes the engine, or the two, by which the answer begins first.
// A prompt whose answer can't be in time any more goes behind those that can
// where it is still served soon enough, and is refused elsewhere.
func (t *Table) choosePrompt(now time.Time, ask Ask, able []*server) (Choice, error) {
	r := &promptSearch{table: t, now: now, ask: ask, prefixes: ask.prefixHashes(), candidates: able}
	r.cacheSource = r.findCacheSource()
	class := t.class(ask)
	if ask.Target > 0 || ask.Firm {
		p, err := r.bestPlan(false)
		if err != nil {
			return Choice{}, err
		}
		if ask.Firm || ask.meetsObjective(p.queueTime, p.firstByte, class.waitFactor(ask, r.uncachedPrefillTime())) {
			class.recordServed(ask, 1)
			return r.commit(p), nil
		}
	}
	p, err := r.bestPlan(true)
	if err != nil {
		return Choice{}, err
	}
	if !ask.usefulWhenLate(p.firstByte) {
		class.recordServed(ask, 0)
		return Choice{}, errTooLate(ask, p.queueTime)
	}
	class.recordServed(ask, lateServedCredit)
	return r.commit(p), nil
}

// meetsObjective reports whether an answer is expected to begin within the objective.
// The time for the request's own prompt counts little, so that no size of
// requests is refused much more often than others; stretch is from class.stretch.
func (a *Ask) meetsObjective(queue, expect time.Duration, stretch float64) bool {
	wait := queue + time.Duration(ownPrefillWeight*float64(expect-queue))
	return wait <= time.Duration(stretch*maxWaitFraction*float64(a.Target))
}

// uncachedPrefillTime returns the time to read what no engine holds of the prompt.
func (r *promptSearch) uncachedPrefillTime() time.Duration {
	held := 0
	if r.cacheSource != nil {
		held = r.ask.prefixTokens(r.cacheSource.cachedDepth(r.prefixes))
	}
	return basePrefillTime(prefillRate, float64(r.ask.Tokens-held), r.ask.Tokens)
}

// usefulWhenLate reports whether a late answer comes while its caller still waits.
func (a *Ask) usefulWhenLate(expect time.Duration) bool {
	return expect < time.Duration(maxLateFraction*float64(a.Left))
}

func errTooLate(ask Ask, queue time.Duration) error {
	return fault.New(fault.Overloaded, fault.No, "the request would wait %v; its answer is wanted in %v and of use for %v", queue, ask.Target, ask.Left)
}

func errNoDecoder(ask Ask) error {
	return fault.New(fault.Unavailable, fault.No, "no engine of %s generates now", ask.Service)
}

// findCacheSource returns the server that holds most of the prompt's shared parts, a
// near one before others. One that rests, or has failed this request, isn't
// asked for them.
func (r *promptSearch) findCacheSource() *server {
	var best *server
	most := 0
	for _, s := range r.candidates {
		depth := s.cachedDepth(r.prefixes)
		if depth > most || depth > 0 && depth == most && s.Domain == r.ask.Domain {
			best, most = s, depth
		}
	}
	return best
}

// bestPlan returns the plan of the least cost. A late answer isn't worth that
// chats are held up by its prompt.
func (r *promptSearch) bestPlan(late bool) (plan, error) {
	var reader, whole plan
	var runner *server
	var runnerQueue, runnerCost time.Duration
	for _, s := range r.candidates {
		p := r.plan(s, late)
		if s.Stage == roster.Prefill {
			if !r.ask.Direct && (reader.server == nil || p.cost < reader.cost) {
				reader = p
			}
			continue
		}
		if (whole.server == nil || p.cost < whole.cost) && (!late || p.chats == 0) {
			whole = p
		}
		if queue, cost := r.decodeCost(s); runner == nil || cost < runnerCost {
			runner, runnerQueue, runnerCost = s, queue, cost
		}
	}
	if runner == nil {
		return plan{}, errNoDecoder(r.ask)
	}
	if reader.server != nil && (whole.server == nil || reader.cost+handoffTime+runnerCost < whole.cost) {
		reader.runner = runner
		reader.queueTime += runnerQueue
		reader.firstByte += runnerQueue + handoffTime
		return reader, nil
	}
	if whole.server == nil {
		return plan{}, fault.New(fault.Overloaded, fault.No, "all engines of %s generate chats, and the answer would be late", r.ask.Service)
	}
	return whole, nil
}

// plan reckons how a server would read the prompt, with what another one holds.
func (r *promptSearch) plan(s *server, late bool) plan {
	given := r.table.loadOf(r.now, s)
	p := plan{server: s, late: late, chats: given.chats, queueTime: s.queueTime(r.now, given, late)}
	if s.Stage != roster.Prefill {
		p.queueTime += time.Duration(given.chats) * chatInterference
	}
	depth := s.cachedDepth(r.prefixes)
	held := r.ask.prefixTokens(depth)
	moved := 0
	var move time.Duration
	if r.cacheSource != nil && r.cacheSource != s {
		if more := r.cacheSource.cachedDepth(r.prefixes); more > depth {
			p.cacheSource = r.cacheSource
			moved = r.ask.prefixTokens(more) - held
			move = transferSetupTime + transferTime(r.table.engines[s.Service], moved, r.cacheSource.Domain != s.Domain)
		}
	}
	read := float64(r.ask.Tokens-held-moved) + localMissRate*float64(held) + remoteMissRate*float64(moved)
	p.prefillTime = r.table.prefillTime(s, read, r.ask.Tokens)
	p.newTokens = r.ask.Tokens - held
	p.firstByte = p.queueTime + move + p.prefillTime + s.crossDomainCost(r.ask)
	p.cost = p.firstByte + evictionCost(p.newTokens)
	return p
}

// decodeCost is the time until an engine that gets the KV cache generates. The
// request goes before prompts that wait there, but for one that is being read.
func (r *promptSearch) decodeCost(s *server) (queue, cost time.Duration) {
	taken := r.ask.Tokens - r.ask.prefixTokens(s.cachedDepth(r.prefixes))
	queue = min(s.queueTime(r.now, r.table.loadOf(r.now, s), false), maxDecodeQueue)
	return queue, queue + decodeStepTime*time.Duration(1+s.active/4) + evictionCost(taken) + s.crossDomainCost(r.ask)
}

// commit gives the request to the servers of a plan.
func (r *promptSearch) commit(p plan) Choice {
	t := r.table
	c := Choice{Late: p.late, Queue: p.queueTime, Expect: p.firstByte}
	if p.cacheSource != nil {
		c.Source = p.cacheSource.Address
	}
	t.recordInsert(p.server, r.prefixes, p.newTokens)
	k := t.assign(r.now, p.server, r.ask, prefillJob{prefillTime: p.prefillTime, queueTime: p.queueTime, late: p.late})
	if p.runner == nil {
		c.Runner = k
		return c
	}
	c.Reader = k
	taken := r.ask.Tokens - r.ask.prefixTokens(p.runner.cachedDepth(r.prefixes))
	c.Runner = t.assign(r.now, p.runner, r.ask, prefillJob{prefillTime: decodeStepTime, prefixes: r.prefixes, newTokens: taken})
	return c
}

// prefixHashes returns a name for each prefix of whole parts but the last, which is
// the request's own.
func (a *Ask) prefixHashes() []uint64 {
	var names []uint64
	var text [16]byte
	name := uint64(0)
	for _, p := range a.Prompt[:len(a.Prompt)-1] {
		binary.LittleEndian.PutUint64(text[:], name)
		binary.LittleEndian.PutUint64(text[8:], p.ID)
		name = xxhash.Sum64(text[:])
		names = append(names, name)
	}
	return names
}

// prefixTokens returns the tokens of the prompt's first parts. A caller may count its
// parts wrongly: they have no more tokens than the whole prompt.
func (a *Ask) prefixTokens(parts int) int {
	tokens := 0
	for _, p := range a.Prompt[:parts] {
		tokens += p.Tokens
	}
	return min(tokens, a.Tokens)
}

// cachedDepth returns how many of a prompt's prefixes the server is expected to hold.
func (s *server) cachedDepth(chain []uint64) int {
	for i, prefix := range chain {
		if !s.cache.contains(prefix) {
			return i
		}
	}
	return len(chain)
}

// queueTime is the time that a request waits at the server. What can still be in
// time goes before what can't, but for a prompt that is being read.
func (s *server) queueTime(now time.Time, given totalLoad, late bool) time.Duration {
	wait := given.pending + s.currentQueueWait(now)
	if late {
		return wait + given.late
	}
	return wait + min(given.late, lateResidualTime)
}

func (s *server) crossDomainCost(ask Ask) time.Duration {
	if s.Domain == ask.Domain {
		return 0
	}
	return crossDomainTime
}

// evictionCost is what tokens that are put into an engine's memory cost.
func evictionCost(tokens int) time.Duration {
	return time.Duration(evictionCostFraction * float64(tokens) / prefillRate * float64(time.Millisecond))
}

// prefillTime is the time in which a server reads so many tokens of a prompt of
// the given size.
func (t *Table) prefillTime(s *server, tokens float64, whole int) time.Duration {
	rate := prefillRate
	if s.Stage == roster.Decode {
		rate *= decodeEngineFraction
	}
	return time.Duration(t.calibration(s) * float64(basePrefillTime(rate, tokens, whole)))
}

func basePrefillTime(rate, tokens float64, whole int) time.Duration {
	took := float64(prefillOverhead) + tokens/rate*float64(time.Millisecond) + tokens*float64(whole)/1000*float64(attentionTime)
	return time.Duration(took)
}
