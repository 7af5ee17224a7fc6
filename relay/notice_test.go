package relay_test

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"endivedeck.example/roster"
	"endivedeck.example/routes"
)

const leaving = "Server-Leaving: 1"

// TestLeavingServerGetsNoRequests has a backend server say in a response that it
// leaves, while the control instance still lists it as ready. It must get no request
// from the relay any more until it has started again.
func TestLeavingServerGetsNoRequests(t *testing.T) {
	good := streamResponse(event(1))
	for _, c := range []struct {
		name, response string
		want           int // requests at the server after its response
	}{
		{"success", plainResponse(200, "good", leaving), 0},
		{"stream", strings.Replace(good, "Request-Id", leaving+"\r\nRequest-Id", 1), 0},
		{"refusal", plainResponse(503, "", "Not-Executed: 1", leaving), 0},
		{"failure", plainResponse(500, "bad", leaving), 0},
		{"misdirected, by another server at the address", plainResponse(421, "", leaving), 5},
		{"not leaving", plainResponse(200, "good", "Server-Leaving: 0"), 5},
	} {
		t.Run(c.name, func(t *testing.T) {
			server := &backendServer{name: "a", script: []string{c.response, good}}
			b := newTestbed(t, oneRoute(routes.Stream, 1, false), server)
			b.send(http.MethodPost, "/a/", "", "x")
			announced := roster.Server{ID: "a", Service: "assist", Address: server.listener.Addr().String(), StartedAt: 1, Seq: 2, Slots: 8}
			b.announce(announced)
			for range 5 {
				b.send(http.MethodPost, "/a/", "", "x")
			}
			if got := server.requestCount() - 1; got != c.want {
				t.Errorf("got %d requests after the response, want %d", got, c.want)
			}
			announced.StartedAt = 2
			b.announce(announced)
			b.waitFor("the server is used after its restart", func() bool { return strings.HasPrefix(b.send(http.MethodPost, "/a/", "", "x"), "200 ") })
		})
	}
}

// TestLeavingServerGetsNoDecoding has the engine that prefills a prompt say that it
// leaves: what it holds is still used, but it gets no further prompt.
func TestLeavingServerGetsNoDecoding(t *testing.T) {
	servers := prefillAndDecode(plainResponse(200, `{"kvHandle":"h7","tokens":9000,"version":1}`, leaving), streamResponse(event(1)))
	b := newTestbed(t, oneRoute(routes.Stream, 1, false), servers...)
	for range 3 {
		if got := b.send(http.MethodPost, "/a/", longPromptHeader, "x"); !strings.HasPrefix(got, "200 ") {
			t.Errorf("got %s, want status 200", got)
		}
	}
	if got, want := servers[0].requestCount(), 1; got != want {
		t.Errorf("got %d requests at the engine that leaves, want %d", got, want)
	}
}

// TestPausedServerGetsNoRequests has a backend server refuse a request and ask for a
// pause. Others must be used for that time. If there are none, requests must be
// refused at once, with the time after which the server may be asked again.
func TestPausedServerGetsNoRequests(t *testing.T) {
	const pause = 60 * time.Second
	refusal := plainResponse(503, "", "Not-Executed: 1", fmt.Sprintf("Retry-After: %.1f", pause.Seconds()))
	paused := &backendServer{name: "a", script: []string{refusal}}
	b := newTestbed(t, oneRoute(routes.Idempotent, 1, false), paused)
	for i := range 5 {
		got := b.send(http.MethodPost, "/a/", "", "x")
		status, rest, _ := strings.Cut(got, " Retry-After=")
		text, _, _ := strings.Cut(rest, " ")
		seconds, err := strconv.ParseFloat(text, 64)
		if status != "503" || err != nil || seconds <= 0 || seconds > pause.Seconds() {
			t.Errorf("request %d: got %s, want status 503 and a Retry-After of up to %v", i, got, pause)
		}
	}
	if got, want := paused.requestCount(), 1; got != want {
		t.Errorf("got %d requests at the paused server, want %d", got, want)
	}
	other := &backendServer{name: "b", script: []string{plainResponse(200, "good")}}
	other.start(t)
	b.announce(roster.Server{ID: "b", Service: "assist", Address: other.listener.Addr().String(), StartedAt: 1, Seq: 1, Slots: 8})
	b.waitFor("the other server is used", func() bool { return strings.HasPrefix(b.send(http.MethodPost, "/a/", "", "x"), "200 ") })
	if got, want := paused.requestCount(), 1; got != want {
		t.Errorf("got %d requests at the paused server beside another one, want %d", got, want)
	}
}
