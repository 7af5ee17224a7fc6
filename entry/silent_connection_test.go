package entry

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"endivedeck.example/golden"
)

// TestForgottenConnections has something on the way lose track of every open
// connection to the sidecars, while an answer runs and just before one is
// asked for: each comes whole, since new connections work.
func TestForgottenConnections(t *testing.T) {
	var text strings.Builder
	for _, after := range []time.Duration{0, 250 * time.Millisecond, 550 * time.Millisecond} {
		inBed(t, func(b *bed) {
			forget := func() {
				for _, name := range append(engineNames, ledgerName) {
					b.network.Forget("entry-1", name)
				}
			}
			if after == 0 {
				forget()
			} else {
				time.AfterFunc(after, forget)
			}
			begun := time.Now()
			outcome := b.chat()
			fmt.Fprintf(&text, "forgotten after %v: %s, %d asks, after %v\n", after, outcome, b.engines[0].asks+b.engines[1].asks, time.Since(begun).Round(100*time.Millisecond))
		})
	}
	golden.Check(t, "forgotten.golden", text.String())
}
