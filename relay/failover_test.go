package relay_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"endivedeck.example/roster"
	"endivedeck.example/routes"
)

// TestPrefixSharing checks that relays share which engine has a prefix of a prompt
// in its KV cache. The second relay sends a prompt to the engine in its own failure
// domain. The first relay must then send a prompt with the same prefix to that
// engine too, although another engine is in its own failure domain.
func TestPrefixSharing(t *testing.T) {
	near := &backendServer{name: "a", domain: "near", script: []string{streamResponse(event(1))}}
	far := &backendServer{name: "b", domain: "elsewhere", script: []string{streamResponse(event(1))}}
	b := newTestbed(t, oneRoute(routes.Stream, 1, false), near, far)
	second := b.startRelay("second", "elsewhere")
	round := 0
	b.waitFor("the first relay sends a prompt to the engine that has its prefix", func() bool {
		round++
		header := strings.ReplaceAll(longPromptHeader, "cd:", fmt.Sprintf("cd%d:", round))
		if got := b.sendTo(second, http.MethodPost, "/a/", header, "x"); !strings.HasPrefix(got, "200 ") {
			t.Fatalf("got %s, want status 200", got)
		}
		<-time.After(50 * time.Millisecond) // for the load message to arrive; if it is late, a later round succeeds
		b.send(http.MethodPost, "/a/", strings.ReplaceAll(header, "ef:", "gh:"), "x")
		return far.requestCount() > round
	})
}

// TestStalledControlConnection drops all traffic on the open connection to the
// control instance without closing it. The relay must keep serving, and must
// receive new routes over a new connection.
func TestStalledControlConnection(t *testing.T) {
	b := newTestbed(t, oneRoute(routes.Idempotent, 1, false), &backendServer{name: "a", script: []string{plainResponse(200, "good")}})
	b.network.BlackholeConns("relay", "control")
	if got := b.send(http.MethodGet, "/a/", "", ""); !strings.HasPrefix(got, "200 ") {
		t.Errorf("got %s while the connection to control is stalled, want status 200", got)
	}
	newRoutes := oneRoute(routes.Idempotent, 1, false)
	newRoutes[0].Prefix = "/moved/"
	b.mu.Lock()
	b.update.Routes = &routes.Table{Version: 6, Services: b.update.Routes.Services, Routes: newRoutes}
	b.mu.Unlock()
	b.waitFor("the relay uses the new routes", func() bool {
		return strings.HasPrefix(b.send(http.MethodGet, "/moved/", "", ""), "200 ")
	})
	if got := b.send(http.MethodGet, "/a/", "", ""); !strings.HasPrefix(got, "404 ") {
		t.Errorf("got %s on a route that was removed, want status 404", got)
	}
}

// TestUnresponsiveServer has a backend server that accepts requests but never
// responds. A resumable stream must be served completely by another server, within
// the caller's time.
func TestUnresponsiveServer(t *testing.T) {
	unresponsive := &backendServer{name: "a", script: []string{"hang"}}
	working := &backendServer{name: "b", script: []string{streamResponse(event(1), event(2))}}
	b := newTestbed(t, oneRoute(routes.Stream, 2, true), unresponsive, working)
	b.waitFor("a request was sent to the unresponsive server", func() bool {
		got := b.send(http.MethodPost, "/a/", "", "x")
		if !strings.HasPrefix(got, "200 ") || !strings.HasSuffix(got, " complete") {
			t.Errorf("got %s, want the complete response of b", got)
		}
		return unresponsive.requestCount() > 0
	})
}

// TestKVReleaseAfterRefusedConnection checks that the KV cache of a prefill is freed
// if the engine that was to decode can't be connected to.
func TestKVReleaseAfterRefusedConnection(t *testing.T) {
	servers := prefillAndDecode(plainResponse(200, `{"kvHandle":"h7","tokens":9000,"version":1}`), streamResponse(event(1)))
	b := newTestbed(t, oneRoute(routes.Stream, 1, false), servers...)
	_ = servers[1].listener.Close()
	if got := b.send(http.MethodPost, "/a/", longPromptHeader, "x"); !strings.HasPrefix(got, "503 ") {
		t.Errorf("got %s, want status 503", got)
	}
	b.waitFor("the KV cache is freed", func() bool { return strings.Contains(b.requestLog(), "DELETE /-/kv-handle/h7") })
}

// promptCaller sends one long prompt.
type promptCaller struct {
	testbed  *testbed
	response chan string
}

func (c *promptCaller) run() {
	c.response <- c.testbed.send(http.MethodPost, "/a/", longPromptHeader, "x")
}

