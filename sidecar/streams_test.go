package sidecar

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"

	"endivedeck.example/fault"
	"endivedeck.example/golden"
	"endivedeck.example/kernel"
	"endivedeck.example/message"
)

// TestAppendChunk guards against chunks of an answer that are mixed up on the
// connection to the engine: duplicates, late ones, those of other answers, and
// those after a gap. The last line of the golden file is the text without checks
// of ID and offset.
func TestAppendChunk(t *testing.T) {
	chunks := []message.Chunk{
		{ID: "a", Offset: 0, Tokens: 1, Text: "one "},
		{ID: "b", Offset: 1, Tokens: 1, Text: "OTHER "},
		{ID: "a", Offset: 0, Tokens: 1, Text: "one "},
		{ID: "a", Offset: 1, Tokens: 2, Text: "two three "},
		{ID: "b", Offset: 3, Final: true},
		{ID: "a", Offset: 1, Tokens: 2, Text: "two three "},
		{ID: "a", Offset: 3, Tokens: 1, Text: "four", Final: true},
	}
	gap := message.Chunk{ID: "a", Offset: 9, Tokens: 1, Text: "late"}

	host := &kernel.Host{Metrics: metrics.NewSet()}
	table := newStreamTable(&Sidecar{host: host})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	s := &stream{table: table, request: message.GenerateRequest{ID: "a", MaxTokens: 10}, ctx: ctx, cancel: cancel, updated: make(chan struct{})}
	var report, unchecked strings.Builder
	for _, chunk := range chunks {
		if err := s.appendChunk(chunk); err != nil {
			t.Fatal(err)
		}
		unchecked.WriteString(chunk.Text)
	}
	kept := ""
	for _, chunk := range s.chunks {
		kept += chunk.Text
	}
	fmt.Fprintf(&report, "kept: %s, ended %v\n", kept, s.ended)
	fmt.Fprintf(&report, "dropped: %d of other answers, %d duplicates\n", host.Metrics.GetOrCreateCounter("pieces_crossed_total").Get(), host.Metrics.GetOrCreateCounter("pieces_doubled_total").Get())
	fmt.Fprintf(&report, "after a gap: %s\n", fault.KindOf(s.appendChunk(gap)))
	fmt.Fprintf(&report, "without checks: %s\n", unchecked.String())
	golden.Check(t, "pieces.golden", report.String())
}
