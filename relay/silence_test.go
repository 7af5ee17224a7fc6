package relay_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"endivedeck.example/relay"
	"endivedeck.example/roster"
	"endivedeck.example/routes"
)

const (
	wholeAnswer = `200 Response-Signature=s "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n" complete`
	chatHeader  = "Token-Counts: 100,50\r\nPrompt-Prefix: ab:100\r\n"
)

// TestSilentServerIsWaitedFor has a backend server that is silent for longer than a
// stall may last and then goes on. If no other server may take the stream over, its
// events must reach the caller: giving up would end the response for certain.
func TestSilentServerIsWaitedFor(t *testing.T) {
	midway := streamResponse(event(1), "<pause 1400ms>", event(2))
	late := "<pause 1400ms>" + streamResponse(event(1), event(2))
	for _, c := range []struct {
		name     string
		attempts int
		noRetry  bool // the retry budget allows none
		servers  []*backendServer
	}{
		{"midway, one attempt allowed", 1, false, []*backendServer{{name: "a", script: []string{midway}}, {name: "b", script: []string{midway}}}},
		{"midway, only server", 2, false, []*backendServer{{name: "a", script: []string{midway}}}},
		{"midway, no retry in the budget", 2, true, []*backendServer{{name: "a", script: []string{midway}}, {name: "b", script: []string{midway}}}},
		{"at the start, one attempt allowed", 1, false, []*backendServer{{name: "a", script: []string{late}}, {name: "b", script: []string{late}}}},
		{"at the start, only server", 2, false, []*backendServer{{name: "a", script: []string{late}}}},
		{"at the start, no retry in the budget", 2, true, []*backendServer{{name: "a", script: []string{late}}, {name: "b", script: []string{late}}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			list := oneRoute(routes.Stream, c.attempts, true)
			list[0].Timeout *= 5
			b := newTestbed(t, list, c.servers...)
			r := b.relay
			if c.noRetry {
				r = b.startRelayWith("strict", "near", func(s *relay.Settings) { s.RetryRatio, s.RetrySlack = 0, 0 })
			}
			got := b.sendTo(r, http.MethodPost, "/a/", "", "x")
			for range 5 {
				if !strings.HasPrefix(got, "503 ") { // not run: no connection within the dial timeout
					break
				}
				got = b.sendTo(r, http.MethodPost, "/a/", "", "x")
			}
			if got != wholeAnswer {
				t.Errorf("got %s, want %s", got, wholeAnswer)
			}
		})
	}
}

// TestSilentDecoderIsWaitedFor is TestSilentServerIsWaitedFor for a chat whose only other
// engine can't generate a response.
func TestSilentDecoderIsWaitedFor(t *testing.T) {
	t.Parallel()
	for _, script := range []string{
		streamResponse(event(1), "<pause 1400ms>", event(2)),
		"<pause 2500ms>" + streamResponse(event(1), event(2)),
	} {
		list := oneRoute(routes.Stream, 2, true)
		list[0].Timeout, list[0].LatencyObjective = 10*time.Second, 5*time.Second
		b := newTestbed(t, list,
			&backendServer{name: "a", stage: roster.Prefill, script: []string{plainResponse(421, "")}},
			&backendServer{name: "b", stage: roster.Decode, script: []string{script}})
		if got := b.send(http.MethodPost, "/a/", chatHeader, "x"); got != wholeAnswer {
			t.Errorf("got %s, want %s", got, wholeAnswer)
		}
	}
}

// sendUntilUsed sends requests until one has reached a server, and returns the response to
// the last one.
func (b *testbed) sendUntilUsed(server *backendServer) string {
	b.t.Helper()
	var got string
	b.waitFor("server "+server.name+" has a request", func() bool {
		got = b.send(http.MethodPost, "/a/", "", "x")
		return server.requestCount() > 0
	})
	return got
}

// TestSilentServerIsKeptUntilAnotherAccepts has a server fall silent and go on, while the
// only other one doesn't accept the request. The stream was given up for the other server
// before that had been asked, and cut.
func TestSilentServerIsKeptUntilAnotherAccepts(t *testing.T) {
	const refusal = "Not-Executed: 1"
	for _, c := range []struct{ name, silent, other string }{
		{"midway, full", streamResponse(event(1), "<pause 1400ms>", event(2)), plainResponse(503, "", refusal)},
		{"midway, failing", streamResponse(event(1), "<pause 1400ms>", event(2)), plainResponse(500, "")},
		{"midway, breaking off", streamResponse(event(1), "<pause 1400ms>", event(2)), "drop"},
		{"at the start, full", "<pause 1400ms>" + streamResponse(event(1), event(2)), plainResponse(503, "", refusal)},
		{"at the start, failing", "<pause 1400ms>" + streamResponse(event(1), event(2)), plainResponse(500, "")},
		{"at the start, breaking off", "<pause 1400ms>" + streamResponse(event(1), event(2)), "drop"},
		{"three times, full", streamResponse(event(1), "<pause 1400ms>", event(2), "<pause 1400ms>", event(3), "<pause 1400ms>", event(4)), plainResponse(503, "", refusal)},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			list := oneRoute(routes.Stream, 2, true)
			list[0].Timeout *= 5
			silent := &backendServer{name: "a", domain: "near", script: []string{c.silent}}
			b := newTestbed(t, list, silent, &backendServer{name: "b", domain: "elsewhere", script: []string{c.other}})
			got := b.sendUntilUsed(silent)
			want := wholeAnswer
			if c.name == "three times, full" {
				want = `200 Response-Signature=s "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\nid: 3\ndata: e3\n\nid: 4\ndata: e4\n\n" complete`
			}
			if got != want {
				t.Errorf("got %s, want %s; requests:\n%s", got, want, b.requestLog())
			}
		})
	}
}

