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

const longPromptHeader = "Token-Counts: 9000,2\r\nPrompt-Prefix: ab:2500,cd:3700,ef:2800\r\n"

var notExecuted = plainResponse(503, "full", "Not-Executed: 1")

// TestRelay sends one request in each case and shows the answer, and what each
// backend server got.
func TestRelay(t *testing.T) {
	kvHandle := plainResponse(200, `{"kvHandle":"h7","tokens":9000,"version":1}`)
	var got strings.Builder
	for _, c := range []struct {
		name    string
		routes  []routes.Route
		request [4]string // method, path, header, body
		servers []*backendServer
	}{
		{"a read", oneRoute(routes.Idempotent, 2, false), [4]string{"GET", "/a/b?c=%20d", "", ""}, twoServers(plainResponse(200, "good"), "")},
		{"no route", oneRoute(routes.Idempotent, 2, false), [4]string{"GET", "/other/", "", ""}, twoServers(plainResponse(200, "good"), "")},
		{"a read fails once", oneRoute(routes.Idempotent, 2, false), [4]string{"GET", "/a/", "", ""}, twoServers(plainResponse(500, "bad"), plainResponse(200, "good"))},
		{"a read fails at both", oneRoute(routes.Idempotent, 2, false), [4]string{"GET", "/a/", "", ""}, twoServers(plainResponse(500, "bad"), plainResponse(500, "worse"))},
		{"a read is lost once", oneRoute(routes.Idempotent, 2, false), [4]string{"GET", "/a/", "", ""}, twoServers("drop", plainResponse(200, "good"))},
		{"a read's answer breaks off", oneRoute(routes.Idempotent, 2, false), [4]string{"GET", "/a/", "", ""}, twoServers("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ngo<cut>", plainResponse(200, "good"))},
		{"a read that only one may run", oneRoute(routes.Idempotent, 1, false), [4]string{"GET", "/a/", "", ""}, twoServers("drop", plainResponse(200, "good"))},
		{"a faulty read", oneRoute(routes.Idempotent, 2, false), [4]string{"GET", "/a/", "", ""}, twoServers(plainResponse(400, "what"), plainResponse(200, "good"))},
		{"an order", oneRoute(routes.Once, 1, false), [4]string{"POST", "/a/", "Kv-Hold: x\r\n", "300 cuttings"}, twoServers(plainResponse(200, "good"), "")},
		{"an order that one doesn't take", oneRoute(routes.Once, 1, false), [4]string{"POST", "/a/", "", "300 cuttings"}, twoServers(notExecuted, plainResponse(200, "good"))},
		{"an order at another server's address", oneRoute(routes.Once, 1, false), [4]string{"POST", "/a/", "", "x"}, twoServers(plainResponse(421, "no"), plainResponse(200, "good"))},
		{"an order that nobody takes", oneRoute(routes.Once, 1, false), [4]string{"POST", "/a/", "", "x"}, twoServers(notExecuted, notExecuted)},
		{"an order is lost", oneRoute(routes.Once, 2, false), [4]string{"POST", "/a/", "", "x"}, twoServers("drop", plainResponse(200, "good"))},
		{"an order fails", oneRoute(routes.Once, 2, false), [4]string{"POST", "/a/", "", "x"}, twoServers(plainResponse(500, "bad"), plainResponse(200, "good"))},
		{"an order that is lost after one didn't take it", oneRoute(routes.Once, 1, false), [4]string{"POST", "/a/", "", "x"}, twoServers(notExecuted, "drop")},
		{"an answer to another request", oneRoute(routes.Once, 1, false), [4]string{"POST", "/a/", "", "x"}, twoServers(strings.Replace(plainResponse(200, "bad"), "r1", "r0", 1)+plainResponse(200, "good"), "")},
		{"too large", oneRoute(routes.Once, 1, false), [4]string{"POST", "/a/", "", strings.Repeat("x", 1<<20+1)}, twoServers(plainResponse(200, "good"), "")},
		{"a wrong deadline", oneRoute(routes.Once, 1, false), [4]string{"POST", "/a/", "Deadline-Ms: soon\r\n", "x"}, twoServers(plainResponse(200, "good"), "")},
		{"a stream", oneRoute(routes.Stream, 1, false), [4]string{"POST", "/a/", "", "x"}, twoServers(streamResponse(event(1), event(2)), "")},
		{"a stream breaks off", oneRoute(routes.Stream, 2, false), [4]string{"POST", "/a/", "", "x"}, twoServers(streamResponse(event(1), "<cut>"), streamResponse(event(2)))},
		{"a stream goes on elsewhere", oneRoute(routes.Stream, 2, true), [4]string{"POST", "/a/", "", "x"}, twoServers(streamResponse(event(1), event(2)+"id: 3\nda", "<cut>"), streamResponse(event(3)))},
		{"a stream can't go on", oneRoute(routes.Stream, 2, true), [4]string{"POST", "/a/", "", "x"}, twoServers(streamResponse(event(1), "<cut>"), plainResponse(500, "bad"))},
		{"a stream that a caller goes on with", oneRoute(routes.Stream, 2, true), [4]string{"POST", "/a/", "Last-Event-Id: 6\r\n", "x"}, twoServers(streamResponse(event(7)), "")},
		{"a stream without a length", oneRoute(routes.Stream, 1, false), [4]string{"POST", "/a/", "", "x"}, twoServers("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n\r\n"+event(1)+"<cut>", "")},
		{"a prompt read elsewhere", oneRoute(routes.Stream, 1, false), [4]string{"POST", "/a/", longPromptHeader, "x"}, prefillAndDecode(kvHandle, streamResponse(event(1)))},
		{"a prompt that isn't read", oneRoute(routes.Stream, 1, false), [4]string{"POST", "/a/", longPromptHeader, "x"}, prefillAndDecode(notExecuted, streamResponse(event(1)))},
		{"a prompt whose reader is lost", oneRoute(routes.Stream, 1, false), [4]string{"POST", "/a/", longPromptHeader, "x"}, prefillAndDecode("drop", streamResponse(event(1)))},
		{"a prompt whose memory is gone", oneRoute(routes.Stream, 1, false), [4]string{"POST", "/a/", longPromptHeader, "x"}, append(prefillAndDecode(kvHandle, notExecuted), &backendServer{name: "c", stage: roster.Decode, script: []string{streamResponse(event(1))}})},
	} {
		b := newTestbed(t, c.routes, c.servers...)
		answer := b.send(c.request[0], c.request[1], c.request[2], c.request[3])
		fmt.Fprintf(&got, "%s: %s\n%s", c.name, answer, b.requestLog())
	}
	golden.Check(t, "relay.golden", got.String())
}

