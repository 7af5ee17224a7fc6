package sidecar

import (
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"

	"endivedeck.example/fault"
	"endivedeck.example/kernel"
	"endivedeck.example/message"
)

// TestEndlessAnswerIsNotKept has an engine send chunks without end. The sidecar kept those
// without tokens and texts of any length, until the process had no memory left and the
// other answers on its machine ended with it.
func TestEndlessAnswerIsNotKept(t *testing.T) {
	const (
		chunks    = 1 << 16
		maxTokens = 100
		maxKept   = 1 << 20 // bytes; 100 tokens are some hundred
	)
	for _, c := range []struct {
		name  string
		chunk message.Chunk
		want  fault.Kind
	}{
		{"empty chunks", message.Chunk{ID: "a"}, ""},
		{"texts without tokens", message.Chunk{ID: "a", Text: strings.Repeat("x", 1<<10)}, ""},
		{"reasons without tokens", message.Chunk{ID: "a", FinishReason: strings.Repeat("x", 1<<10)}, ""},
		{"long text of a token", message.Chunk{ID: "a", Tokens: 1, Text: strings.Repeat("x", 1<<20)}, fault.Broken},
		{"fewer than no tokens", message.Chunk{ID: "a", Tokens: -1, Text: "x"}, fault.Broken},
	} {
		table := newStreamTable(&Sidecar{host: &kernel.Host{Metrics: metrics.NewSet()}})
		s := &stream{table: table, request: message.GenerateRequest{ID: "a", MaxTokens: maxTokens}, updated: make(chan struct{})}
		var err error
		for i := 0; i < chunks && err == nil; i++ {
			err = s.appendChunk(c.chunk)
		}
		if got := fault.KindOf(err); got != c.want {
			t.Errorf("%s: got error kind %q, want %q", c.name, got, c.want)
		}
		kept := 0
		for _, chunk := range s.chunks {
			kept += 100 + len(chunk.Text) + len(chunk.FinishReason)
		}
		if kept > maxKept {
			t.Errorf("%s: got %d bytes kept, want at most %d", c.name, kept, maxKept)
		}
	}
}