// TestServerThatAcceptsLateTakesOver has the other server send the head of its response
// only after a while, as with a long prefill. A server that is gone must be left for it.
func TestServerThatAcceptsLateTakesOver(t *testing.T) {
	t.Parallel()
	list := oneRoute(routes.Stream, 2, true)
	list[0].Timeout *= 5
	gone := &backendServer{name: "a", domain: "near", script: []string{streamResponse(event(1), "<drip>")}}
	b := newTestbed(t, list, gone, &backendServer{name: "b", domain: "elsewhere", script: []string{"<pause 600ms>" + streamResponse(event(2))}})
	got := b.sendUntilUsed(gone)
	if got != wholeAnswer {
		t.Errorf("got %s, want %s; requests:\n%s", got, wholeAnswer, b.requestLog())
	}
}

// TestBrokenStreamGoesOnWhereAsked has a silent server break off while another one that was
// asked to go on with the stream hasn't answered yet. That one's response must be used.
func TestBrokenStreamGoesOnWhereAsked(t *testing.T) {
	for _, c := range []struct{ silent, other string }{
		{streamResponse(event(1), "<pause 1100ms>", "<cut>"), "<pause 600ms>" + streamResponse(event(2))},
		{"<pause 1100ms><cut>", "<pause 600ms>" + streamResponse(event(1), event(2))},
	} {
		list := oneRoute(routes.Stream, 2, true)
		list[0].Timeout *= 5
		first := &backendServer{name: "a", domain: "near", script: []string{c.silent}}
		b := newTestbed(t, list, first, &backendServer{name: "b", domain: "elsewhere", script: []string{c.other}})
		if got := b.sendUntilUsed(first); got != wholeAnswer {
			t.Errorf("got %s, want %s; requests:\n%s", got, wholeAnswer, b.requestLog())
		}
	}
}

// TestSlowCallerIsNoSilence has a caller that doesn't read for a while, so that the relay
// can't write what the server has sent. No other server may be asked.
func TestSlowCallerIsNoSilence(t *testing.T) {
	t.Parallel()
	const events = 200
	text := strings.Repeat("x", 100<<10)
	var list []string
	for i := range events {
		list = append(list, fmt.Sprintf("id: %d\ndata: %s\n\n", i+1, text))
	}
	response := streamResponse(list...)
	servers := []*backendServer{{name: "a", script: []string{response}}, {name: "b", script: []string{response}}}
	routeList := oneRoute(routes.Stream, 2, true)
	routeList[0].Timeout *= 15
	b := newTestbed(t, routeList, servers...)
	c, err := net.Dial("tcp", b.relay.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	fmt.Fprint(c, "POST /a/ HTTP/1.1\r\nHost: crews.example\r\nRequest-Id: r1\r\nContent-Length: 1\r\n\r\nx")
	<-time.After(3 * time.Second)
	answer, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(answer.Body)
	if want := len(strings.Join(list, "")); err != nil || len(body) != want {
		t.Errorf("got %d bytes and %v, want %d bytes", len(body), err, want)
	}
	if got := servers[0].requestCount() + servers[1].requestCount(); got != 1 {
		t.Errorf("got %d requests at the servers, want 1", got)
	}
}

// TestSilentServerAfterOneThatLeft has the first server of a stream break off and leave,
// and the second be silent. The third must be asked.
func TestSilentServerAfterOneThatLeft(t *testing.T) {
	t.Parallel()
	list := oneRoute(routes.Stream, 3, true)
	list[0].Timeout = 6 * time.Second
	first := &backendServer{name: "a", domain: "near", release: make(chan struct{}), script: []string{"<await>" + streamResponse(event(1), "<cut>")}}
	silent := []*backendServer{{name: "b", domain: "elsewhere", script: []string{"hang"}}, {name: "c", domain: "elsewhere", script: []string{"hang"}}}
	b := newTestbed(t, list, first, silent[0], silent[1])
	caller := &streamCaller{testbed: b, response: make(chan string, 1)}
	go caller.run()
	b.waitFor("the first server has the request", func() bool { return first.requestCount() == 1 })
	b.announce(roster.Server{ID: "a", Service: "assist", Address: first.listener.Addr().String(), StartedAt: 1, Seq: 2, Slots: 8, Domain: "near", Draining: true})
	b.waitFor("the relay knows that it leaves", func() bool { return b.relay.ServerCount("assist") == 2 })
	close(first.release)
	got := <-caller.response
	if silent[0].requestCount()+silent[1].requestCount() != 2 {
		t.Errorf("got %s and requests\n%swant one at b and one at c", got, b.requestLog())
	}
}

// streamCaller sends one request without a prompt.
type streamCaller struct {
	testbed  *testbed
	response chan string
}

func (c *streamCaller) run() { c.response <- c.testbed.send(http.MethodPost, "/a/", "", "x") }
