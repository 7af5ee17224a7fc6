package standin

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	minAnswerTokens   = 8
	answerTokensRange = 24
)

// Token returns the answer token at offset. It is a function of model, prompt
// and offset only, so a resumed answer continues with the same tokens.
func Token(model, prompt string, offset int) string {
	hash := xxhash.Sum64String(fmt.Sprintf("%s\x00%s\x00%d", model, prompt, offset))
	return fmt.Sprintf("%04x ", hash&0xffff)
}

// AnswerTokens returns the number of tokens of the answer to prompt, at most
// maxTokens.
func AnswerTokens(model, prompt string, maxTokens int) int {
	hash := xxhash.Sum64String(model + "\x00" + prompt)
	return min(maxTokens, minAnswerTokens+int(hash%answerTokensRange))
}

// Answer returns the complete answer to prompt, of at most maxTokens tokens.
func Answer(model, prompt string, maxTokens int) string {
	var answer strings.Builder
	for i := range AnswerTokens(model, prompt, maxTokens) {
		answer.WriteString(Token(model, prompt, i))
	}
	return answer.String()
}
