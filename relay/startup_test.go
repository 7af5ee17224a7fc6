package relay_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"endivedeck.example/routes"
)

// TestRequestBeforeRoutes sends a request to a relay that has no routes yet, as
// after a restart of all processes. It must be served once the routes arrive, and a
// relay that receives none must refuse it as not run.
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
	time.AfterFunc(100*time.Millisecond, func() { close(b.hold) })
	if got := b.sendTo(started, http.MethodPost, "/a/", "", "x"); !strings.HasPrefix(got, "200 ") {
		t.Errorf("routes arrive meanwhile: got %s, want status 200", got)
	}
}
