package entry

import (
	"fmt"
	"strings"
	"testing"

	"endivedeck.example/fault"
	"endivedeck.example/golden"
)

// TestQueryEndsOneEngineAfterTheOther guards against a query under which each
// engine that gets it ends, before a token or after some: it must not be sent on
// until no engine is left. Engines that end by chance, sidecars that refuse or
// report a damaged answer, and lost connections to sidecars have no such bound.
func TestQueryEndsOneEngineAfterTheOther(t *testing.T) {
	const always = 1000
	ended := fault.EngineEnd("reading the engine's stream: unexpected EOF")
	damaged := fault.New(fault.Broken, fault.MaybeRun, "gap in the engine's stream")
	refused := fault.New(fault.Overloaded, fault.MaybeRun, "no capacity to go on")
	var text strings.Builder
	for _, test := range []struct {
		name   string
		breaks *engineBreaks
	}{
		{"each engine ends before a token", &engineBreaks{left: always, errs: []error{ended}}},
		{"each engine ends after a token", &engineBreaks{left: always, tokens: 1, errs: []error{ended}}},
		{"each engine ends after 4 tokens", &engineBreaks{left: always, tokens: 4, errs: []error{ended}}},
		{"each connection is lost before a token, then the engine ends", &engineBreaks{left: always, errs: []error{nil, ended}}},
		{"each connection is lost after a token, then the engine ends", &engineBreaks{left: always, tokens: 1, errs: []error{nil, ended}}},
		{"one engine ends before a token", &engineBreaks{left: 1, errs: []error{ended}}},
		{"one engine ends after 4 tokens", &engineBreaks{left: 1, tokens: 4, errs: []error{ended}}},
		{"each engine refuses to go on after a token", &engineBreaks{left: always, tokens: 1, errs: []error{refused}}},
		{"each answer is damaged after a token", &engineBreaks{left: always, tokens: 1, errs: []error{damaged}}},
		{"each connection is lost after a token", &engineBreaks{left: always, tokens: 1, errs: []error{nil}}},
	} {
		withTestEnv(t, func(env *testEnv) {
			for _, e := range env.engines {
				e.breaks = test.breaks
			}
			outcome := env.sendQuery()
			requests := env.engines[0].requests + env.engines[1].requests
			fmt.Fprintf(&text, "%s: %s, requests %d, broken off %d\n", test.name, outcome, requests, test.breaks.count)
		})
	}
	golden.Check(t, "engine_ends.golden", text.String())
}
