package relay_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"endivedeck.example/message"
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

// TestSubscriptionTellsVersion0 guards against a relay whose routes have version 0 and that
// tells control instances that it has none: on its subscription once they are in force, and
// when it subscribes again.
func TestSubscriptionTellsVersion0(t *testing.T) {
	b := newTestbed(t, oneRoute(routes.AtMostOnce, 1, false), &backendServer{name: "a", script: []string{plainResponse(200, "good")}})
	b.mu.Lock()
	table := *b.update.Routes
	table.Version = 0
	b.update.Routes = &table
	b.mu.Unlock()
	r := b.startRelay("first", "near")
	b.waitFor("requests are served", func() bool {
		return strings.HasPrefix(b.sendTo(r, http.MethodPost, "/a/", "", "x"), "200 ")
	})
	call := b.subscription("first", 1)
	stop := time.AfterFunc(20*time.Second, call.Cancel)
	defer stop.Stop()
	var got message.RoutesInForce
	if err := call.Receive(&got); err != nil || got.Version != 0 {
		t.Errorf("got version %d in force, error %v, want version 0", got.Version, err)
	}
	call.Cancel()
	b.subscription("first", 2)
	b.mu.Lock()
	defer b.mu.Unlock()
	var told []bool
	for _, request := range b.asked {
		if request.Relay == "first" {
			told = append(told, request.HasRoutes)
		}
	}
	if len(told) < 2 || told[0] || !told[1] {
		t.Errorf("got routes known %v at each subscription, want false and true", told)
	}
}
