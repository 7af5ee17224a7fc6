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
	decodeShare = 0.3                    // of that rate at an engine that generates meanwhile: half, in small pieces between its steps
	pairTime    = 65 * time.Nanosecond   // for each thousand pairs of a new token and one before it
	firstTime   = 3 * time.Millisecond   // besides, for each prompt
	stepTime    = 700 * time.Microsecond // of generating one token

	moveTime = 3 * time.Millisecond // to hand a prompt's KV cache to another engine, with the second call
	farTime  = time.Millisecond     // more, between failure domains

	beingRead = 5 * time.Millisecond // of a prompt's reading, before which a more urgent request goes

	chatFill  = 0.6                   // of an engine's slots that chats take before the next engine gets some
	chatDelay = 3 * time.Millisecond  // by which a long prompt's reading delays each chat beside it, weighed against the prompt's own time
	queueChat = 60 * time.Millisecond // an engine with more work waiting gets chats last
	chatOrder = 0                     // the name by which engines are ordered for chats

	// ChatTokens is the size of the longest prompt of a chat. A prompt up to
	// this size is read in one piece between two steps.
	ChatTokens = 1024

	moveStart = 500 * time.Microsecond // before KV cache begins to move

	// Chances that what is expected in memory isn't there.
	missHeld  = 0.05 // in the server's own
	missMoved = 0.15 // in that of another one, by the time that it is asked

	// keepShare is what a token that is put into memory costs, against reading
	// one: something else yields, about half of which is asked for again.
	keepShare = 0.2
)

// plan is how a server would read a prompt.
type plan struct {
	server *server
	source *server       // whose memory has more of the prompt; nil for none
	work   time.Duration // to read what has to be read
	move   time.Duration // to bring what source has
	taken  int           // tokens that the server's memory takes in
	cost   time.Duration // until it is read, and what that costs others
}

// isChat reports whether what counts is how evenly the answer comes.
func (a *Ask) isChat() bool { return a.Tokens <= ChatTokens }

// choosePrompt takes the engine, or the two, by which the answer begins first.
func (t *Table) choosePrompt(now time.Time, ask Ask, able []*server) (Choice, error) {
	if ask.isChat() {
		return t.chooseChat(now, ask, able)
	}
	chain := ask.chain()
	source := t.source(ask, chain)
	var reader, whole plan
	var runner *server
	var runnerCost time.Duration
	for _, s := range able {
		p := t.plan(now, s, ask, chain, source)
		if s.Stage == roster.Prefill {
			if !ask.Direct && (reader.server == nil || p.cost < reader.cost) {
				reader = p
			}
			continue
		}
		p.cost += t.disturbance(now, s)
		if whole.server == nil || p.cost < whole.cost {
			whole = p
		}
		if cost := t.runCost(now, s, ask, chain); runner == nil || cost < runnerCost {
			runner, runnerCost = s, cost
		}
	}
	switch {
	case whole.server == nil:
		return Choice{}, errNoRunner(ask)
	case reader.server != nil && reader.cost+moveTime+runnerCost < whole.cost:
		return t.apart(now, ask, chain, reader, runner), nil
	}
	queue := t.queue(now, whole.server) + t.disturbance(now, whole.server)
	t.read(whole.server, chain, whole.taken)
	return Choice{
		Runner: t.ticket(now, whole.server, ask, whole.work),
		Source: whole.address(),
		Queue:  queue,
		Expect: queue + whole.move + whole.work,
	}, nil
}

// apart has one engine read the prompt and another one generate.
func (t *Table) apart(now time.Time, ask Ask, chain []uint64, p plan, runner *server) Choice {
	reader := p.server
	queue := t.queue(now, reader) + min(t.queue(now, runner), beingRead)
	own := ask.Tokens - ask.shared(t.depth(runner, chain))
	t.read(reader, chain, p.taken)
	t.read(runner, chain, own)
	return Choice{
		Reader: t.ticket(now, reader, ask, p.work),
		Runner: t.ticket(now, runner, ask, stepTime),
		Source: p.address(),
		Queue:  queue,
		Expect: queue + p.move + p.work + moveTime,
	}
}

// source returns the server that holds most of the prompt's shared parts.
func (t *Table) source(ask Ask, chain []uint64) *server {
	var best *server
	var most int
	for _, s := range t.byName[ask.Service] {
		depth := t.depth(s, chain)
		if depth > most || depth == most && depth > 0 && s.Domain == ask.Domain && best.Domain != ask.Domain {
			best, most = s, depth
		}
	}
	return best
}

// depth returns how many of a prompt's prefixes a server is expected to hold.
func (t *Table) depth(s *server, chain []uint64) int {
	for i, prefix := range chain {
		if !s.memory.holds(prefix) {
			return i
		}
	}
	return len(chain)
}

