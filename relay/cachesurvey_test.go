package relay_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"endivedeck.example/roster"
	"endivedeck.example/routes"
)

// TestCacheSurvey starts a relay in front of an engine that has the first parts of
// a prompt cached and another engine in the relay's own failure domain that
// doesn't, as after a restart of all relays. Each engine is listed by one of two
// relays, which passes the list on. The prompt must be sent to the first
// engine, or to the second one with the first as the source of the prefix.
func TestCacheSurvey(t *testing.T) {
	list := plainResponse(200, `{"epoch":1,"next":7,"held":[["","ab",2500,"m"],["","cd",3700,"m"]]}`)
	far := &backendServer{name: "a", domain: "elsewhere", stage: roster.Decode, script: []string{list, streamResponse(event(1))}}
	near := &backendServer{name: "b", domain: "near", stage: roster.Decode, script: []string{plainResponse(200, `{"epoch":1,"next":0,"held":[]}`), streamResponse(event(1))}}
	b := newTestbedFor(t, routes.Service{Name: "assist", Engine: routes.Engine{CacheTokens: 100_000}}, oneRoute(routes.Stream, 1, false), far, near)
	b.startRelay("second", "elsewhere")
	b.waitFor("both engines have listed their caches", func() bool { return far.requestCount()+near.requestCount() >= 2 })
	<-time.After(200 * time.Millisecond) // for the list from the second relay to arrive
	if got := b.send(http.MethodPost, "/a/", longPromptHeader, "x"); !strings.HasPrefix(got, "200 ") {
		t.Fatalf("got %s, want status 200", got)
	}
	got := b.requestLog()
	if !strings.Contains(got, "a: [GET /-/kv-list POST /a/") && !strings.Contains(got, "Kv-Fetch=memory") {
		t.Errorf("got requests\n%swant the prompt at a, or with its prefix fetched from there", got)
	}
}
