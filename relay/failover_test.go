package relay_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"endivedeck.example/routes"
)

// TestPrefixSharing has one relay send a prompt to the engine that is near to it:
// another relay learns of it, and sends a prompt with the same shared parts there
// too, though another engine is nearer to it.
func TestPrefixSharing(t *testing.T) {
	near := &backendServer{name: "a", domain: "near", script: []string{streamResponse(event(1))}}
	far := &backendServer{name: "b", domain: "elsewhere", script: []string{streamResponse(event(1))}}
	b := newTestbed(t, oneRoute(routes.Stream, 1, false), near, far)
	second := b.startRelay("second", "elsewhere")
	round := 0
	b.waitFor("the first relay knows where the shared parts are", func() bool {
		round++
		header := strings.ReplaceAll(longPromptHeader, "cd:", fmt.Sprintf("cd%d:", round))
		if got := b.sendTo(second, http.MethodPost, "/a/", header, "x"); !strings.HasPrefix(got, "200 ") {
			t.Fatalf("got %s, want status 200", got)
		}
		<-time.After(50 * time.Millisecond) // for the word to arrive; else the next round shows it
		b.send(http.MethodPost, "/a/", strings.ReplaceAll(header, "ef:", "gh:"), "x")
		return far.requestCount() > round
	})
}

// TestStalledControlConnection has the connection to control go silent for good: the
// relay serves on, and learns of new routes over another connection.
func TestStalledControlConnection(t *testing.T) {
	b := newTestbed(t, oneRoute(routes.Idempotent, 1, false), &backendServer{name: "a", script: []string{plainResponse(200, "good")}})
	b.network.Forget("relay", "control")
	if got := b.send(http.MethodGet, "/a/", "", ""); !strings.HasPrefix(got, "200 ") {
		t.Errorf("got %s while control is silent, want status 200", got)
	}
	newRoutes := oneRoute(routes.Idempotent, 1, false)
	newRoutes[0].Prefix = "/moved/"
	b.mu.Lock()
	b.update.Routes = &routes.Table{Version: 6, Services: b.update.Routes.Services, Routes: newRoutes}
	b.mu.Unlock()
	b.waitFor("new routes are in force", func() bool {
		return strings.HasPrefix(b.send(http.MethodGet, "/moved/", "", ""), "200 ")
	})
	if got := b.send(http.MethodGet, "/a/", "", ""); !strings.HasPrefix(got, "404 ") {
		t.Errorf("got %s on a route that was dropped, want status 404", got)
	}
}

// TestUnresponsiveServer has a backend server take a request and never answer: a
// stream that may go on elsewhere is answered by another one in time.
func TestUnresponsiveServer(t *testing.T) {
	unresponsive := &backendServer{name: "a", script: []string{"hang"}}
	working := &backendServer{name: "b", script: []string{streamResponse(event(1), event(2))}}
	b := newTestbed(t, oneRoute(routes.Stream, 2, true), unresponsive, working)
	b.waitFor("a request went to the silent server and was answered all the same", func() bool {
		got := b.send(http.MethodPost, "/a/", "", "x")
		if !strings.HasPrefix(got, "200 ") || !strings.HasSuffix(got, "whole") {
			t.Errorf("got %s, want the whole answer of b", got)
		}
		return unresponsive.requestCount() > 0
	})
}
