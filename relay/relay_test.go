package relay_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"endivedeck.example/golden"
	"endivedeck.example/roster"
	"endivedeck.example/routes"
)

const maxResponseBytes = 4 << 20 // limit of a response that isn't a stream

const longPromptHeader = "Token-Counts: 9000,2\r\nPrompt-Prefix: ab:2500,cd:3700,ef:2800\r\n"

// The expected time of hugePromptHeader until the first event is 55.1 s by the prefill
// engine and 58.6 s on the decode engine, without a cache. So hugePromptObjective leaves
// 3.4 s that may pass before the first is no longer priority 6 (up to 58.5 s), and a
// minute before the second is no longer priority 5 (up to 117 s).
const (
	hugePromptHeader    = "Token-Counts: 900000,2\r\nPrompt-Prefix: ab:250000,cd:370000,ef:280000\r\n"
	hugePromptObjective = 195 * time.Second
)

var notExecuted = plainResponse(503, "full", "Not-Executed: 1")

// TestRelay sends one request in each case and compares the response, and the
// requests that each backend server received, with the golden file.
func TestRelay(t *testing.T) {
	kvHandle := plainResponse(200, `{"kvHandle":"h7","tokens":9000,"version":1}`)
	var got strings.Builder
	for _, c := range []struct {
		name    string
		routes  []routes.Route
		request [4]string // method, path, header, body
		servers []*backendServer
	}{
		{"idempotent request", oneRoute(routes.Idempotent, 2, false), [4]string{"GET", "/a/b?c=%20d", "", ""}, twoServers(plainResponse(200, "good"), "")},
		{"no matching route", oneRoute(routes.Idempotent, 2, false), [4]string{"GET", "/other/", "", ""}, twoServers(plainResponse(200, "good"), "")},
		{"idempotent request fails at one server", oneRoute(routes.Idempotent, 2, false), [4]string{"GET", "/a/", "", ""}, twoServers(plainResponse(500, "bad"), plainResponse(200, "good"))},
		{"idempotent request fails at both servers", oneRoute(routes.Idempotent, 2, false), [4]string{"GET", "/a/", "", ""}, twoServers(plainResponse(500, "bad"), plainResponse(500, "worse"))},
		{"idempotent request, connection closed once", oneRoute(routes.Idempotent, 2, false), [4]string{"GET", "/a/", "", ""}, twoServers("drop", plainResponse(200, "good"))},
		{"idempotent request, truncated response", oneRoute(routes.Idempotent, 2, false), [4]string{"GET", "/a/", "", ""}, twoServers("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ngo<cut>", plainResponse(200, "good"))},
		{"idempotent request with one attempt, connection closed", oneRoute(routes.Idempotent, 1, false), [4]string{"GET", "/a/", "", ""}, twoServers("drop", plainResponse(200, "good"))},
		{"invalid idempotent request", oneRoute(routes.Idempotent, 2, false), [4]string{"GET", "/a/", "", ""}, twoServers(plainResponse(400, "what"), plainResponse(200, "good"))},
		{"non-idempotent request", oneRoute(routes.AtMostOnce, 1, false), [4]string{"POST", "/a/", "Kv-Hold: x\r\n", "300 cuttings"}, twoServers(plainResponse(200, "good"), "")},
		{"non-idempotent request refused by one server", oneRoute(routes.AtMostOnce, 1, false), [4]string{"POST", "/a/", "", "300 cuttings"}, twoServers(notExecuted, plainResponse(200, "good"))},
		{"non-idempotent request misdirected to another server", oneRoute(routes.AtMostOnce, 1, false), [4]string{"POST", "/a/", "", "x"}, twoServers(plainResponse(421, "no"), plainResponse(200, "good"))},
		{"non-idempotent request refused by all servers", oneRoute(routes.AtMostOnce, 1, false), [4]string{"POST", "/a/", "", "x"}, twoServers(notExecuted, notExecuted)},
		{"non-idempotent request, connection closed", oneRoute(routes.AtMostOnce, 2, false), [4]string{"POST", "/a/", "", "x"}, twoServers("drop", plainResponse(200, "good"))},
		{"non-idempotent request fails", oneRoute(routes.AtMostOnce, 2, false), [4]string{"POST", "/a/", "", "x"}, twoServers(plainResponse(500, "bad"), plainResponse(200, "good"))},
		{"non-idempotent request refused by one server, then connection closed", oneRoute(routes.AtMostOnce, 1, false), [4]string{"POST", "/a/", "", "x"}, twoServers(notExecuted, "drop")},
		{"response to another request before the right one", oneRoute(routes.AtMostOnce, 1, false), [4]string{"POST", "/a/", "", "x"}, twoServers(strings.Replace(plainResponse(200, "bad"), "r1", "r0", 1)+plainResponse(200, "good"), "")},
		{"request body over the limit", oneRoute(routes.AtMostOnce, 1, false), [4]string{"POST", "/a/", "", strings.Repeat("x", 1<<20+1)}, twoServers(plainResponse(200, "good"), "")},
		{"malformed deadline", oneRoute(routes.AtMostOnce, 1, false), [4]string{"POST", "/a/", "Deadline-Ms: soon\r\n", "x"}, twoServers(plainResponse(200, "good"), "")},
		{"complete stream", oneRoute(routes.Stream, 1, false), [4]string{"POST", "/a/", "", "x"}, twoServers(streamResponse(event(1), event(2)), "")},
		{"stream cut off, not resumable", oneRoute(routes.Stream, 2, false), [4]string{"POST", "/a/", "", "x"}, twoServers(streamResponse(event(1), "<cut>"), streamResponse(event(2)))},
		{"stream resumed on another server", oneRoute(routes.Stream, 2, true), [4]string{"POST", "/a/", "", "x"}, twoServers(streamResponse(event(1), event(2)+"id: 3\nda", "<cut>"), streamResponse(event(3)))},
		{"stream that no server can resume", oneRoute(routes.Stream, 2, true), [4]string{"POST", "/a/", "", "x"}, twoServers(streamResponse(event(1), "<cut>"), plainResponse(500, "bad"))},
		{"stream resumed by the caller", oneRoute(routes.Stream, 2, true), [4]string{"POST", "/a/", "Last-Event-Id: 6\r\n", "x"}, twoServers(streamResponse(event(7)), "")},
		{"stream without a length, cut off", oneRoute(routes.Stream, 1, false), [4]string{"POST", "/a/", "", "x"}, twoServers("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n\r\n"+event(1)+"<cut>", "")},
		{"stream that ends within an event", oneRoute(routes.Stream, 1, false), [4]string{"POST", "/a/", "", "x"}, twoServers(streamResponse(event(1), "id: 2\ndata: e"), "")},
		{"stream without a length that ends within a character", oneRoute(routes.Stream, 1, false), [4]string{"POST", "/a/", "", "x"}, twoServers("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n\r\n"+event(1)+"data: \xc3<cut>", "")},
		{"stream that ends within its first event", oneRoute(routes.Stream, 1, false), [4]string{"POST", "/a/", "", "x"}, twoServers(streamResponse("id: 1\nda"), "")},
		{"stream that ends within an event, resumable", oneRoute(routes.Stream, 2, true), [4]string{"POST", "/a/", "", "x"}, twoServers(streamResponse(event(1), "id: 2\nda"), streamResponse(event(2)))},
		{"stalled stream that sends single bytes, resumable", patientRoute(routes.Stream, true), [4]string{"POST", "/a/", "", "x"}, twoServers(streamResponse(event(1), "<drip>"), streamResponse(event(2)))},
		{"slow stream, resumable", patientRoute(routes.Stream, true), [4]string{"POST", "/a/", "", "x"}, twoServers(streamResponse(event(1), "<pause 450ms>", event(2), "<pause 1100ms>", event(3)), streamResponse(event(3)))},
		{"response without end", patientRoute(routes.Idempotent, false), [4]string{"GET", "/a/", "", ""}, twoServers("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n"+strings.Repeat("10000\r\n"+strings.Repeat("x", 0x10000)+"\r\n", 5*maxResponseBytes>>18), plainResponse(200, "good"))},
		{"event without end", oneRoute(routes.Stream, 2, true), [4]string{"POST", "/a/", "", "x"}, twoServers(streamResponse(event(1), "data: "+strings.Repeat("x", 2<<20), "<cut>"), streamResponse(event(2)))},
		{"prefill response without end", hugePromptRoute(), [4]string{"POST", "/a/", hugePromptHeader, "x"}, prefillAndDecode(plainResponse(200, strings.Repeat("x", 1<<20)), streamResponse(event(1)))},
		{"prefill on another server", hugePromptRoute(), [4]string{"POST", "/a/", hugePromptHeader, "x"}, prefillAndDecode(kvHandle, streamResponse(event(1)))},
		{"prefill refused", hugePromptRoute(), [4]string{"POST", "/a/", hugePromptHeader, "x"}, prefillAndDecode(notExecuted, streamResponse(event(1)))},
		{"prefill, connection closed", hugePromptRoute(), [4]string{"POST", "/a/", hugePromptHeader, "x"}, prefillAndDecode("drop", streamResponse(event(1)))},
		{"prefill whose KV cache is gone", hugePromptRoute(), [4]string{"POST", "/a/", hugePromptHeader, "x"}, append(prefillAndDecode(kvHandle, notExecuted), &backendServer{name: "c", stage: roster.Decode, script: []string{streamResponse(event(1))}})},
	} {
		b := newTestbed(t, c.routes, c.servers...)
		response := b.send(c.request[0], c.request[1], c.request[2], c.request[3])
		fmt.Fprintf(&got, "%s: %s\n%s", c.name, response, b.requestLog())
	}
	golden.Check(t, "relay.golden", got.String())
}

