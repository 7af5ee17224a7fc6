package placement

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"endivedeck.example/roster"
)

const (
	// ChatTokens is the size of the longest prompt of a chat. A prompt up to
	// this size is read in one piece between two steps.
	ChatTokens = 1024

	chatPackFraction  = 0.6                   // of an engine's slots that chats take before the next engine gets some
	chatInterference  = 3 * time.Millisecond  // by which a long prompt's reading delays each chat beside it, weighed against the prompt's own time
	maxChatQueue      = 60 * time.Millisecond // an engine with more work waiting gets chats last
	chatRendezvousKey = 0                     // the name by which engines are ordered for chats
)

// isChat reports whether what counts is how evenly the answer comes.
func (a *Ask) isChat() bool { return a.Tokens <= ChatTokens }

// chooseChat fills the generating engines one after another, in an order that
// all relays share, so that the others are left to long prompts.
func (t *Table) chooseChat(now time.Time, ask Ask, able []*server) (Choice, error) {
	var best *server
	var bestQueue time.Duration
	var least float64
	var most uint64
	for _, s := range able {
		if s.Stage == roster.Prefill {
			continue
		}
		given := t.loadOf(now, s)
		queue := s.queueTime(now, given, false)
		fill := max(float64(given.chats)/float64(max(s.Slots, 1)), chatPackFraction)
		if queue > maxChatQueue {
			fill++ // only where all engines are so
		}
		weight := s.rendezvousWeight(chatRendezvousKey)
		if best == nil || fill < least || fill == least && weight > most {
			best, bestQueue, least, most = s, queue, fill, weight
		}
	}
	if best == nil {
		return Choice{}, errNoDecoder(ask)
	}
	work := t.prefillTime(best, float64(ask.Tokens), ask.Tokens)
	if !ask.Firm && !ask.meetsObjective(bestQueue, bestQueue+work, 1) && !ask.usefulWhenLate(bestQueue+work) {
		return Choice{}, errTooLate(ask, bestQueue)
	}
	return Choice{
		Runner: t.assign(now, best, ask, prefillJob{prefillTime: work, queueTime: bestQueue}),
		Queue:  bestQueue,
		Expect: bestQueue + work,
	}, nil
}

// rendezvousWeight ranks the server for a name, by rendezvous.
func (s *server) rendezvousWeight(name uint64) uint64 {
	var text [8]byte
	binary.LittleEndian.PutUint64(text[:], name)
	d := xxhash.New()
	_, _ = d.Write(text[:]) // it never fails
	_, _ = d.WriteString(s.ID)
	return d.Sum64()
}
