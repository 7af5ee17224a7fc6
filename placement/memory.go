package placement

import (
	"time"

	"endivedeck.example/routes"
)

const (
	memoryTokens = 300_000               // of an engine whose size isn't known
	tokenTime    = 150 * time.Nanosecond // to move one token's KV cache where links aren't known
	keptShare    = 0.9                   // of an engine's memory that is left to prompts beside running requests
)

type (
	// CacheInsert tells that a server has been given a prompt.
	CacheInsert struct {
		Server   string   `cbor:"1,keyasint"` // ID
		Prefixes []uint64 `cbor:"2,keyasint"` // names of the prompt's shared prefixes
		Tokens   int      `cbor:"3,keyasint"` // that the server's memory takes in for it
	}

	// memory is what a server is expected to hold. The least recently used
	// parts yield, so a prefix is held until as many tokens have come in since
	// its last use as there is room for.
	memory struct {
		room int64            // tokens
		in   int64            // tokens that have come in so far
		used map[uint64]int64 // in, at the last use of each prefix
	}
)

func newMemory(engine routes.Engine) *memory {
	m := &memory{used: map[uint64]int64{}}
	m.resize(engine)
	return m
}

func (m *memory) resize(engine routes.Engine) {
	tokens := engine.CacheTokens
	if tokens <= 0 {
		tokens = memoryTokens
	}
	m.room = int64(keptShare * float64(tokens))
}

// holds reports whether a prefix is expected to be held still.
func (m *memory) holds(prefix uint64) bool {
	at, known := m.used[prefix]
	return known && m.in-at < m.room
}

// take notes that a prompt with the given prefixes comes in, with so many
// tokens that weren't held.
func (m *memory) take(prefixes []uint64, tokens int) {
	const most = 8192 // prefixes, after which those that have yielded are forgotten
	m.in += int64(tokens)
	for _, p := range prefixes {
		m.used[p] = m.in
	}
	if len(m.used) <= most {
		return
	}
	for p := range m.used {
		if !m.holds(p) {
			delete(m.used, p)
		}
	}
}

// moveTokens is the time to bring the KV cache of some tokens from one engine
// to another; between failure domains it takes twice as long.
func moveTokens(engine routes.Engine, tokens int, far bool) time.Duration {
	each := tokenTime
	if engine.TransferRate > 0 && engine.BytesPerToken > 0 {
		each = time.Duration(engine.BytesPerToken / engine.TransferRate * float64(time.Second))
	}
	took := time.Duration(tokens) * each
	if far {
		took *= 2
	}
	return took
}