// plan reckons how a server would read the prompt, with what source holds.
func (t *Table) plan(now time.Time, s *server, ask Ask, chain []uint64, source *server) plan {
	p := plan{server: s}
	depth := t.depth(s, chain)
	held := ask.shared(depth)
	moved := 0
	if source != nil && source != s {
		if more := t.depth(source, chain); more > depth {
			p.source = source
			moved = ask.shared(more) - held
			p.move = moveStart + moveTokens(t.engines[s.Service], moved, source.Domain != s.Domain)
		}
	}
	read := float64(ask.Tokens-held-moved) + missHeld*float64(held) + missMoved*float64(moved)
	p.work = s.readTime(read, ask.Tokens)
	p.taken = ask.Tokens - held
	kept := time.Duration(keepShare * float64(p.taken) / readRate * float64(time.Millisecond))
	p.cost = t.queue(now, s) + p.work + p.move + kept + s.far(ask)
	return p
}

// address returns the address of the plan's source, if it has one.
func (p plan) address() string {
	if p.source == nil {
		return ""
	}
	return p.source.Address
}

// disturbance is what reading a long prompt at an engine costs the answers
// that it generates, as time.
func (t *Table) disturbance(now time.Time, s *server) time.Duration {
	return time.Duration(t.chats(now, s)) * chatDelay
}

// chooseChat fills the generating engines one after another, in an order that
// all relays share, so that the others are left to long prompts.
func (t *Table) chooseChat(now time.Time, ask Ask, able []*server) (Choice, error) {
	var best *server
	var least float64
	var most uint64
	for _, s := range able {
		if s.Stage == roster.Prefill {
			continue
		}
		fill := max(float64(t.chats(now, s))/float64(max(s.Slots, 1)), chatFill)
		if t.queue(now, s) > queueChat {
			fill++ // only where all engines are so
		}
		weight := s.weigh(chatOrder)
		if best == nil || fill < least || fill == least && weight > most {
			best, least, most = s, fill, weight
		}
	}
	if best == nil {
		return Choice{}, errNoRunner(ask)
	}
	work := best.readTime(float64(ask.Tokens), ask.Tokens)
	queue := t.queue(now, best)
	return Choice{Runner: t.ticket(now, best, ask, work), Queue: queue, Expect: queue + work}, nil
}

func (t *Table) chats(now time.Time, s *server) int {
	_, elsewhere := t.elsewhere(now, s.ID)
	return s.chats + elsewhere
}

func errNoRunner(ask Ask) error {
	return fault.New(fault.Unavailable, fault.No, "no engine of %s generates now", ask.Service)
}

// chain returns a name for each prefix of whole parts but the last, which is
// the request's own.
func (a *Ask) chain() []uint64 {
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

// shared returns the tokens of the prompt's first parts.
func (a *Ask) shared(parts int) int {
	tokens := 0
	for _, p := range a.Prompt[:parts] {
		tokens += p.Tokens
	}
	return tokens
}

// runCost is the time until an engine that gets the KV cache generates. The
// request goes before prompts that wait there, but for one that is being read.
func (t *Table) runCost(now time.Time, s *server, ask Ask, chain []uint64) time.Duration {
	taken := ask.Tokens - ask.shared(t.depth(s, chain))
	kept := time.Duration(keepShare * float64(taken) / readRate * float64(time.Millisecond))
	return min(t.queue(now, s), beingRead) + stepTime*time.Duration(1+s.active/4) + kept + s.far(ask)
}

// queue is the time that a request waits at a server.
func (t *Table) queue(now time.Time, s *server) time.Duration {
	return t.pending(now, s) + s.waitNow(now)
}

// pending is the work that all relays have given to a server.
func (t *Table) pending(now time.Time, s *server) time.Duration {
	elsewhere, _ := t.elsewhere(now, s.ID)
	return s.pending + elsewhere
}

func (s *server) far(ask Ask) time.Duration {
	if s.Domain == ask.Domain {
		return 0
	}
	return farTime
}

// readTime is the time to read so many tokens of a prompt of the given size.
func (s *server) readTime(tokens float64, whole int) time.Duration {
	rate := readRate
	if s.Stage == roster.Decode {
		rate *= decodeShare
	}
	took := float64(firstTime) + tokens/rate*float64(time.Millisecond) + tokens*float64(whole)/1000*float64(pairTime)
	return time.Duration(took)
}

// weigh ranks the server for a name, by rendezvous.
func (s *server) weigh(name uint64) uint64 {
	var text [8]byte
	binary.LittleEndian.PutUint64(text[:], name)
	d := xxhash.New()
	_, _ = d.Write(text[:]) // it never fails
	_, _ = d.WriteString(s.ID)
	return d.Sum64()
}