// hugePromptRoute returns a route whose objective is so long that the time that passes
// in a test doesn't change the priority of a request of hugePromptHeader.
func hugePromptRoute() []routes.Route {
	list := oneRoute(routes.Stream, 1, false)
	list[0].LatencyObjective = hugePromptObjective
	list[0].Timeout = 2 * hugePromptObjective
	return list
}

// patientRoute returns a route with a timeout that leaves time for a second attempt when
// a busy machine is late with the first.
func patientRoute(kind routes.Kind, resumable bool) []routes.Route {
	list := oneRoute(kind, 2, resumable)
	list[0].Timeout = 8 * time.Second
	return list
}

func twoServers(first, second string) []*backendServer {
	return []*backendServer{{name: "a", script: []string{first}}, {name: "b", script: []string{second}}}
}

// prefillAndDecode returns a prefill engine and a decode engine. The second step of
// the prefill engine is the response to the request to release the KV cache.
func prefillAndDecode(prefillStep, decodeStep string) []*backendServer {
	return []*backendServer{
		{name: "a", stage: roster.Prefill, script: []string{prefillStep, plainResponse(200, "freed")}},
		{name: "b", stage: roster.Decode, script: []string{decodeStep}},
	}
}

// TestCallerDisconnect closes the caller's connection while a backend server
// handles the request: the connection to that server must be closed too, so that
// it can stop working.
func TestCallerDisconnect(t *testing.T) {
	server := &backendServer{name: "a", script: []string{"hang"}}
	b := newTestbed(t, oneRoute(routes.AtMostOnce, 1, false), server)
	c, err := net.Dial("tcp", b.relay.Address())
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprint(c, "POST /a/ HTTP/1.1\r\nHost: crews.example\r\nRequest-Id: r1\r\nContent-Length: 1\r\n\r\nx")
	<-time.After(100 * time.Millisecond)
	_ = c.Close()
	select {
	case <-server.disconnected:
	case <-time.After(5 * time.Second):
		t.Error("connection to the backend server still open 5 s after the caller disconnected")
	}
}

