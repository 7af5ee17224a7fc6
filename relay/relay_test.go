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

const prompts = "Token-Counts: 9000,2\r\nPrompt-Prefix: ab:2500,cd:3700,ef:2800\r\n"

var notRun = plain(503, "full", "Not-Executed: 1")

// TestRelay sends one request in each case and shows the answer, and what each
// backend server got.
func TestRelay(t *testing.T) {
	handle := plain(200, `{"kvHandle":"h7","tokens":9000,"version":1}`)
	var got strings.Builder
	for _, c := range []struct {
		name    string
		routes  []routes.Route
		request [4]string // method, path, header, body
		servers []*backend
	}{
		{"a read", route(routes.Idempotent, 2, false), [4]string{"GET", "/a/b?c=%20d", "", ""}, two(plain(200, "good"), "")},
		{"no route", route(routes.Idempotent, 2, false), [4]string{"GET", "/other/", "", ""}, two(plain(200, "good"), "")},
		{"a read fails once", route(routes.Idempotent, 2, false), [4]string{"GET", "/a/", "", ""}, two(plain(500, "bad"), plain(200, "good"))},
		{"a read fails at both", route(routes.Idempotent, 2, false), [4]string{"GET", "/a/", "", ""}, two(plain(500, "bad"), plain(500, "worse"))},
		{"a read is lost once", route(routes.Idempotent, 2, false), [4]string{"GET", "/a/", "", ""}, two("drop", plain(200, "good"))},
		{"a read's answer breaks off", route(routes.Idempotent, 2, false), [4]string{"GET", "/a/", "", ""}, two("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ngo<cut>", plain(200, "good"))},
		{"a read that only one may run", route(routes.Idempotent, 1, false), [4]string{"GET", "/a/", "", ""}, two("drop", plain(200, "good"))},
		{"a faulty read", route(routes.Idempotent, 2, false), [4]string{"GET", "/a/", "", ""}, two(plain(400, "what"), plain(200, "good"))},
		{"an order", route(routes.AtMostOnce, 1, false), [4]string{"POST", "/a/", "Kv-Hold: x\r\n", "300 cuttings"}, two(plain(200, "good"), "")},
		{"an order that one doesn't take", route(routes.AtMostOnce, 1, false), [4]string{"POST", "/a/", "", "300 cuttings"}, two(notRun, plain(200, "good"))},
		{"an order at another server's address", route(routes.AtMostOnce, 1, false), [4]string{"POST", "/a/", "", "x"}, two(plain(421, "no"), plain(200, "good"))},
		{"an order that nobody takes", route(routes.AtMostOnce, 1, false), [4]string{"POST", "/a/", "", "x"}, two(notRun, notRun)},
		{"an order is lost", route(routes.AtMostOnce, 2, false), [4]string{"POST", "/a/", "", "x"}, two("drop", plain(200, "good"))},
		{"an order fails", route(routes.AtMostOnce, 2, false), [4]string{"POST", "/a/", "", "x"}, two(plain(500, "bad"), plain(200, "good"))},
		{"an order that is lost after one didn't take it", route(routes.AtMostOnce, 1, false), [4]string{"POST", "/a/", "", "x"}, two(notRun, "drop")},
		{"an answer to another request", route(routes.AtMostOnce, 1, false), [4]string{"POST", "/a/", "", "x"}, two(strings.Replace(plain(200, "bad"), "r1", "r0", 1)+plain(200, "good"), "")},
		{"too large", route(routes.AtMostOnce, 1, false), [4]string{"POST", "/a/", "", strings.Repeat("x", 1<<20+1)}, two(plain(200, "good"), "")},
		{"a wrong deadline", route(routes.AtMostOnce, 1, false), [4]string{"POST", "/a/", "Deadline-Ms: soon\r\n", "x"}, two(plain(200, "good"), "")},
		{"a stream", route(routes.Stream, 1, false), [4]string{"POST", "/a/", "", "x"}, two(stream(event(1), event(2)), "")},
		{"a stream breaks off", route(routes.Stream, 2, false), [4]string{"POST", "/a/", "", "x"}, two(stream(event(1), "<cut>"), stream(event(2)))},
		{"a stream goes on elsewhere", route(routes.Stream, 2, true), [4]string{"POST", "/a/", "", "x"}, two(stream(event(1), event(2)+"id: 3\nda", "<cut>"), stream(event(3)))},
		{"a stream can't go on", route(routes.Stream, 2, true), [4]string{"POST", "/a/", "", "x"}, two(stream(event(1), "<cut>"), plain(500, "bad"))},
		{"a stream that a caller goes on with", route(routes.Stream, 2, true), [4]string{"POST", "/a/", "Last-Event-Id: 6\r\n", "x"}, two(stream(event(7)), "")},
		{"a stream without a length", route(routes.Stream, 1, false), [4]string{"POST", "/a/", "", "x"}, two("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n\r\n"+event(1)+"<cut>", "")},
		{"a prompt read elsewhere", route(routes.Stream, 1, false), [4]string{"POST", "/a/", prompts, "x"}, apart(handle, stream(event(1)))},
		{"a prompt that isn't read", route(routes.Stream, 1, false), [4]string{"POST", "/a/", prompts, "x"}, apart(notRun, stream(event(1)))},
		{"a prompt whose reader is lost", route(routes.Stream, 1, false), [4]string{"POST", "/a/", prompts, "x"}, apart("drop", stream(event(1)))},
		{"a prompt whose memory is gone", route(routes.Stream, 1, false), [4]string{"POST", "/a/", prompts, "x"}, append(apart(handle, notRun), &backend{name: "c", stage: roster.Decode, script: []string{stream(event(1))}})},
	} {
		b := newBed(t, c.routes, c.servers...)
		answer := b.ask(c.request[0], c.request[1], c.request[2], c.request[3])
		fmt.Fprintf(&got, "%s: %s\n%s", c.name, answer, b.seen())
	}
	golden.Check(t, "relay.golden", got.String())
}

