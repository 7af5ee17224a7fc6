package sidecar

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"endivedeck.example/golden"
	"endivedeck.example/message"
	"endivedeck.example/rank"
)

// TestHand lets each order through once, and never one that was fenced first.
func TestHand(t *testing.T) {
	s := &Sidecar{handed: map[uint64]handed{}, mu: rank.New(rank.Backend)}
	var text strings.Builder
	for _, step := range []struct {
		what  string
		order uint64
	}{{"call", 1}, {"call", 1}, {"fence", 1}, {"fence", 2}, {"call", 2}, {"fence", 2}, {"call", 3}, {"call again", 3}} {
		may := false
		if step.what == "fence" {
			may = s.hand(step.order, time.Now())
		} else {
			may = s.mayHand(message.ServiceCall{Order: step.order, Again: step.what == "call again"})
		}
		fmt.Fprintf(&text, "%s %d: %v\n", step.what, step.order, may)
	}
	golden.Check(t, "hand.golden", text.String())
}