func twoServers(first, second string) []*backendServer {
	return []*backendServer{{name: "a", script: []string{first}}, {name: "b", script: []string{second}}}
}

// prefillAndDecode returns an engine that reads prompts and one that generates.
func prefillAndDecode(prefillStep, decodeStep string) []*backendServer {
	return []*backendServer{
		{name: "a", stage: roster.Prefill, script: []string{prefillStep, plainResponse(200, "freed")}},
		{name: "b", stage: roster.Decode, script: []string{decodeStep}},
	}
}

// TestCallerDisconnect has a caller leave while a backend server is at work: the
// server learns of it.
func TestCallerDisconnect(t *testing.T) {
	server := &backendServer{name: "a", script: []string{"hang"}}
	b := newTestbed(t, oneRoute(routes.Once, 1, false), server)
	c, err := net.Dial("tcp", b.relay.Address())
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprint(c, "POST /a/ HTTP/1.1\r\nHost: crews.example\r\nRequest-Id: r1\r\nContent-Length: 1\r\n\r\nx")
	<-time.After(100 * time.Millisecond)
	_ = c.Close()
	select {
	case <-server.callerGone:
	case <-time.After(5 * time.Second):
		t.Error("the server still works for a caller that left")
	}
}

// TestDeadline has a backend server that doesn't answer: the caller gets the
// final answer when its time is over.
func TestDeadline(t *testing.T) {
	b := newTestbed(t, oneRoute(routes.Once, 1, false), &backendServer{name: "a", script: []string{"hang"}})
	start := time.Now()
	got := b.send(http.MethodPost, "/a/", "Deadline-Ms: 300\r\n", "x")
	if !strings.HasPrefix(got, "504 ") {
		t.Errorf("got %s, want status 504", got)
	}
	if took := time.Since(start); took < 250*time.Millisecond {
		t.Errorf("got the answer after %v, want it when 300 ms are over", took)
	}
}