// TestDecoderLeavesDuringPrefill has the engine that is to decode say that it leaves
// while another one prefills the prompt. The request must not be sent to it any more
// but to another engine, which takes over the KV cache.
func TestDecoderLeavesDuringPrefill(t *testing.T) {
	kvHandle := "<await>" + plainResponse(200, `{"kvHandle":"h7","tokens":9000,"version":1}`)
	servers := prefillAndDecode(kvHandle, streamResponse(event(1)))
	servers[0].release = make(chan struct{})
	servers[1].domain = "near"
	servers = append(servers, &backendServer{name: "c", stage: roster.Decode, domain: "elsewhere", script: []string{streamResponse(event(1))}})
	b := newTestbed(t, oneRoute(routes.Stream, 1, false), servers...)
	c := &promptCaller{testbed: b, response: make(chan string, 1)}
	go c.run()
	b.waitFor("the prefill has begun", func() bool { return servers[0].requestCount() == 1 })
	b.announce(roster.Server{ID: "b", Service: "assist", Address: servers[1].listener.Addr().String(), StartedAt: 1, Seq: 2, Slots: 8, Stage: roster.Decode, Domain: "near", Draining: true})
	b.waitFor("the relay knows that b leaves", func() bool { return b.relay.ServerCount("assist") == 2 })
	close(servers[0].release)
	if got := <-c.response; !strings.HasPrefix(got, "200 ") {
		t.Errorf("got %s, want status 200", got)
	}
	got := b.requestLog()
	if !strings.Contains(got, "b: []") || !strings.Contains(got, "c: [POST /a/ Kv-Source=h7") {
		t.Errorf("got requests\n%swant none at b, which leaves, and the request with the KV cache of a at c", got)
	}
}

// TestUndialableServer has a relay know a server that can't be connected to. Requests
// that are placed there must be served by the other server, also those that may run
// once only, and without another one the caller must be told that they haven't run.
func TestUndialableServer(t *testing.T) {
	for _, address := range []string{"127.0.0.1:99999", "127.0.0.1:0", "127.0.0.1:-1", "", ":", "[", "127.0.0.1:no-such-port"} {
		odd := roster.Server{ID: strings.Repeat("o", 8<<10), Service: "assist", Address: address, StartedAt: 1, Seq: 1, Slots: -1, Domain: "near"}
		alone := newTestbed(t, oneRoute(routes.AtMostOnce, 1, false))
		alone.waitFor("the relay knows the odd server", func() bool {
			alone.announce(odd) // has no effect until the relay has subscribed
			return alone.relay.ServerCount("assist") == 1
		})
		if got := alone.send(http.MethodPost, "/a/", "", "x"); !strings.HasPrefix(got, "503 ") {
			t.Errorf("with only a server at %q: got %s, want status 503", address, got)
		}
		b := newTestbed(t, oneRoute(routes.AtMostOnce, 1, false), &backendServer{name: "a", domain: "elsewhere", script: []string{plainResponse(200, "good")}})
		b.announce(odd)
		b.waitFor("the relay knows the odd server", func() bool { return b.relay.ServerCount("assist") == 2 })
		if got, want := b.send(http.MethodPost, "/a/", "", "x"), `200 Response-Signature=s "good" complete`; got != want {
			t.Errorf("with a server at %q: got %s, want %s", address, got, want)
		}
	}
}

// TestRefusalWrittenAgain has a server write a refusal once more where the response to
// the next request is due. A caller who sends a refused request again under its ID
// must not be told a second time that it hasn't run: it runs.
func TestRefusalWrittenAgain(t *testing.T) {
	server := &backendServer{name: "a", script: []string{notExecuted, plainResponse(200, "good")}, stray: notExecuted}
	b := newTestbed(t, oneRoute(routes.AtMostOnce, 1, false), server)
	if got := b.send(http.MethodPost, "/a/", "", "x"); !strings.HasPrefix(got, "503 ") {
		t.Errorf("got %s, want status 503", got)
	}
	if got, want := b.send(http.MethodPost, "/a/", "", "x"), `200 Response-Signature=s "good" complete`; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}

// TestFailureLooksLikePromise has a server fail with a status that tells callers "not
// run", without saying so itself. For a request that may run once only the caller must
// not get that status; one that may be repeated gets it unchanged.
func TestFailureLooksLikePromise(t *testing.T) {
	for _, status := range []int{408, 429, 503} {
		failed := func() []*backendServer {
			return twoServers(plainResponse(status, "failed"), plainResponse(status, "failed"))
		}
		b := newTestbed(t, oneRoute(routes.AtMostOnce, 2, false), failed()...)
		if got, want := b.send(http.MethodPost, "/a/", "", "x"), `502 "broken\n" complete`; got != want {
			t.Errorf("status %d, once only: got %s, want %s", status, got, want)
		}
		if got, want := b.servers[0].requestCount()+b.servers[1].requestCount(), 1; got != want {
			t.Errorf("status %d, once only: got %d requests, want %d", status, got, want)
		}
		b = newTestbed(t, oneRoute(routes.Idempotent, 1, false), failed()...)
		if got, want := b.send(http.MethodGet, "/a/", "", ""), fmt.Sprintf(`%d Response-Signature=s "failed" complete`, status); got != want {
			t.Errorf("status %d, repeatable: got %s, want %s", status, got, want)
		}
	}
}
