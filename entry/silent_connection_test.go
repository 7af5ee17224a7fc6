package entry

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"endivedeck.example/golden"
)

// TestSilentConnections has something on the way lose track of every open
// connection to the sidecars, while an answer runs and just before one is
// asked for: each comes whole, since new connections work.
func TestSilentConnections(t *testing.T) {
	var text strings.Builder
	for _, after := range []time.Duration{0, 250 * time.Millisecond, 550 * time.Millisecond} {
		withTestEnv(t, func(env *testEnv) {
			silence := func() {
				for _, name := range append(engineServers, serviceServer) {
					env.network.Forget("entry-1", name)
				}
			}
			if after == 0 {
				silence()
			} else {
				time.AfterFunc(after, silence)
			}
			start := time.Now()
			outcome := env.sendQuery()
			fmt.Fprintf(&text, "forgotten after %v: %s, %d asks, after %v\n", after, outcome, env.engines[0].requests+env.engines[1].requests, time.Since(start).Round(100*time.Millisecond))
		})
	}
	golden.Check(t, "forgotten.golden", text.String())
}