// TestDeadline sends a request with a deadline to a backend server that doesn't
// respond: the caller must get status 504 at the deadline, not earlier.
func TestDeadline(t *testing.T) {
	b := newTestbed(t, oneRoute(routes.AtMostOnce, 1, false), &backendServer{name: "a", script: []string{"hang"}})
	start := time.Now()
	got := b.send(http.MethodPost, "/a/", "Deadline-Ms: 300\r\n", "x")
	if !strings.HasPrefix(got, "504 ") {
		t.Errorf("got %s, want status 504", got)
	}
	if took := time.Since(start); took < 250*time.Millisecond {
		t.Errorf("got the response after %v, want it after the deadline of 300 ms", took)
	}
}

// TestNoTimeLeft guards against a request that runs although its caller gives it no time,
// which was taken for all the time that its route allows.
func TestNoTimeLeft(t *testing.T) {
	for _, kind := range []routes.Kind{routes.Idempotent, routes.AtMostOnce, routes.Stream} {
		servers := twoServers(plainResponse(200, "good"), plainResponse(200, "good"))
		b := newTestbed(t, oneRoute(kind, 2, false), servers...)
		for _, deadline := range []string{"0", "0.0000001"} {
			if got := b.send(http.MethodPost, "/a/", "Deadline-Ms: "+deadline+"\r\n", "x"); !strings.HasPrefix(got, "503 Retry-After=") {
				t.Errorf("%s, Deadline-Ms %s: got %s, want status 503 with Retry-After", kind, deadline, got)
			}
		}
		if got := servers[0].requestCount() + servers[1].requestCount(); got != 0 {
			t.Errorf("%s: got %d requests at backend servers, want none", kind, got)
		}
	}
}
