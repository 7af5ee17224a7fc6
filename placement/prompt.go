package placement

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"endivedeck.example/fault"
	"endivedeck.example/roster"
)

const (
	// Nominal prefill times. The actual ones are learned, see package pace.
	prefillRate          = 400.0                  // tokens per millisecond
	decodeEngineFraction = 0.38                   // of prefillRate on a decode engine: half, in small chunks between decode steps
	attentionTime        = 65 * time.Nanosecond   // per 1000 pairs of a new token and a token of the prompt
	prefillOverhead      = 3 * time.Millisecond   // per prompt
	decodeStepTime       = 700 * time.Microsecond // to generate one token

	handoffTime       = 3 * time.Millisecond   // nominal time until another engine decodes, without the KV cache transfer
	transferSetupTime = 500 * time.Microsecond // before a KV cache transfer begins
	crossDomainTime   = time.Millisecond       // additional latency between failure domains

	maxDecodeQueue       = 5 * time.Millisecond  // longest wait for the prompt being prefilled; a request to decode goes before queued prompts
	maxUnevenDecodeQueue = 40 * time.Millisecond // the same where engines are uneven; queued prompts delay the events after the first
	lateResidualTime     = 12 * time.Millisecond // average time left of a late prompt being prefilled, which isn't preempted

	maxWaitFraction  = 0.6  // fraction of the latency objective that a request may wait; the rest is for its own prefill and the network
	ownPrefillWeight = 0.25 // fraction of the request's own prefill time that counts as waiting
	maxLateFraction  = 0.4  // fraction of the caller's remaining time in which a late response must begin; the rest is for later arrivals and for decoding

	// interferenceWeight is the cost of a prefill for each request that is running
	// on the same engine, as a fraction of the prefill time: the prefill delays
	// their tokens.
	interferenceWeight = 0.07

	// Probabilities that a prefix expected in a cache isn't there.
	localMissRate  = 0.05 // in the server's own cache
	remoteMissRate = 0.15 // in another server's cache, when the transfer begins

	// evictionCostFraction is the cost of inserting a token into a cache,
	// relative to its prefill. It evicts another token, and about half of the
	// evicted tokens are requested again.
	evictionCostFraction = 0.2
)

type (
	// promptSearch is the search for the servers of one long prompt.
	promptSearch struct {
		table        *Table
		now          time.Time
		req          Request
		prefixes     []uint64
		candidates   []*server
		prefixSource *server // has the longest cached prefix; nil if no server has any
	}

	// plan is the expected course of a request if server prefills its prompt.
	plan struct {
		server         *server
		decoder        *server       // nil if server decodes too
		prefixSource   *server       // its cache has a longer prefix than that of server; nil if none does
		transferTime   time.Duration // nominal time to transfer the KV cache to decoder
		handoffTime    time.Duration // expected time from the end of the prefill until decoder has generated a token
		usualHandoff   time.Duration // the same if decoder is as fast as usual
		late           bool          // yields to requests that can still meet their objectives
		chats          int           // that server decodes
		queueTime      time.Duration // at server and decoder together
		prefillTime    time.Duration // for the tokens that have to be prefilled
		nominalPrefill time.Duration // the same at the nominal rates
		usualTime      time.Duration // queue and prefill on an engine that is as fast as usual
		newTokens      int           // inserted into the cache of server
		firstByte      time.Duration // until the response begins
		cost           time.Duration // firstByte and the cost to other requests
	}
)

// choosePrompt selects one engine, or one for prefill and one for decoding, by
// which the response begins first. A request that can't meet its latency objective
// yields to those that can; it is refused if the response would then come too late
// to be useful.
func (t *Table) choosePrompt(now time.Time, req Request, candidates []*server) (Choice, error) {
	ps := &promptSearch{table: t, now: now, req: req, prefixes: req.prefixHashes(), candidates: candidates}
	ps.prefixSource = ps.findPrefixSource()
	class, work := t.class(req), ps.uncachedPrefillTime()
	if req.ObjectiveLeft > 0 || req.MustPlace {
		waitFactor := class.waitFactor(req, work)
		p, err := ps.bestPlan(false)
		if err != nil {
			return Choice{}, err
		}
		if req.MustPlace || req.meetsObjective(p.queueTime, p.firstByte, t.allowedWait(now, req, work, p, waitFactor)) {
			class.recordServed(req, 1)
			t.recordGiven(now, req, work)
			return ps.commit(p), nil
		}
	}
	p, err := ps.bestPlan(true)
	if err != nil {
		return Choice{}, err
	}
	t.press(now, req, p)
	if !req.usefulWhenLate(p.firstByte) {
		class.recordServed(req, 0)
		return req.returnChoice(p, work, len(candidates)), errTooLate(req, p.queueTime)
	}
	class.recordServed(req, lateServedCredit)
	t.recordGiven(now, req, work)
	return ps.commit(p), nil
}

