// Package prompt counts and hashes the tokens of prompts in the same way as
// the cache events that engines publish.
//
// The KV cache of a prompt is stored in blocks of a fixed number of tokens. The
// hash of a block covers the model and all tokens up to the end of the block,
// so equal hashes mean equal prefixes.
package prompt

import (
	"strings"

	"github.com/cespare/xxhash/v2"
)

// CountTokens returns the number of tokens in a prompt, which is at least 1.
func CountTokens(text string) int { return max(1, len(strings.Fields(text))) }

// BlockHashes returns the hash of each complete block of blockTokens tokens in a
// prompt, or nil if blockTokens isn't positive.
func BlockHashes(model, text string, blockTokens int) []uint64 {
	if blockTokens <= 0 {
		return nil
	}
	var hashes []uint64
	digest := xxhash.New()
	_, _ = digest.WriteString(model)
	for i, word := range strings.Fields(text) {
		_, _ = digest.WriteString("\x00" + word)
		if (i+1)%blockTokens == 0 {
			hashes = append(hashes, digest.Sum64())
		}
	}
	return hashes
}
