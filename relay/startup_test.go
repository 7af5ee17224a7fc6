package relay_test

import (
	"net/http"
	"strings"
	"testing"

	"endivedeck.example/routes"
)

// TestRequestBeforeRoutes sends a request to a relay that receives no routes: it must
// be refused as not run. Once the routes arrive, requests must be served; see
// TestAwaitRoutes for one that waits for them.
func TestRequestBeforeRoutes(t *testing.T) {
	b := newTestbed(t, oneRoute(routes.AtMostOnce, 1, false), &backendServer{name: "a", script: []string{plainResponse(200, "good")}})
	b.mu.Lock()
	b.hold = make(chan struct{})
	b.mu.Unlock()
	started := b.newRelay("started", "near")
	if err := started.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = started.Stop(t.Context()) }()
	if got := b.sendTo(started, http.MethodPost, "/a/", "", "x"); !strings.HasPrefix(got, "503 Retry-After=") {
		t.Errorf("no routes: got %s, want status 503 with Retry-After", got)
	}
	close(b.hold)
	b.waitFor("requests are served", func() bool {
		return strings.HasPrefix(b.sendTo(started, http.MethodPost, "/a/", "", "x"), "200 ")
	})
}
