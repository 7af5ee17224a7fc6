package relay_test

import (
	"net/http"
	"strings"
	"testing"

	"endivedeck.example/message"
	"endivedeck.example/roster"
	"endivedeck.example/routes"
)

// TestDeparturePassesBetweenRelays has a backend server leave while the path from the
// control instance that was told to one of two relays delivers nothing. That relay must
// learn it from the other one.
func TestDeparturePassesBetweenRelays(t *testing.T) {
	good := streamResponse(event(1))
	server, other := &backendServer{name: "a", script: []string{good}}, &backendServer{name: "b", script: []string{good}}
	b := newTestbed(t, oneRoute(routes.Stream, 1, false), server, other)
	second := b.startRelay("second", "near")
	b.waitFor("the second relay serves", func() bool { return strings.HasPrefix(b.sendTo(second, http.MethodPost, "/a/", "", "x"), "200 ") })
	b.mu.Lock()
	told := b.calls[0]
	b.mu.Unlock()
	leaves := roster.Server{ID: "a", Service: "assist", Address: server.listener.Addr().String(), StartedAt: 1, Seq: 2, Slots: 8, Draining: true}
	if err := told.Send(message.RelayUpdate{Servers: []roster.Observation{{Server: leaves}}}); err != nil {
		t.Fatal(err)
	}
	b.waitFor("the second relay knows that the server leaves", func() bool { return second.ServerCount("assist") == 1 })
	before := server.requestCount()
	for range 10 {
		if got := b.sendTo(second, http.MethodPost, "/a/", "", "x"); !strings.HasPrefix(got, "200 ") {
			t.Errorf("got %s, want status 200", got)
		}
	}
	if got := server.requestCount(); got != before {
		t.Errorf("got %d requests at the server that leaves, want none", got-before)
	}
}
