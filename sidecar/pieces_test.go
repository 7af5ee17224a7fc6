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

// TestPieces gives one answer's stream pieces that are late, doubled, of other
// answers or behind a gap, and writes down what it keeps. The twin takes all
// of them, as a stream without identity and offset would.
func TestPieces(t *testing.T) {
	pieces := []message.Piece{
		{ID: "a", Offset: 0, Tokens: 1, Text: "one "},
		{ID: "b", Offset: 1, Tokens: 1, Text: "OTHER "},
		{ID: "a", Offset: 0, Tokens: 1, Text: "one "},
		{ID: "a", Offset: 1, Tokens: 2, Text: "two three "},
		{ID: "b", Offset: 3, End: true},
		{ID: "a", Offset: 1, Tokens: 2, Text: "two three "},
		{ID: "a", Offset: 3, Tokens: 1, Text: "four", End: true},
	}
	gap := message.Piece{ID: "a", Offset: 9, Tokens: 1, Text: "late"}

	host := &kernel.Host{Metrics: metrics.NewSet()}
	streams := newStreams(&Sidecar{host: host})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	s := &stream{streams: streams, work: message.Work{ID: "a", Most: 10}, ctx: ctx, cancel: cancel, wake: make(chan struct{})}
	var seen, twin strings.Builder
	for _, p := range pieces {
		if err := s.take(p); err != nil {
			t.Fatal(err)
		}
		twin.WriteString(p.Text)
	}
	kept := ""
	for _, p := range s.pieces {
		kept += p.Text
	}
	fmt.Fprintf(&seen, "kept: %s, ended %v\n", kept, s.end)
	fmt.Fprintf(&seen, "crossed %d, doubled %d\n", host.Metrics.GetOrCreateCounter("pieces_crossed_total").Get(), host.Metrics.GetOrCreateCounter("pieces_doubled_total").Get())
	fmt.Fprintf(&seen, "behind a gap: %s\n", fault.Of(s.take(gap)))
	fmt.Fprintf(&seen, "twin: %s\n", twin.String())
	golden.Check(t, "pieces.golden", seen.String())
}
