package sidecar

import (
	"strings"
	"testing"
	"time"

	"endivedeck.example/fault"
	"endivedeck.example/message"
)

// TestAttachToOtherAnswer has an entry come back with tokens of another engine, after a
// sidecar was cut off. It must not get the rest of the answer that the sidecar retained,
// unless that begins with the same tokens.
func TestAttachToOtherAnswer(t *testing.T) {
	const received = 5
	words := strings.Repeat("word ", received)
	runInTestbed(t, &transcript{}, func(b *testbed) {
		table := b.sidecar.streams
		request := message.GenerateRequest{ID: "a", MaxTokens: answerTokens, TimeLeft: time.Minute}
		first, _, err := table.attachOrStart(request)
		if err != nil {
			t.Error(err)
			return
		}
		b.wait(2 * received * tokenInterval)
		for _, c := range []struct {
			name     string
			offset   int
			text     string
			resume   bool
			wantKind fault.Kind
		}{
			{"same tokens", received, words, false, ""},
			{"same tokens, resumed", received, words, true, ""},
			{"other tokens, resumed", received, "some other text ", true, fault.NotFound},
			{"more than was generated", answerTokens - 1, words, true, fault.NotFound},
			{"same tokens after a refusal", received, words, false, ""},
			{"other tokens", received, "some other text ", false, fault.NotFound},
		} {
			request.Offset, request.ReceivedText, request.Resume = c.offset, c.text, c.resume
			s, _, err := table.attachOrStart(request)
			if got := fault.KindOf(err); got != c.wantKind {
				t.Errorf("%s: got error kind %q, want %q", c.name, got, c.wantKind)
			}
			if c.wantKind == "" && s != first {
				t.Errorf("%s: got another stream, want the retained one", c.name)
			}
		}
	})
}
