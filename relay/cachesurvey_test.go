package relay_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"endivedeck.example/roster"
	"endivedeck.example/routes"
)

// TestCacheSurvey starts two relays in front of an engine that has the first parts of
// some prompts cached, and another engine in the first relay's failure domain that
// has nothing, as after a restart of all relays. Each engine is listed by one of the
// relays, which passes the list on. The first relay must then send a prompt to the
// first engine, or to the second one with the first as the source of the prefix.
func TestCacheSurvey(t *testing.T) {
	const prompts = 2000 // more than are sent within the time limit
	held := []string{`["","ab",2500,"m"]`}
	for i := range prompts {
		held = append(held, fmt.Sprintf(`["","cd%d",3700,"m"]`, i))
	}
	list := plainResponse(200, `{"epoch":1,"next":7,"held":[`+strings.Join(held, ",")+`]}`)
	far := &backendServer{name: "a", domain: "elsewhere", stage: roster.Decode, script: []string{list, streamResponse(event(1))}}
	near := &backendServer{name: "b", domain: "near", stage: roster.Decode, script: []string{plainResponse(200, `{"epoch":1,"next":0,"held":[]}`), streamResponse(event(1))}}
	b := newTestbedFor(t, routes.Service{Name: "assist", Engine: routes.Engine{CacheTokens: 100_000_000}}, oneRoute(routes.Stream, 1, false), far, near)
	b.startRelay("second", "elsewhere")
	b.waitFor("both engines have listed their caches", func() bool { return far.requestCount() >= 1 && near.requestCount() >= 1 })
	sent := 0
	b.waitFor("the relay knows what the first engine has cached", func() bool {
		header := strings.ReplaceAll(longPromptHeader, "cd:", fmt.Sprintf("cd%d:", sent%prompts))
		sent++
		if got := b.send(http.MethodPost, "/a/", header, "x"); !strings.HasPrefix(got, "200 ") {
			t.Fatalf("got %s, want status 200", got)
		}
		return far.requestCount() > 1 || strings.Contains(b.requestLog(), "Kv-Fetch=memory")
	})
}