// ChooseDecoder assigns a request whose prefill has run on prefiller to an engine that
// decodes. It returns a fault.Unavailable error if there is none.
func (t *Table) ChooseDecoder(now time.Time, req Request, prefiller roster.Server) (*Ticket, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	ps := &promptSearch{table: t, now: now, req: req, prefixes: req.prefixHashes(), candidates: t.candidates(now, req)}
	decoder, _ := ps.bestDecoder()
	if decoder == nil {
		return nil, errNoDecoder(req)
	}
	p := plan{server: &server{Server: prefiller}, decoder: decoder}
	ps.addHandoff(&p)
	return ps.assignDecoder(p), nil
}

// meetsObjective reports whether the wait until the response begins is short
// enough for the latency objective. The request's own prefill counts only in
// part, so that large requests aren't refused much more often than small ones.
// waitFactor is the result of class.waitFactor.
func (r *Request) meetsObjective(queueTime, firstByte time.Duration, waitFactor float64) bool {
	wait := queueTime + time.Duration(ownPrefillWeight*float64(firstByte-queueTime))
	return wait <= time.Duration(waitFactor*maxWaitFraction*float64(r.ObjectiveLeft))
}

// uncachedPrefillTime returns the time to prefill the part of the prompt that no
// engine has cached.
func (ps *promptSearch) uncachedPrefillTime() time.Duration {
	cached := 0
	if ps.prefixSource != nil {
		cached = ps.req.prefixTokens(ps.prefixSource.cachedDepth(ps.req.Prompt, ps.prefixes))
	}
	return prefillOverhead + nominalPrefillTime(roster.Prefill, float64(ps.req.PromptTokens-cached), ps.req.PromptTokens)
}

// usefulWhenLate reports whether a response that begins after firstByte can be
// complete before the caller's deadline.
func (r *Request) usefulWhenLate(firstByte time.Duration) bool {
	return firstByte < time.Duration(r.lateFraction()*float64(r.TimeLeft))
}

func errTooLate(req Request, queueTime time.Duration) error {
	return fault.New(fault.Overloaded, fault.NotRun, "the request would wait %v in the queue, with %v left of its latency objective and %v until its deadline", queueTime, req.ObjectiveLeft, req.TimeLeft)
}

func errNoDecoder(req Request) error {
	return fault.New(fault.Unavailable, fault.NotRun, "no engine of service %q is available for decoding", req.Service)
}

// findPrefixSource returns the candidate that has the longest cached prefix of the
// prompt, with preference for the relay's failure domain. Excluded servers are no
// candidates, nor are servers in backoff unless all are.
func (ps *promptSearch) findPrefixSource() *server {
	var best *server
	bestDepth := 0
	for _, s := range ps.candidates {
		depth := s.cachedDepth(ps.req.Prompt, ps.prefixes)
		if depth > bestDepth || depth > 0 && depth == bestDepth && s.Domain == ps.req.Domain {
			best, bestDepth = s, depth
		}
	}
	return best
}

// bestPlan returns the plan of the lowest cost. Late prompts aren't prefilled on
// engines that decode chats, because they would delay the chats.
func (ps *promptSearch) bestPlan(late bool) (plan, error) {
	var split, single plan // with separate engines, and with one for both
	for _, s := range ps.candidates {
		p := ps.estimate(s, late)
		if s.Stage == roster.Prefill {
			if !ps.req.SingleEngine && (split.server == nil || p.cost < split.cost) {
				split = p
			}
			continue
		}
		if p.chats > 0 && late {
			continue
		}
		if (single.server == nil || p.cost < single.cost) && !ps.table.breaksPauses(ps.now, s, ps.req, p.prefillTime, p.chats) {
			single = p
		}
	}
	decoder, decoderCost := ps.bestDecoder()
	if decoder == nil {
		return plan{}, errNoDecoder(ps.req)
	}
	if split.server != nil {
		split.decoder = decoder
		ps.addHandoff(&split)
		split.cost += ps.req.SendCost
		if single.server == nil || split.cost+decoderCost < single.cost {
			return split, nil
		}
	}
	if single.server == nil {
		return plan{}, fault.New(fault.Overloaded, fault.NotRun, "all decoding engines of service %q are busy with chats, and the response would be late", ps.req.Service)
	}
	return single, nil
}

