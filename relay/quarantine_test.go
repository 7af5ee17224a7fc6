package relay_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"endivedeck.example/relay"
	"endivedeck.example/roster"
	"endivedeck.example/routes"
)

// peerWait is how long relays take to find another one that has just started.
const peerWait = time.Second

// crashCount returns how many requests have ended a server.
func (b *testbed) crashCount() int {
	return strings.Count(b.requestLog(), " crash")
}

// announceEnds announces that the servers that have ended are gone.
func (b *testbed) announceEnds() {
	b.t.Helper()
	for _, s := range b.servers {
		s.mu.Lock()
		ended := s.ended
		s.mu.Unlock()
		if ended {
			b.announce(roster.Server{ID: s.name, Service: "assist", Address: s.listener.Addr().String(), StartedAt: 1, Seq: 2, Departed: true})
		}
	}
}

// newCrashTestbed starts servers that crash on the part "bad" of a prompt after a number
// of events.
func newCrashTestbed(t *testing.T, servers, crashAt int) *testbed {
	var list []*backendServer
	for i := range servers {
		list = append(list, &backendServer{name: fmt.Sprintf("s%d", i), crashOn: "bad:", crashAt: crashAt, script: []string{streamResponse(event(1))}})
	}
	routeList := oneRoute(routes.Stream, 2, true)
	routeList[0].Timeout = 9 * time.Second // allows for a slow machine
	b := newTestbed(t, routeList, list...)
	b.mu.Lock()
	b.update.RelayAddresses = []string{"relay", "second", "third"}
	b.mu.Unlock()
	return b
}

// TestPromptPartCrashesServers sends requests with a part that crashes servers to
// three relays. No two are alike, and sound requests share their other parts. The
// relays must reject the former before more than a few servers have ended, and a relay
// that starts later must reject them at once. Sound requests must be served.
func TestPromptPartCrashesServers(t *testing.T) {
	const (
		maxCrashes  = 5
		soundPerBad = 4
	)
	b := newCrashTestbed(t, 8, 0)
	relays := []*relay.Relay{b.relay, b.startRelay("second", "near")}
	<-time.After(peerWait)
	rejected := 0
	for i := range 30 {
		r := relays[i%len(relays)]
		got := b.sendTo(r, http.MethodPost, "/a/", fmt.Sprintf("Token-Counts: 900,2\r\nPrompt-Prefix: first:200,second:300,bad:100,last%d:300\r\n", i), "x")
		if strings.HasPrefix(got, "503 Retry-After=") {
			rejected++
		}
		for k := range soundPerBad {
			if got := b.sendTo(r, http.MethodPost, "/a/", fmt.Sprintf("Token-Counts: 900,2\r\nPrompt-Prefix: first:200,other%d-%d:300,last:400\r\n", i, k), "x"); !strings.HasPrefix(got, "200 ") {
				t.Errorf("round %d: got %s for a sound request, want status 200", i, got)
			}
		}
		b.announceEnds()
		<-time.After(60 * time.Millisecond)
	}
	if got := b.crashCount(); got > maxCrashes {
		t.Errorf("got %d servers ended, want at most %d", got, maxCrashes)
	}
	if want := 20; rejected < want {
		t.Errorf("got %d requests of 30 rejected, want at least %d", rejected, want)
	}
	if got := b.send(http.MethodPost, "/a/", "Token-Counts: 900,2\r\nPrompt-Prefix: first:200,second:300,last:400\r\n", "x"); !strings.HasPrefix(got, "200 ") {
		t.Errorf("got %s for a request with both parts before the quarantined one, want status 200", got)
	}
	before := b.crashCount()
	third := b.startRelay("third", "near")
	<-time.After(peerWait)
	if got := b.sendTo(third, http.MethodPost, "/a/", "Token-Counts: 900,2\r\nPrompt-Prefix: first:200,second:300,bad:100,last:300\r\n", "x"); !strings.HasPrefix(got, "503 Retry-After=") {
		t.Errorf("got %s at a relay that has just started, want status 503", got)
	}
	if got := b.crashCount(); got != before {
		t.Errorf("got %d more servers ended under a relay that has just started, want none", got-before)
	}
}

