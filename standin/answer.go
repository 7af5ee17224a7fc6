package standin

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	leastAnswer  = 8
	spreadAnswer = 24
)

// Token returns the answer token at offset, which depends on nothing else
// than model, prompt and offset.
func Token(model, prompt string, offset int) string {
	sum := xxhash.Sum64String(fmt.Sprintf("%s\x00%s\x00%d", model, prompt, offset))
	return fmt.Sprintf("%04x ", sum&0xffff)
}

// AnswerTokens returns how many tokens the answer has.
func AnswerTokens(model, prompt string, most int) int {
	sum := xxhash.Sum64String(model + "\x00" + prompt)
	return min(most, leastAnswer+int(sum%spreadAnswer))
}

// Answer returns the whole answer.
func Answer(model, prompt string, most int) string {
	var text strings.Builder
	for i := range AnswerTokens(model, prompt, most) {
		text.WriteString(Token(model, prompt, i))
	}
	return text.String()
}
