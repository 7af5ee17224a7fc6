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

	// Chances that a shared part has to be read again.
	missFirst = 0.05 // the first part, which few prompts differ in
	missHeld  = 0.15 // at a server that this relay gave the same part lately
	missHome  = 0.5  // at the home of the part
	missElse  = 0.95
)

// isChat reports whether what counts is how evenly the answer comes.
func (a *Ask) isChat() bool { return a.Tokens <= ChatTokens }

// choosePrompt takes the engine, or the two, by which the answer begins first.
func (t *Table) choosePrompt(now time.Time, ask Ask, able []*server) (Choice, error) {
	if ask.isChat() {
		return t.chooseChat(now, ask, able)
	}
	var reader, runner, whole *server
	var readerCost, runnerCost, wholeCost time.Duration
	chain := ask.chain()
	for _, s := range able {
		if s.Stage == roster.Prefill {
			if cost := t.readCost(now, s, ask, chain, able); !ask.Direct && (reader == nil || cost < readerCost) {
				reader, readerCost = s, cost
			}
			continue
		}
		if cost := t.readCost(now, s, ask, chain, able) + t.disturbance(now, s); whole == nil || cost < wholeCost {
			whole, wholeCost = s, cost
		}
		if cost := t.runCost(now, s, ask); runner == nil || cost < runnerCost {
			runner, runnerCost = s, cost
		}
	}
	switch {
	case whole == nil:
		return Choice{}, errNoRunner(ask)
	case reader != nil && readerCost+moveTime+runnerCost < wholeCost:
		reader.hold(now, chain)
		queue := t.queue(now, reader) + min(t.queue(now, runner), beingRead)
		return Choice{
			Reader: t.ticket(now, reader, ask, reader.work(now, ask, chain, able)),
			Runner: t.ticket(now, runner, ask, stepTime),
			Queue:  queue,
			Expect: readerCost + moveTime + runnerCost,
		}, nil
	}
	queue := t.queue(now, whole) + t.disturbance(now, whole)
	work := whole.work(now, ask, chain, able)
	whole.hold(now, chain)
	return Choice{Runner: t.ticket(now, whole, ask, work), Queue: queue, Expect: wholeCost}, nil
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
	chain := ask.chain()
	work := best.work(now, ask, chain, able)
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

// readCost is the time until the prompt is read at the server.
func (t *Table) readCost(now time.Time, s *server, ask Ask, chain []uint64, all []*server) time.Duration {
	return t.queue(now, s) + s.work(now, ask, chain, all) + s.far(ask)
}

// runCost is the time until an engine that gets the KV cache generates. The
// request goes before prompts that wait there, but for one that is being read.
func (t *Table) runCost(now time.Time, s *server, ask Ask) time.Duration {
	return min(t.queue(now, s), beingRead) + stepTime*time.Duration(1+s.active/4) + s.far(ask)
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

// work is the time to read what of the prompt isn't expected in memory.
func (s *server) work(now time.Time, ask Ask, chain []uint64, all []*server) time.Duration {
	tokens := float64(ask.Tokens)
	for i, name := range chain {
		hit := 1 - s.miss(now, i, name, all)
		tokens -= hit * float64(ask.Prompt[i].Tokens)
	}
	rate := readRate
	if s.Stage == roster.Decode {
		rate *= decodeShare
	}
	took := float64(firstTime) + tokens/rate*float64(time.Millisecond) + tokens*float64(ask.Tokens)/1000*float64(pairTime)
	return time.Duration(took)
}

func (s *server) miss(now time.Time, place int, name uint64, all []*server) float64 {
	if place == 0 {
		return missFirst
	}
	if at, held := s.held[name]; held && now.Sub(at) < heldTime {
		return missHeld
	}
	if home(name, all) == s {
		return missHome
	}
	return missElse
}

// home returns the server at which all relays expect a shared part.
func home(name uint64, all []*server) *server {
	var best *server
	var most uint64
	for _, s := range all {
		if weight := s.weigh(name); best == nil || weight > most {
			best, most = s, weight
		}
	}
	return best
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

// hold notes that the server will have read the parts.
func (s *server) hold(now time.Time, chain []uint64) {
	const most = 4096 // names, about what an engine's memory holds
	if len(s.held) > most {
		for name, at := range s.held {
			if now.Sub(at) > heldTime {
				delete(s.held, name)
			}
		}
	}
	for _, name := range chain {
		s.held[name] = now
	}
}