// TestPromptPartCrashesServersMidway has servers crash on a part of the prompt after
// some events of the answer, which had counted as proof that the part is sound. The
// relays must reject requests with the part all the same, and serve sound ones.
func TestPromptPartCrashesServersMidway(t *testing.T) {
	const (
		servers    = 12
		requests   = 20
		maxCrashes = 8 // 5, and 3 requests more that the verdict may come too late for
	)
	for _, crashAt := range []int{1, 3, 8, 40} {
		t.Run(fmt.Sprint(crashAt), func(t *testing.T) {
			t.Parallel()
			b := newCrashTestbed(t, servers, crashAt)
			relays := []*relay.Relay{b.relay, b.startRelay("second", "near")}
			<-time.After(peerWait)
			var last string
			for i := range requests {
				r := relays[i%len(relays)]
				last = b.sendTo(r, http.MethodPost, "/a/", fmt.Sprintf("Token-Counts: 900,2\r\nPrompt-Prefix: first:200,bad:100,last%d:300\r\n", i), "x")
				for k := range 4 {
					if got := b.sendTo(r, http.MethodPost, "/a/", fmt.Sprintf("Token-Counts: 900,2\r\nPrompt-Prefix: first:200,other%d-%d:300,last:400\r\n", i, k), "x"); !strings.HasPrefix(got, "200 ") {
						t.Errorf("request %d: got %s for a sound request, want status 200", i, got)
					}
				}
				b.announceEnds()
				<-time.After(200 * time.Millisecond) // the relays exchange evidence each 90 ms
			}
			if got := b.crashCount(); got > maxCrashes {
				t.Errorf("got %d servers ended, want at most %d", got, maxCrashes)
			}
			if !strings.HasPrefix(last, "503 Retry-After=") {
				t.Errorf("got %s for the last request with the part, want status 503", last)
			}
		})
	}
}

// TestPromptPartCrashesPrefillers has engines crash on a part of the prompt, those that
// prefill it for another engine too, whose ends weren't counted. The relay must reject
// requests with the part before more than a few engines have ended.
func TestPromptPartCrashesPrefillers(t *testing.T) {
	const maxCrashes = 5
	var list []*backendServer
	for i := range 8 {
		list = append(list,
			&backendServer{name: fmt.Sprintf("p%d", i), stage: roster.Prefill, crashOn: "bad:", script: []string{plainResponse(200, `{"kvHandle":"h","tokens":2900}`)}},
			&backendServer{name: fmt.Sprintf("d%d", i), stage: roster.Decode, crashOn: "bad:", script: []string{streamResponse(event(1))}})
	}
	routeList := oneRoute(routes.Stream, 2, true)
	routeList[0].Timeout = 6 * time.Second
	b := newTestbed(t, routeList, list...)
	var last string
	for i := range 12 {
		last = b.send(http.MethodPost, "/a/", fmt.Sprintf("Token-Counts: 2900,2\r\nPrompt-Prefix: first:200,bad:100,last%d:2600\r\n", i), "x")
		for k := range 4 {
			if got := b.send(http.MethodPost, "/a/", fmt.Sprintf("Token-Counts: 2900,2\r\nPrompt-Prefix: first:200,other%d-%d:100,last:2600\r\n", i, k), "x"); !strings.HasPrefix(got, "200 ") {
				t.Errorf("request %d: got %s for a sound request, want status 200", i, got)
			}
		}
		b.announceEnds()
		<-time.After(60 * time.Millisecond)
	}
	if got := b.crashCount(); got > maxCrashes {
		t.Errorf("got %d servers ended, want at most %d:\n%s", got, maxCrashes, b.requestLog())
	}
	if !strings.HasPrefix(last, "503 Retry-After=") {
		t.Errorf("got %s for the last request with the part, want status 503", last)
	}
}

// TestServerEndAfterHead has servers end after the head of a stream that ends with its
// connection. That is neither a complete answer nor one that has begun.
func TestServerEndAfterHead(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Signature: s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"
	alone := newTestbed(t, oneRoute(routes.Stream, 2, true), &backendServer{name: "a", script: []string{head + "<cut>"}})
	if got, want := alone.send(http.MethodPost, "/a/", chatHeader, "x"), `502 "broken\n" complete`; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
	b := newTestbed(t, oneRoute(routes.Stream, 2, true),
		&backendServer{name: "a", domain: "near", script: []string{head + "<cut>"}},
		&backendServer{name: "b", domain: "elsewhere", script: []string{head + event(1) + event(2) + "<cut>"}})
	b.waitFor("a server has ended after the head", func() bool {
		if got := b.send(http.MethodPost, "/a/", "", "x"); got != wholeAnswer {
			t.Errorf("got %s, want %s", got, wholeAnswer)
		}
		return b.servers[0].requestCount() > 0
	})
}
