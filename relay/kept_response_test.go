package relay_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"endivedeck.example/golden"
	"endivedeck.example/internal/responses/earlyserver"
	"endivedeck.example/routes"
)

// maxUntilKept limits the requests until one is sent on a kept connection. The relay may
// get the next request before it has put the connection back.
const maxUntilKept = 200

// sendUntil sends requests until done, and returns the result of the last one. All results
// before it must be valid.
func (b *testbed) sendUntil(done func() bool, body, valid string) string {
	b.t.Helper()
	for range maxUntilKept {
		got := b.send(http.MethodPost, "/a/x", "", body)
		if done() {
			return got
		}
		if got != valid {
			return "on a new connection: " + got
		}
	}
	return fmt.Sprintf("no kept connection in %d requests", maxUntilKept)
}

// TestInvalidHeadOnKeptConnection has a server send a valid response, and an invalid one to
// the next request on the connection, alone or after others.
func TestInvalidHeadOnKeptConnection(t *testing.T) {
	const (
		interim = "HTTP/1.1 102 Processing\r\n"
		other   = "HTTP/1.1 200 OK\r\nRequest-Id: r0\r\nContent-Length: 4\r\n\r\nlate"
	)
	sound := statusResponse("200 OK", event(1))
	whole := fmt.Sprintf("200 Response-Signature=s %q complete", event(1))
	withName := func(text, old, replacement string) string { return strings.Replace(text, old, replacement, 1) }
	var got strings.Builder
	for _, r := range []namedResponse{
		{"status 000", statusResponse("000 Oops", event(2))},
		{"status 000 with a response as its body", statusResponse("000 Oops", sound)},
		{"status 000 without a body", statusResponse("000 Oops", "")},
		{"status 000 of an interim response", "HTTP/1.1 000 Oops\r\n\r\n" + sound},
		{"status 000 after an interim response", interim + "\r\n" + statusResponse("000 Oops", event(2))},
		{"status 000 after a response to another request", other + statusResponse("000 Oops", sound)},
		{"status 000 of a response to another request", strings.Replace(other, "200", "000", 1) + sound},
		{"blank in a name", withName(sound, "Response-Signature", "A B: 1\r\nResponse-Signature")},
		{"blank before the colon of the length", withName(sound, "Length:", "Length :")},
		{"blank before the colon of the encoding", "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nTransfer-Encoding : chunked\r\n\r\n10\r\n" + event(2) + "\r\n0\r\n\r\n<cut>"},
		{"blank in the name of the connection", withName(sound, "Response-Signature", "Connection : close\r\nResponse-Signature")},
		{"blank in the name of the ID", withName(sound, "Request-Id:", "Request-Id :")},
		{"blank before a name, after the signature", withName(sound, "\r\nContent-Length", "\r\n Content-Length")},
		{"control byte in the name of the length", withName(sound, "Content-Length", "Content\x01Length")},
		{"control byte in the name of the encoding", "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nTransfer\x0bEncoding: chunked\r\n\r\n10\r\n" + event(2) + "\r\n0\r\n\r\n<cut>"},
		{"blank in a name of an interim response", interim + "A B: 1\r\n\r\n" + sound},
		{"control byte in a name of an interim response", interim + "A\x01B: 1\r\n\r\n" + sound},
		{"blank before a name of an interim response", interim + "A: 1\r\n B: 1\r\n\r\n" + sound},
		{"no colon in an interim response", interim + "A\r\n\r\n" + sound},
		{"blank in a name after an interim response", interim + "\r\n" + withName(sound, "Response-Signature", "A B: 1\r\nResponse-Signature")},
		{"blank in a name after a response to another request", other + withName(sound, "Response-Signature", "A B: 1\r\nResponse-Signature")},
		{"blank in a name of a response to another request", withName(other, "Request-Id", "A B: 1\r\nRequest-Id") + sound},
		{"valid: the same response", sound},
		{"valid: interim responses", interim + "\r\n" + interim + "A: 1\r\n\r\n" + sound},
		{"valid: after a response to another request", other + sound},
		{"valid: no length", "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n\r\n" + event(2) + "<cut>"},
	} {
		fmt.Fprintf(&got, "%s:\n", r.name)
		for _, kind := range []routes.Kind{routes.Idempotent, routes.AtMostOnce, routes.Stream} {
			s := &backendServer{name: "one", kept: sound, script: []string{r.text}}
			b := newTestbed(t, oneRoute(kind, 1, false), s)
			fmt.Fprintf(&got, "  %v: %s\n", kind, b.sendUntil(func() bool { return s.requestCount() > 0 }, "body", whole))
		}
	}
	golden.Check(t, "kept_connection.golden", got.String())
}

// TestResetDuringUploadOnKeptConnection has a server respond to a first upload, and reset
// the connection during the next one on it.
func TestResetDuringUploadOnKeptConnection(t *testing.T) {
	const uploads = 20 // of each kind; whether the reset is noticed by a read or a write varies
	whole := fmt.Sprintf("200 Response-Signature=s %q complete", event(1))
	cut := fmt.Sprintf("200 Response-Signature=s %q truncated", event(1))
	for _, kind := range []routes.Kind{routes.Idempotent, routes.AtMostOnce, routes.Stream} {
		early := earlyserver.New(t, earlyserver.Options{Response: "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Signature: s\r\n\r\n" + event(1), End: earlyserver.Reset, Kept: statusResponse("200 OK", event(1))})
		early.Release()
		b := newTestbed(t, oneRoute(kind, 1, false), &backendServer{name: "one", address: early.Address()})
		for range uploads {
			before := early.Ended()
			got := b.sendUntil(func() bool { return early.Ended() > before }, strings.Repeat("x", 1<<20), whole)
			if got != `502 "broken\n" complete` && (kind != routes.Stream || got != cut) {
				t.Errorf("%v: got %s, want broken", kind, got)
			}
		}
	}
}
