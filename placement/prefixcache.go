package placement

import (
	"time"

	"endivedeck.example/routes"
)

const (
	defaultCacheTokens  = 300_000               // of an engine whose size isn't known
	defaultTransferTime = 150 * time.Nanosecond // to move one token's KV cache where links aren't known
	usableFraction      = 0.9                   // of an engine's memory that is left to prompts beside running requests
)

type (
	// Reading tells that a server has been given a prompt.
	Reading struct {
		Server   string   `cbor:"1,keyasint"` // ID
		Prefixes []uint64 `cbor:"2,keyasint"` // names of the prompt's shared prefixes
		Tokens   int      `cbor:"3,keyasint"` // that the server's memory takes in for it
	}

	// prefixCache is what a server is expected to hold. The least recently used
	// parts yield, so a prefix is held until as many tokens have come in since
	// its last use as there is room for.
	prefixCache struct {
		capacity int64            // tokens
		inserted int64            // tokens that have come in so far
		lastUse  map[uint64]int64 // in, at the last use of each prefix
	}
)

func newPrefixCache(engine routes.Engine) *prefixCache {
	m := &prefixCache{lastUse: map[uint64]int64{}}
	m.setCapacity(engine)
	return m
}

func (m *prefixCache) setCapacity(engine routes.Engine) {
	tokens := engine.Memory
	if tokens <= 0 {
		tokens = defaultCacheTokens
	}
	m.capacity = int64(usableFraction * float64(tokens))
}

// contains reports whether a prefix is expected to be held still.
func (m *prefixCache) contains(prefix uint64) bool {
	at, known := m.lastUse[prefix]
	return known && m.inserted-at < m.capacity
}

// insert notes that a prompt with the given prefixes comes in, with so many
// tokens that weren't held.
func (m *prefixCache) insert(prefixes []uint64, tokens int) {
	const most = 8192 // prefixes, after which those that have yielded are forgotten
	m.inserted += int64(tokens)
	for _, p := range prefixes {
		m.lastUse[p] = m.inserted
	}
	if len(m.lastUse) <= most {
		return
	}
	for p := range m.lastUse {
		if !m.contains(p) {
			delete(m.lastUse, p)
		}
	}
}

// transferTime is the time to bring the KV cache of some tokens from one engine
// to another; between failure domains it takes twice as long.
func transferTime(engine routes.Engine, tokens int, far bool) time.Duration {
	each := defaultTransferTime
	if engine.Link > 0 && engine.TokenBytes > 0 {
		each = time.Duration(engine.TokenBytes / engine.Link * float64(time.Second))
	}
	took := time.Duration(tokens) * each
	if far {
		took *= 2
	}
	return took
}
