package sidecar

import (
	"testing"

	"github.com/VictoriaMetrics/metrics"

	"endivedeck.example/fault"
	"endivedeck.example/kernel"
	"endivedeck.example/message"
)

// TestChunkOverLimitIsStored has an engine send more tokens than requested. The reader
// must get those before the excess, and an error.
func TestChunkOverLimitIsStored(t *testing.T) {
	table := newStreamTable(&Sidecar{host: &kernel.Host{Metrics: metrics.NewSet()}})
	s := &stream{table: table, request: message.GenerateRequest{ID: "a", MaxTokens: 3}, updated: make(chan struct{})}
	if err := s.appendChunk(message.Chunk{ID: "a", Offset: 0, Tokens: 2, Text: "one two "}); err != nil {
		t.Fatal(err)
	}
	err := s.appendChunk(message.Chunk{ID: "a", Offset: 2, Tokens: 2, Text: "three four ", Final: true})
	if got, want := fault.KindOf(err), fault.Broken; got != want {
		t.Errorf("got error kind %q, want %q", got, want)
	}
	next := 0
	chunks, status := s.readChunks(0, &next)
	if got, want := len(chunks), 1; got != want {
		t.Errorf("got %d chunks for the reader, want %d", got, want)
	}
	if got, want := s.nextOffset, 2; got != want || status.ended {
		t.Errorf("got offset %d and ended %v, want %d and false", got, status.ended, want)
	}
}
