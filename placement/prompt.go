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
	readRate    = 400.0                  // tokens in a millisecond
	decodeShare = 0.38                   // of that rate at an engine that generates meanwhile: half, in small pieces between its steps
	pairTime    = 65 * time.Nanosecond   // for each thousand pairs of a new token and one before it
	firstTime   = 3 * time.Millisecond   // besides, for each prompt
	stepTime    = 700 * time.Microsecond // of generating one token

	handTime  = 3 * time.Millisecond   // to hand a prompt's KV cache to another engine, with the second call
	moveStart = 500 * time.Microsecond // before KV cache begins to move
	farTime   = time.Millisecond       // more, between failure domains

	beingRead = 5 * time.Millisecond  // of a prompt's reading, before which a more urgent request goes
	lateRead  = 12 * time.Millisecond // left on average of a late prompt that is being read; it isn't broken off

	waitShare = 0.6  // of a latency objective that a request may wait; the rest is for its prompt and the ways
	ownShare  = 0.25 // of the time for its own prompt that counts as waiting
	lateShare = 0.4  // of a caller's time that the prompt of a late answer may take; the rest is for others that come, and for generating

	// Chances that what is expected in memory isn't there.
	missHeld  = 0.05 // in the server's own
	missMoved = 0.15 // in that of another one, by the time that it is asked

	// keepShare is what a token that is put into memory costs, against reading
	// one: something else yields, about half of which is asked for again.
	keepShare = 0.2
)

type (
	// round is the placing of one long prompt.
	round struct {
		table  *Table
		now    time.Time
		ask    Request
		chain  []uint64
		able   []*server
		source *server // that holds most of its shared parts; nil for none
	}

	// plan is how a server would read the prompt.
	plan struct {
		server *server
		runner *server       // that generates, where that is another one
		source *server       // whose memory has more of the prompt; nil for none
		late   bool          // behind what can still be in time
		chats  int           // that the server generates
		queue  time.Duration // before it is read
		work   time.Duration // to read what has to be read
		taken  int           // tokens that the server's memory takes in
		expect time.Duration // until the answer begins
		cost   time.Duration // the same, and what it costs others
	}
)

// choosePrompt takes the engine, or the two, by which the answer begins first.
// A prompt whose answer can't be in time any more goes behind those that can
// where it is still served soon enough, and is refused elsewhere.
func (t *Table) choosePrompt(now time.Time, ask Request, able []*server) (Choice, error) {
	r := &round{table: t, now: now, ask: ask, chain: ask.chain(), able: able}
	r.source = r.holder()
	class := t.class(ask)
	if ask.ObjectiveLeft > 0 || ask.MustPlace {
		p, err := r.best(false)
		if err != nil {
			return Choice{}, err
		}
		if ask.MustPlace || ask.inTime(p.queue, p.expect, class.stretch(ask, r.alone())) {
			class.note(ask, 1)
			return r.take(p), nil
		}
	}
	p, err := r.best(true)
	if err != nil {
		return Choice{}, err
	}
	if !ask.useful(p.expect) {
		class.note(ask, 0)
		return Choice{}, errLate(ask, p.queue)
	}
	class.note(ask, servedLate)
	return r.take(p), nil
}

// inTime reports whether an answer is expected to begin within the objective.
// The time for the request's own prompt counts little, so that no size of
// requests is refused much more often than others; stretch is from class.stretch.
func (a *Request) inTime(queue, expect time.Duration, stretch float64) bool {
	wait := queue + time.Duration(ownShare*float64(expect-queue))
	return wait <= time.Duration(stretch*waitShare*float64(a.ObjectiveLeft))
}

// alone returns the time to read what no engine holds of the prompt.
func (r *round) alone() time.Duration {
	held := 0
	if r.source != nil {
		held = r.ask.shared(r.source.depth(r.chain))
	}
	return readTime(readRate, float64(r.ask.PromptTokens-held), r.ask.PromptTokens)
}

// useful reports whether a late answer comes while its caller still waits.
func (a *Request) useful(expect time.Duration) bool {
	return expect < time.Duration(lateShare*float64(a.TimeLeft))
}

func errLate(ask Request, queue time.Duration) error {
	return fault.New(fault.Overloaded, fault.No, "the request would wait %v; its answer is wanted in %v and of use for %v", queue, ask.ObjectiveLeft, ask.TimeLeft)
}

func errNoRunner(ask Request) error {
	return fault.New(fault.Unavailable, fault.No, "no engine of %s generates now", ask.Service)
}

// holder returns the server that holds most of the prompt's shared parts, a
// near one before others. One that rests, or has failed this request, isn't
// asked for them.
func (r *round) holder() *server {
	var best *server
	most := 0
	for _, s := range r.able {
		depth := s.depth(r.chain)
		if depth > most || depth > 0 && depth == most && s.Domain == r.ask.Domain {
			best, most = s, depth
		}
	}
	return best
}

