package placement

import (
	"time"

	"endivedeck.example/routes"
)

const (
	defaultCacheTokens  = 300_000               // capacity of an engine for which none is configured
	defaultTransferTime = 150 * time.Nanosecond // per token of KV cache, if the transfer rate isn't configured
	usableFraction      = 0.9                   // of an engine's KV cache; running requests occupy the rest
)

type (
	// CacheInsert reports that a server inserts a prompt into its KV cache.
	CacheInsert struct {
		Server   string   `cbor:"1,keyasint"` // ID
		Prefixes []uint64 `cbor:"2,keyasint"` // hashes of the prompt's shared prefixes
		Tokens   int      `cbor:"3,keyasint"` // that weren't cached before
	}

	// CacheListing reports the parts of prompts that a server has in its KV cache.
	CacheListing struct {
		Server string   `cbor:"1,keyasint"` // ID
		Parts  []uint64 `cbor:"2,keyasint"` // IDs, as in Part
	}

	// prefixCache estimates which prompt prefixes a server has in its KV cache.
	// It models eviction of the least recently used entries: a prefix stays
	// cached until capacity tokens have been inserted since its last use.
	prefixCache struct {
		capacity int64            // tokens
		inserted int64            // tokens inserted so far
		lastUse  map[uint64]int64 // value of inserted at the last use of each prefix
		listed   map[uint64]int64 // value of inserted when the server listed the part, by part ID
	}
)

func newPrefixCache(engine routes.Engine) *prefixCache {
	c := &prefixCache{lastUse: map[uint64]int64{}, listed: map[uint64]int64{}}
	c.setCapacity(engine)
	return c
}

func (c *prefixCache) setCapacity(engine routes.Engine) {
	tokens := engine.CacheTokens
	if tokens <= 0 {
		tokens = defaultCacheTokens
	}
	c.capacity = int64(usableFraction * float64(tokens))
}

// contains reports whether a prefix is expected to be cached still.
func (c *prefixCache) contains(prefix uint64) bool {
	at, known := c.lastUse[prefix]
	return known && c.inserted-at < c.capacity
}

// containsPart reports whether a part that the server listed is expected to be
// cached still.
func (c *prefixCache) containsPart(part uint64) bool {
	at, known := c.listed[part]
	return known && c.inserted-at < c.capacity
}

// list records the parts that the server has listed.
func (c *prefixCache) list(parts []uint64) {
	for _, part := range parts {
		c.listed[part] = c.inserted
	}
}

// insert records the use of a prompt with the given prefixes. tokens is the
// number of its tokens that weren't cached before.
func (c *prefixCache) insert(prefixes []uint64, tokens int) {
	const maxPrefixes = 8192 // above this number, evicted prefixes are deleted
	c.inserted += int64(tokens)
	for _, p := range prefixes {
		c.lastUse[p] = c.inserted
	}
	if len(c.lastUse) <= maxPrefixes {
		return
	}
	for p := range c.lastUse {
		if !c.contains(p) {
			delete(c.lastUse, p)
		}
	}
	for p := range c.listed {
		if !c.containsPart(p) {
			delete(c.listed, p)
		}
	}
}

// transferTime returns the time to transfer the KV cache of some tokens between
// two engines. Transfers between failure domains take twice as long.
func transferTime(engine routes.Engine, tokens int, crossDomain bool) time.Duration {
	perToken := defaultTransferTime
	if engine.TransferRate > 0 && engine.BytesPerToken > 0 {
		perToken = time.Duration(engine.BytesPerToken / engine.TransferRate * float64(time.Second))
	}
	total := time.Duration(tokens) * perToken
	if crossDomain {
		total *= 2
	}
	return total
}
