// Package prompt counts and hashes the tokens of prompts the way the engines'
// published cache events do.
//
// A prompt's KV cache is held in pieces of a fixed number of tokens. The hash
// of a piece covers the model and all tokens up to the piece's end, so equal
// hashes mean equal prefixes.
package prompt

import (
	"strings"

	"github.com/cespare/xxhash/v2"
)

// CountTokens returns how many tokens a prompt has, which is at least one.
func CountTokens(text string) int { return max(1, len(strings.Fields(text))) }

// BlockHashes returns the hashes of the whole pieces of a prompt.
func BlockHashes(model, text string, pieceTokens int) []uint64 {
	if pieceTokens <= 0 {
		return nil
	}
	var hashes []uint64
	digest := xxhash.New()
	_, _ = digest.WriteString(model)
	for i, word := range strings.Fields(text) {
		_, _ = digest.WriteString("\x00" + word)
		if (i+1)%pieceTokens == 0 {
			hashes = append(hashes, digest.Sum64())
		}
	}
	return hashes
}
