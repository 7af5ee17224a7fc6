package placement

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"endivedeck.example/roster"
)

const (
	// MaxChatTokens is the size of the longest prompt of a chat. A prompt up to
	// this size is read in one piece between two steps.
	MaxChatTokens = 1024

	chatFill  = 0.6                   // of an engine's slots that chats take before the next engine gets some
	chatDelay = 3 * time.Millisecond  // by which a long prompt's reading delays each chat beside it, weighed against the prompt's own time
	queueChat = 60 * time.Millisecond // an engine with more work waiting gets chats last
	chatOrder = 0                     // the name by which engines are ordered for chats
)

// isChat reports whether what counts is how evenly the answer comes.
func (a *Request) isChat() bool { return a.PromptTokens <= MaxChatTokens }

// chooseChat fills the generating engines one after another, in an order that
// all relays share, so that the others are left to long prompts.
func (t *Table) chooseChat(now time.Time, ask Request, able []*server) (Choice, error) {
	var best *server
	var bestQueue time.Duration
	var least float64
	var most uint64
	for _, s := range able {
		if s.Stage == roster.Prefill {
			continue
		}
		given := t.given(now, s)
		queue := s.queue(now, given, false)
		fill := max(float64(given.chats)/float64(max(s.Slots, 1)), chatFill)
		if queue > queueChat {
			fill++ // only where all engines are so
		}
		weight := s.weigh(chatOrder)
		if best == nil || fill < least || fill == least && weight > most {
			best, bestQueue, least, most = s, queue, fill, weight
		}
	}
	if best == nil {
		return Choice{}, errNoRunner(ask)
	}
	work := t.readTime(best, float64(ask.PromptTokens), ask.PromptTokens)
	if !ask.MustPlace && !ask.inTime(bestQueue, bestQueue+work, 1) && !ask.useful(bestQueue+work) {
		return Choice{}, errLate(ask, bestQueue)
	}
	return Choice{
		Runner:    t.ticket(now, best, ask, reading{work: work, queue: bestQueue}),
		QueueTime: bestQueue,
		FirstByte: bestQueue + work,
	}, nil
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
