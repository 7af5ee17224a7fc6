package entry

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"endivedeck.example/golden"
)

// TestSilentConnections checks that a query completes when all open connections
// to the sidecars go silent, as when a NAT gateway or firewall drops its state,
// just before the query or while it is running. New connections work.
func TestSilentConnections(t *testing.T) {
	var text strings.Builder
	for _, after := range []time.Duration{0, 250 * time.Millisecond, 550 * time.Millisecond} {
		withTestEnv(t, func(env *testEnv) {
			silence := func() {
				for _, name := range append(engineServers, serviceServer) {
					env.network.BlackholeConns("entry-1", name)
				}
			}
			if after == 0 {
				silence()
			} else {
				time.AfterFunc(after, silence)
			}
			start := time.Now()
			outcome := env.sendQuery()
			fmt.Fprintf(&text, "silent after %v: %s, %d requests, took %v\n", after, outcome, env.engines[0].requests+env.engines[1].requests, time.Since(start).Round(100*time.Millisecond))
		})
	}
	golden.Check(t, "silent_connections.golden", text.String())
}
