// Package standin emulates the systems that are served: a model engine and a
// plain order service.
//
// They stand in for outside systems in the demo, in tests and in replays, and
// keep to the protocol in docs/ENGINE.md. Batch is the engine's scheduling
// alone, a state machine that is told the time, so a replay runs it faster
// than real time; Engine serves it over HTTP in real time. What an engine says
// depends on model, prompt and position alone, so any reader can tell whether
// an answer is whole and its own.
package standin

import (
	"slices"
	"time"
)

const (
	prefillFactor = 2
	decodePart    = 8
)

type (
	// Shape describes an engine.
	Shape struct {
		Slots        int           // sequences that run at once
		Pieces       int           // memory for KV cache, in pieces
		PieceTokens  int           // tokens in a piece
		PrefillRate  float64       // prompt tokens a second, alone
		StepTime     time.Duration // one decoding step with one sequence
		SequenceTime time.Duration // added to a step by each further sequence
		ChunkTokens  int           // prompt tokens worked into one step at the most
	}

	// Sequence is one request inside an engine.
	Sequence struct {
		ID       string
		Prefix   []uint64 // a hash for each whole piece of the prompt, each covering all before it
		Prompt   int      // tokens of the prompt
		Given    int      // answer tokens that are given with the prompt
		Answer   int      // answer tokens in all
		Priority int      // a higher one goes first

		prefilled int
		made      int
		pieces    int
	}

	// Made is an answer token that a step has made.
	Made struct {
		Sequence *Sequence
		Offset   int // counts the answer's tokens before it
		End      bool
	}

	// CacheEvent tells that a piece is in the prefix cache, or no more.
	CacheEvent struct {
		Hash    uint64
		Evicted bool
	}

	// Batch is an engine's continuous batching. It isn't safe for concurrent
	// use. Create it with NewBatch.
	Batch struct {
		Shape   Shape
		Role    string // both, prefill or decode, as package change has it
		Running []*Sequence
		Waiting []*Sequence
		Used    int               // pieces that running sequences hold
		Hits    int               // prompt tokens found in the prefix cache
		Misses  int               // prompt tokens worked through
		cache   map[uint64]uint64 // piece -> step of its last use
		step    uint64
		Events  []CacheEvent // since they were last taken
	}
)

// DefaultShape is a small engine.
func DefaultShape() Shape {
	return Shape{
		Slots:        32,
		Pieces:       1024,
		PieceTokens:  1024,
		PrefillRate:  20_000,
		StepTime:     10 * time.Millisecond,
		SequenceTime: 200 * time.Microsecond,
		ChunkTokens:  2048,
	}
}

// NewBatch returns an idle engine.
func NewBatch(shape Shape) *Batch {
	return &Batch{Shape: shape, Role: "both", cache: map[uint64]uint64{}}
}

// Add queues a sequence behind those of its priority.
func (b *Batch) Add(s *Sequence) {
	at := slices.IndexFunc(b.Waiting, func(other *Sequence) bool {
		return other.Priority < s.Priority
	})
	if at < 0 {
		at = len(b.Waiting)
	}
	b.Waiting = slices.Insert(b.Waiting, at, s)
}

// Cancel gives a sequence up.
func (b *Batch) Cancel(id string) {
	same := func(s *Sequence) bool { return s.ID == id }
	b.Waiting = slices.DeleteFunc(b.Waiting, same)
	for _, s := range b.Running {
		if s.ID == id {
			b.Used -= s.pieces
		}
	}
	b.Running = slices.DeleteFunc(b.Running, same)
}

// Idle reports whether there is nothing to do.
func (b *Batch) Idle() bool { return len(b.Running)+len(b.Waiting) == 0 }

// Free returns the pieces that no running sequence holds.
func (b *Batch) Free() int { return b.Shape.Pieces - b.Used }

// Cached returns how many leading pieces of a prefix are in the cache.
func (b *Batch) Cached(prefix []uint64) int {
	for i, hash := range prefix {
		if _, ok := b.cache[hash]; !ok {
			return i
		}
	}
	return len(prefix)
}

// Import puts pieces into the prefix cache, as an import of KV cache does.
func (b *Batch) Import(prefix []uint64) {
	for _, hash := range prefix {
		b.remember(hash)
	}
	b.evict()
}

