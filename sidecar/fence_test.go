package sidecar

import (
	"testing"

	"endivedeck.example/message"
	"endivedeck.example/rank"
)

// TestRepeatedFenceSaysSent repeats a fence request, as an entry does if the reply to
// the first is lost. Both replies must say that the order wasn't sent.
func TestRepeatedFenceSaysSent(t *testing.T) {
	s := &Sidecar{incarnation: "1", sentOrders: map[uint64]sentOrder{}, mu: rank.New(rank.Backend)}
	s.maySend(message.ServiceCall{BeginIndex: 6})
	for _, c := range []struct {
		beginIndex uint64
		wantSent   bool
	}{{7, false}, {7, false}, {6, true}, {6, true}} {
		response, err := s.serveFence(message.FenceRequest{BeginIndex: c.beginIndex, Incarnation: "1"})
		if err != nil {
			t.Fatal(err)
		}
		if got := response.Sent; got != c.wantSent {
			t.Errorf("fence of order %d: got sent %v, want %v", c.beginIndex, got, c.wantSent)
		}
	}
	if s.maySend(message.ServiceCall{BeginIndex: 7}) {
		t.Error("a fenced order may be sent, want not")
	}
}