// best returns the plan of the least cost. A late answer isn't worth that
// chats are held up by its prompt.
func (r *round) best(late bool) (plan, error) {
	var reader, whole plan
	var runner *server
	var runnerQueue, runnerCost time.Duration
	for _, s := range r.able {
		p := r.plan(s, late)
		if s.Stage == roster.Prefill {
			if !r.ask.SingleEngine && (reader.server == nil || p.cost < reader.cost) {
				reader = p
			}
			continue
		}
		if (whole.server == nil || p.cost < whole.cost) && (!late || p.chats == 0) {
			whole = p
		}
		if queue, cost := r.runCost(s); runner == nil || cost < runnerCost {
			runner, runnerQueue, runnerCost = s, queue, cost
		}
	}
	if runner == nil {
		return plan{}, errNoRunner(r.ask)
	}
	if reader.server != nil && (whole.server == nil || reader.cost+handTime+runnerCost < whole.cost) {
		reader.runner = runner
		reader.queue += runnerQueue
		reader.expect += runnerQueue + handTime
		return reader, nil
	}
	if whole.server == nil {
		return plan{}, fault.New(fault.Overloaded, fault.No, "all engines of %s generate chats, and the answer would be late", r.ask.Service)
	}
	return whole, nil
}

// plan reckons how a server would read the prompt, with what another one holds.
func (r *round) plan(s *server, late bool) plan {
	given := r.table.given(r.now, s)
	p := plan{server: s, late: late, chats: given.chats, queue: s.queue(r.now, given, late)}
	if s.Stage != roster.Prefill {
		p.queue += time.Duration(given.chats) * chatDelay
	}
	depth := s.depth(r.chain)
	held := r.ask.shared(depth)
	moved := 0
	var move time.Duration
	if r.source != nil && r.source != s {
		if more := r.source.depth(r.chain); more > depth {
			p.source = r.source
			moved = r.ask.shared(more) - held
			move = moveStart + moveTokens(r.table.engines[s.Service], moved, r.source.Domain != s.Domain)
		}
	}
	read := float64(r.ask.PromptTokens-held-moved) + missHeld*float64(held) + missMoved*float64(moved)
	p.work = r.table.readTime(s, read, r.ask.PromptTokens)
	p.taken = r.ask.PromptTokens - held
	p.expect = p.queue + move + p.work + s.far(r.ask)
	p.cost = p.expect + keepCost(p.taken)
	return p
}

// runCost is the time until an engine that gets the KV cache generates. The
// request goes before prompts that wait there, but for one that is being read.
func (r *round) runCost(s *server) (queue, cost time.Duration) {
	taken := r.ask.PromptTokens - r.ask.shared(s.depth(r.chain))
	queue = min(s.queue(r.now, r.table.given(r.now, s), false), beingRead)
	return queue, queue + stepTime*time.Duration(1+s.active/4) + keepCost(taken) + s.far(r.ask)
}

// take gives the request to the servers of a plan.
func (r *round) take(p plan) Choice {
	t := r.table
	c := Choice{Late: p.late, QueueTime: p.queue, FirstByte: p.expect}
	if p.source != nil {
		c.PrefixSource = p.source.Address
	}
	t.read(p.server, r.chain, p.taken)
	k := t.ticket(r.now, p.server, r.ask, reading{work: p.work, queue: p.queue, late: p.late})
	if p.runner == nil {
		c.Runner = k
		return c
	}
	c.Prefiller = k
	taken := r.ask.PromptTokens - r.ask.shared(p.runner.depth(r.chain))
	c.Runner = t.ticket(r.now, p.runner, r.ask, reading{work: stepTime, chain: r.chain, taken: taken})
	return c
}

// chain returns a name for each prefix of whole parts but the last, which is
// the request's own.
func (a *Request) chain() []uint64 {
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

// shared returns the tokens of the prompt's first parts. A caller may count its
// parts wrongly: they have no more tokens than the whole prompt.
func (a *Request) shared(parts int) int {
	tokens := 0
	for _, p := range a.Prompt[:parts] {
		tokens += p.Tokens
	}
	return min(tokens, a.PromptTokens)
}

// depth returns how many of a prompt's prefixes the server is expected to hold.
func (s *server) depth(chain []uint64) int {
	for i, prefix := range chain {
		if !s.memory.holds(prefix) {
			return i
		}
	}
	return len(chain)
}

// queue is the time that a request waits at the server. What can still be in
// time goes before what can't, but for a prompt that is being read.
func (s *server) queue(now time.Time, given share, late bool) time.Duration {
	wait := given.pending + s.waitNow(now)
	if late {
		return wait + given.late
	}
	return wait + min(given.late, lateRead)
}

func (s *server) far(ask Request) time.Duration {
	if s.Domain == ask.Domain {
		return 0
	}
	return farTime
}

// keepCost is what tokens that are put into an engine's memory cost.
func keepCost(tokens int) time.Duration {
	return time.Duration(keepShare * float64(tokens) / readRate * float64(time.Millisecond))
}

// readTime is the time in which a server reads so many tokens of a prompt of
// the given size.
func (t *Table) readTime(s *server, tokens float64, whole int) time.Duration {
	rate := readRate
	if s.Stage == roster.Decode {
		rate *= decodeShare
	}
	return time.Duration(t.pace(s) * float64(readTime(rate, tokens, whole)))
}

func readTime(rate, tokens float64, whole int) time.Duration {
	took := float64(firstTime) + tokens/rate*float64(time.Millisecond) + tokens*float64(whole)/1000*float64(pairTime)
	return time.Duration(took)
}