// estimate returns the plan in which a server prefills the prompt, using the
// cached prefix of prefixSource where that is longer than its own.
func (ps *promptSearch) estimate(s *server, late bool) plan {
	load := ps.table.loadOf(ps.now, s)
	p := plan{server: s, late: late, chats: load.chats, queueTime: s.queueTime(ps.now, load, late)}
	depth := s.cachedDepth(ps.req.Prompt, ps.prefixes)
	cached := ps.req.prefixTokens(depth)
	transferred := 0
	var transfer time.Duration
	if ps.prefixSource != nil && ps.prefixSource != s {
		if sourceDepth := ps.prefixSource.cachedDepth(ps.req.Prompt, ps.prefixes); sourceDepth > depth {
			p.prefixSource = ps.prefixSource
			transferred = ps.req.prefixTokens(sourceDepth) - cached
			transfer = transferSetupTime + transferTime(ps.table.engines[s.Service], transferred, ps.prefixSource.Domain != s.Domain)
		}
	}
	prefilled := float64(ps.req.PromptTokens-cached-transferred) + localMissRate*float64(cached) + remoteMissRate*float64(transferred)
	p.nominalPrefill = nominalPrefillTime(s.Stage, prefilled, ps.req.PromptTokens)
	usualPrefill := ps.table.prefillPace(s).Estimate(p.nominalPrefill)
	slowness := ps.table.slowness(ps.now, s)
	p.prefillTime = time.Duration(slowness * float64(usualPrefill))
	p.usualTime = usualPrefill + time.Duration(float64(p.queueTime)/slowness)
	p.newTokens = ps.req.PromptTokens - cached
	p.firstByte = p.queueTime + transfer + p.prefillTime + s.crossDomainCost(ps.req)
	p.cost = p.firstByte + evictionCost(p.newTokens)
	if s.Stage != roster.Prefill {
		p.cost += time.Duration(interferenceWeight * float64(load.active) * float64(p.prefillTime))
	}
	ps.req.preview.plan(p, cached, transferred)
	return p
}

// bestDecoder returns the candidate of the lowest decodeCost, or nil if none of them
// decodes.
func (ps *promptSearch) bestDecoder() (*server, time.Duration) {
	var best *server
	var bestCost time.Duration
	for _, s := range ps.candidates {
		if s.Stage == roster.Prefill {
			continue
		}
		cost := ps.decodeCost(s)
		ps.req.preview.decode(s, cost)
		if best == nil || cost < bestCost {
			best, bestCost = s, cost
		}
	}
	return best, bestCost
}

// addHandoff adds the time to hand the request over to the decoder of p.
func (ps *promptSearch) addHandoff(p *plan) {
	tokens := ps.uncachedTokens(p.decoder)
	p.transferTime = transferTime(ps.table.engines[p.server.Service], tokens, p.decoder.Domain != p.server.Domain)
	p.usualHandoff = ps.table.handoffPace(p.decoder).Estimate(p.transferTime)
	p.handoffTime = time.Duration(ps.table.slowness(ps.now, p.decoder) * float64(p.usualHandoff))
	p.firstByte += p.handoffTime
	p.cost += p.handoffTime
}

// uncachedTokens returns the number of the prompt's tokens that a server is
// expected not to have cached.
func (ps *promptSearch) uncachedTokens(s *server) int {
	return ps.req.PromptTokens - ps.req.prefixTokens(s.cachedDepth(ps.req.Prompt, ps.prefixes))
}

// decodeCost returns the cost of a server that receives the prompt's KV cache and
// decodes, apart from the handoff itself. The request goes before prompts that are
// queued there, but waits for the one being prefilled.
func (ps *promptSearch) decodeCost(s *server) time.Duration {
	load := ps.table.loadOf(ps.now, s)
	maxQueue := maxDecodeQueue
	if ps.table.uneven(ps.now, ps.req.Service) {
		maxQueue = maxUnevenDecodeQueue
	}
	queueTime := min(s.queueTime(ps.now, load, false), maxQueue)
	slower := ps.table.slowness(ps.now, s) - 1
	slowCost := time.Duration(slower * float64(ps.table.handoffPace(s).Estimate(0)))
	return queueTime + decodeStepTime*time.Duration(1+load.active/4) + slowCost + evictionCost(ps.uncachedTokens(s)) + s.crossDomainCost(ps.req)
}

