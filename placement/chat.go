package placement

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"endivedeck.example/roster"
)

const (
	// MaxChatTokens is the size of the longest prompt that counts as a chat. An
	// engine prefills such a prompt in one chunk between two decode steps.
	MaxChatTokens = 1024

	chatPackFraction = 0.6  // fraction of an engine's slots to fill with chats before using the next engine
	unevenPack       = 0.85 // the same where engines are uneven, so that fewer of them hold chats
	// slowFill is added to the fill of an engine that is slower than most: each token of
	// a chat takes as long as a step.
	slowFill = 1.5

	maxChatQueue      = 60 * time.Millisecond // engines with a longer queue are used for chats last
	chatRendezvousKey = 0                     // key of the engine order that all relays use for chats
)

// isChat reports whether the request is a chat. For chats, a steady output of
// tokens matters more than the time to the first one.
func (r *Request) isChat() bool { return r.PromptTokens <= MaxChatTokens }

// chooseChat packs chats onto as few decoding engines as possible, in an order
// that is the same at all relays, to keep the other engines free for long
// prompts.
func (t *Table) chooseChat(now time.Time, req Request, candidates []*server) (Choice, error) {
	var best *server
	var bestQueue time.Duration
	var bestFill float64
	var bestWeight uint64
	pack := chatPackFraction
	if t.uneven(now, req.Service) {
		pack = unevenPack
	}
	for _, s := range candidates {
		if s.Stage == roster.Prefill {
			continue
		}
		load := t.loadOf(now, s)
		queue := s.queueTime(now, load, false)
		fill := max(float64(load.chats)/float64(max(s.Slots, 1)), pack)
		if queue > maxChatQueue {
			fill++ // ranks behind all engines with a short queue
		}
		if t.generatesSlowly(now, s) {
			fill += slowFill
		}
		fill += t.resumeFill(now, s, req, load.chats)
		req.preview.fill(s, fill)
		weight := s.rendezvousWeight(chatRendezvousKey)
		if best == nil || fill < bestFill || fill == bestFill && weight > bestWeight {
			best, bestQueue, bestFill, bestWeight = s, queue, fill, weight
		}
	}
	if best == nil {
		return Choice{}, errNoDecoder(req)
	}
	nominal := nominalPrefillTime(best.Stage, float64(req.PromptTokens), req.PromptTokens)
	usual := t.prefillPace(best).Estimate(nominal)
	prefill := time.Duration(t.slowness(now, best) * float64(usual))
	if !req.MustPlace && !req.meetsObjective(bestQueue, bestQueue+prefill, 1) && !req.usefulWhenLate(bestQueue+prefill) {
		return Choice{}, errTooLate(req, bestQueue)
	}
	return Choice{
		Runner:    t.assign(now, best, req, prefillJob{prefillTime: prefill, nominalPrefill: nominal, queueTime: bestQueue, expected: bestQueue + prefill}),
		QueueTime: bestQueue,
		FirstByte: bestQueue + prefill,
	}, nil
}

// rendezvousWeight returns the server's weight for key in rendezvous hashing.
func (s *server) rendezvousWeight(key uint64) uint64 {
	var text [8]byte
	binary.LittleEndian.PutUint64(text[:], key)
	d := xxhash.New()
	_, _ = d.Write(text[:]) // never returns an error
	_, _ = d.WriteString(s.ID)
	return d.Sum64()
}
