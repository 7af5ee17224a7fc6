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

// TestSendOrderOnce guards against an order that runs twice because its call
// arrives twice, or arrives after the order was fenced: each order may be sent
// at most once, and not after a fence.
func TestSendOrderOnce(t *testing.T) {
	s := &Sidecar{sentOrders: map[uint64]sentOrder{}, mu: rank.New(rank.Backend)}
	var text strings.Builder
	for _, step := range []struct {
		kind  string
		order uint64
	}{{"call", 1}, {"call", 1}, {"fence", 1}, {"fence", 2}, {"call", 2}, {"fence", 2}, {"call", 3}, {"call again", 3}} {
		allowed := false
		if step.kind == "fence" {
			allowed = s.markSent(step.order, time.Now())
		} else {
			allowed = s.maySend(message.ServiceCall{BeginIndex: step.order, MayHaveRun: step.kind == "call again"})
		}
		fmt.Fprintf(&text, "%s %d: %v\n", step.kind, step.order, allowed)
	}
	golden.Check(t, "hand.golden", text.String())
}