// commit assigns the request to the servers of a plan.
func (ps *promptSearch) commit(p plan) Choice {
	t := ps.table
	c := Choice{Late: p.late, QueueTime: p.queueTime, FirstByte: p.firstByte}
	c.Slack = ps.req.ObjectiveLeft - (p.firstByte - p.queueTime)
	if p.prefixSource != nil {
		c.PrefixSource = p.prefixSource.Address
	}
	if ps.req.preview == nil {
		t.recordInsert(p.server, ps.prefixes, p.newTokens)
	}
	ticket := t.assign(ps.now, p.server, ps.req, prefillJob{prefillTime: p.prefillTime, nominalPrefill: p.nominalPrefill, queueTime: p.queueTime, expected: p.firstByte - p.handoffTime, usualTime: p.usualTime, late: p.late})
	if p.decoder == nil {
		c.Runner = ticket
		return c
	}
	c.Prefiller = ticket
	c.Runner = ps.assignDecoder(p)
	return c
}

// assignDecoder assigns the request to the decoder of a plan.
func (ps *promptSearch) assignDecoder(p plan) *Ticket {
	return ps.table.assign(ps.now, p.decoder, ps.req, prefillJob{
		prefillTime:  decodeStepTime,
		handoff:      true,
		transferTime: p.transferTime,
		handoffTime:  p.handoffTime,
		usualTime:    p.usualHandoff,
		expected:     p.handoffTime,
		prefixes:     ps.prefixes,
		newTokens:    ps.uncachedTokens(p.decoder),
	})
}

// prefixHashes returns a hash for each prefix that consists of whole parts. It
// leaves out the last part, which belongs to this request alone.
func (r *Request) prefixHashes() []uint64 {
	var hashes []uint64
	var input [16]byte
	hash := uint64(0)
	for _, p := range r.Prompt[:len(r.Prompt)-1] {
		binary.LittleEndian.PutUint64(input[:], hash)
		binary.LittleEndian.PutUint64(input[8:], p.ID)
		hash = xxhash.Sum64(input[:])
		hashes = append(hashes, hash)
	}
	return hashes
}

// prefixTokens returns the number of tokens in the prompt's first parts. Callers
// may declare parts that add up to more than the whole prompt, so the result is
// limited to that.
func (r *Request) prefixTokens(parts int) int {
	tokens := 0
	for _, p := range r.Prompt[:parts] {
		tokens += p.Tokens
	}
	return min(tokens, r.PromptTokens)
}

// cachedDepth returns how many of a prompt's prefixes, with the hashes given, the
// server is expected to have cached.
func (s *server) cachedDepth(prompt []Part, prefixes []uint64) int {
	for i, prefix := range prefixes {
		if !s.cache.contains(prefix) && !s.cache.containsPart(prompt[i].ID) {
			return i
		}
	}
	return len(prefixes)
}

// queueTime returns the time that a request is expected to wait at the server. A
// request that isn't late goes before late ones, but waits for a late prompt
// that is being prefilled.
func (s *server) queueTime(now time.Time, load totalLoad, late bool) time.Duration {
	wait := load.pending + s.currentQueueWait(now)
	if late {
		return wait + load.late
	}
	return wait + min(load.late, lateResidualTime)
}

func (s *server) crossDomainCost(req Request) time.Duration {
	if s.Domain == req.Domain {
		return 0
	}
	return crossDomainTime
}

// evictionCost returns the cost of inserting tokens into an engine's cache.
func evictionCost(tokens int) time.Duration {
	return time.Duration(evictionCostFraction * float64(tokens) / prefillRate * float64(time.Millisecond))
}

// nominalPrefillTime returns the time to prefill some tokens of a prompt of
// promptTokens tokens at the nominal rates.
func nominalPrefillTime(stage roster.Stage, tokens float64, promptTokens int) time.Duration {
	rate := prefillRate
	if stage == roster.Decode {
		rate *= decodeEngineFraction
	}
	return time.Duration(tokens/rate*float64(time.Millisecond) + tokens*float64(promptTokens)/1000*float64(attentionTime))
}