// Step does one step and returns the tokens it made and the time it takes.
func (b *Batch) Step() ([]Made, time.Duration) {
	b.step++
	b.admit()
	took := b.prefill()
	made, decoding := b.decode()
	if decoding > 0 {
		took += b.Shape.StepTime + time.Duration(decoding-1)*b.Shape.SequenceTime
	}
	return made, took
}

// admit starts waiting sequences while there is room.
func (b *Batch) admit() {
	for len(b.Waiting) > 0 && len(b.Running) < b.Shape.Slots {
		s := b.Waiting[0]
		s.pieces = b.piecesFor(s)
		if b.Used+s.pieces > b.Shape.Pieces && len(b.Running) > 0 {
			return
		}
		b.Waiting = b.Waiting[1:]
		b.Used += s.pieces
		b.evict()
		s.made = s.Given
		hit := b.Cached(s.Prefix) * b.Shape.PieceTokens
		s.prefilled = min(hit, s.Prompt+s.Given-1)
		b.Hits += s.prefilled
		b.Misses += s.Prompt + s.Given - s.prefilled
		b.Running = append(b.Running, s)
	}
}

func (b *Batch) piecesFor(s *Sequence) int {
	tokens := s.Prompt + s.Answer
	return (tokens + b.Shape.PieceTokens - 1) / b.Shape.PieceTokens
}

// prefill works through prompts, the highest priority first, and returns the
// time that it takes.
func (b *Batch) prefill() time.Duration {
	left := b.chunk()
	tokens := 0
	for priority := 9; priority >= 0 && left > 0; priority-- {
		for _, s := range b.Running {
			todo := s.Prompt + s.Given - s.prefilled
			if s.Priority != priority || todo <= 0 || left <= 0 {
				continue
			}
			n := min(todo, left)
			s.prefilled += n
			left -= n
			tokens += n
			if s.prefilled == s.Prompt+s.Given {
				b.Import(s.Prefix)
			}
		}
	}
	return time.Duration(float64(tokens) / b.Shape.PrefillRate * float64(time.Second))
}

// chunk returns how many prompt tokens go into one step. An engine that takes
// prompts works in large steps; one that decodes keeps its steps short.
func (b *Batch) chunk() int {
	switch b.Role {
	case "prefill":
		return b.Shape.ChunkTokens * prefillFactor
	case "decode":
		return b.Shape.ChunkTokens / decodePart
	}
	return b.Shape.ChunkTokens
}

// decode makes one token for each sequence whose prompt is worked through.
func (b *Batch) decode() ([]Made, int) {
	var made []Made
	rest := b.Running[:0]
	for _, s := range b.Running {
		if s.prefilled < s.Prompt+s.Given {
			rest = append(rest, s)
			continue
		}
		m := Made{Sequence: s, Offset: s.made, End: s.made+1 >= s.Answer}
		s.made++
		made = append(made, m)
		if m.End {
			b.Used -= s.pieces
			continue
		}
		rest = append(rest, s)
	}
	clear(b.Running[len(rest):])
	b.Running = rest
	return made, len(made)
}

func (b *Batch) remember(hash uint64) {
	if _, ok := b.cache[hash]; !ok {
		b.Events = append(b.Events, CacheEvent{Hash: hash})
	}
	b.cache[hash] = b.step
}

// evict drops the pieces that were used longest ago until all fit.
func (b *Batch) evict() {
	over := b.Used + len(b.cache) - b.Shape.Pieces
	if over <= 0 {
		return
	}
	type piece struct{ hash, step uint64 }
	pieces := make([]piece, 0, len(b.cache))
	for hash, step := range b.cache {
		pieces = append(pieces, piece{hash, step})
	}
	slices.SortFunc(pieces, func(x, y piece) int {
		if x.step != y.step {
			return compare(x.step, y.step)
		}
		return compare(x.hash, y.hash)
	})
	for _, p := range pieces[:min(over, len(pieces))] {
		delete(b.cache, p.hash)
		b.Events = append(b.Events, CacheEvent{Hash: p.hash, Evicted: true})
	}
}

func compare(x, y uint64) int {
	if x < y {
		return -1
	}
	return 1
}