func two(first, second string) []*backend {
	return []*backend{{name: "a", script: []string{first}}, {name: "b", script: []string{second}}}
}

// apart returns an engine that reads prompts and one that generates.
func apart(reader, runner string) []*backend {
	return []*backend{
		{name: "a", stage: roster.Prefill, script: []string{reader, plain(200, "freed")}},
		{name: "b", stage: roster.Decode, script: []string{runner}},
	}
}

// TestCallerLeaves has a caller leave while a backend server is at work: the
// server learns of it.
func TestCallerLeaves(t *testing.T) {
	server := &backend{name: "a", script: []string{"hang"}}
	b := newBed(t, route(routes.AtMostOnce, 1, false), server)
	c, err := net.Dial("tcp", b.relay.Address())
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprint(c, "POST /a/ HTTP/1.1\r\nHost: crews.example\r\nRequest-Id: r1\r\nContent-Length: 1\r\n\r\nx")
	<-time.After(100 * time.Millisecond)
	_ = c.Close()
	select {
	case <-server.gone:
	case <-time.After(5 * time.Second):
		t.Error("the server still works for a caller that left")
	}
}

// TestDeadline has a backend server that doesn't answer: the caller gets the
// final answer when its time is over.
func TestDeadline(t *testing.T) {
	b := newBed(t, route(routes.AtMostOnce, 1, false), &backend{name: "a", script: []string{"hang"}})
	start := time.Now()
	got := b.ask(http.MethodPost, "/a/", "Deadline-Ms: 300\r\n", "x")
	if !strings.HasPrefix(got, "504 ") {
		t.Errorf("got %s, want status 504", got)
	}
	if took := time.Since(start); took < 250*time.Millisecond {
		t.Errorf("got the answer after %v, want it when 300 ms are over", took)
	}
}
