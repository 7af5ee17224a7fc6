package relay_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"

	"endivedeck.example/golden"
	"endivedeck.example/internal/responses/earlyserver"
	"endivedeck.example/routes"
)

// namedResponse is the text of a server's response, with a name for the golden file.
type namedResponse struct{ name, text string }

// statusResponse returns a complete response with the given status line after the version.
func statusResponse(status, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\nRequest-Id: r1\r\nResponse-Signature: s\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
}

// checkResponses has a server send each response on a route of each kind, and compares
// what the caller gets with a golden file.
func checkResponses(t *testing.T, goldenName string, responses []namedResponse) {
	t.Helper()
	var got strings.Builder
	for _, r := range responses {
		fmt.Fprintf(&got, "%s:\n", r.name)
		for _, kind := range []routes.Kind{routes.Idempotent, routes.AtMostOnce, routes.Stream} {
			b := newTestbed(t, oneRoute(kind, 2, false), &backendServer{name: "one", script: []string{r.text}})
			fmt.Fprintf(&got, "  %v: %s\n", kind, b.send(http.MethodPost, "/a/x", "", "body"))
		}
	}
	golden.Check(t, goldenName, got.String())
}

// TestInvalidStatus has a server respond with statuses that no response may have. Callers
// must get nothing of such a response, nor of what follows it.
func TestInvalidStatus(t *testing.T) {
	const interim = "HTTP/1.1 102 Processing\r\n\r\n"
	checkResponses(t, "invalid_status.golden", []namedResponse{
		{"status 000", statusResponse("000 ", event(1))},
		{"status 000 without a reason", statusResponse("000", event(1))},
		{"status 000 without a body", statusResponse("000 Oops", "")},
		{"status 000 without a length", "HTTP/1.1 000 Oops\r\nRequest-Id: r1\r\n\r\n" + event(1) + "<cut>"},
		{"status 000 with a response as its body", statusResponse("000 Oops", statusResponse("200 OK", event(1)))},
		{"status 000 after an interim response", interim + statusResponse("000 Oops", event(1))},
		{"status 099", statusResponse("099 Oops", event(1))},
		{"status -00", statusResponse("-00 Oops", event(1))},
		{"status 600", statusResponse("600 Oops", event(1))},
		{"status 999", statusResponse("999 Oops", event(1))},
		{"valid: status 299", statusResponse("299 Odd", event(1))},
		{"valid: status 599", statusResponse("599 Odd", event(1))},
		{"valid: after an interim response", interim + statusResponse("200 OK", event(1))},
	})
}

// TestInvalidFieldName has a server respond with heads in which the name of a field holds a
// blank or a control byte. Callers must get nothing of such a response.
func TestInvalidFieldName(t *testing.T) {
	withLine := func(line string) string {
		return strings.Replace(statusResponse("200 OK", event(1)), "Response-Signature", line+"\r\nResponse-Signature", 1)
	}
	const (
		unframed  = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n"
		chunks    = "f\r\nid: 1\ndata: e1\n\r\n1\r\n\n\r\n0\r\n\r\n"
		processed = "HTTP/1.1 102 Processing\r\n"
	)
	responses := []namedResponse{
		{"blank in a name", withLine("A B: 1")},
		{"blank before the colon", withLine("A : 1")},
		{"blank before the colon of the length", unframed + "Content-Length : 4\r\n\r\n" + event(1) + event(2) + "<cut>"},
		{"blank before the colon of the encoding", unframed + "Transfer-Encoding : chunked\r\n\r\n" + chunks + "<cut>"},
		{"blank as a name", withLine(" : 1")},
		{"blank before a name", withLine(" A: 1")},
		{"blank before the first name", "HTTP/1.1 200 OK\r\n A: 1\r\n" + strings.SplitAfterN(statusResponse("200 OK", event(1)), "\n", 2)[1]},
		{"blank before a name, after the signature", unframed + "Response-Signature: s\r\n A: 1\r\nContent-Length: 16\r\n\r\n" + event(1)},
		{"tab before a name, after the signature", unframed + "Response-Signature: s\r\n\tA: 1\r\nContent-Length: 16\r\n\r\n" + event(1)},
		{"blank before the name of the length", unframed + "Response-Signature: s\r\n Content-Length: 4\r\n\r\n" + event(1) + event(2) + "<cut>"},
		{"blank in a name of an interim response", processed + "A B: 1\r\n\r\n" + statusResponse("200 OK", event(1))},
		{"blank in a name after an interim response", processed + "\r\n" + withLine("A B: 1")},
		{"empty name", withLine(": 1")},
		{"line without a colon", withLine("A")},
		{"line of a blank", withLine(" ")},
		{"valid: unusual names and values", withLine("!#$%&'*+-.^_`|~09: \t1 \x80\t\r\nA:\r\nB:1:2")},
		{"valid: lines end with a line feed only", strings.ReplaceAll(statusResponse("200 OK", event(1)), "\r\n", "\n")},
		{"valid: no length", unframed + "\r\n" + event(1) + "<cut>"},
		{"valid: interim responses", processed + "A: 1\r\n\r\n" + processed + "\r\n" + statusResponse("200 OK", event(1))},
	}
	for _, b := range []byte{0, 1, '\t', '\v', '\r', 0x1b, 0x7f, 0x80} {
		responses = append(responses, namedResponse{fmt.Sprintf("byte 0x%02x in a name", b), withLine("A" + string([]byte{b}) + "B: 1")})
	}
	checkResponses(t, "invalid_field_name.golden", responses)
}

// TestResetDuringUpload has a server respond to long uploads before it has read them. A
// response without a length that ends with a reset must not reach callers as a whole one.
func TestResetDuringUpload(t *testing.T) {
	const uploads = 40 // for each case; whether the reset is noticed by a read or a write varies
	kinds := []routes.Kind{routes.Idempotent, routes.AtMostOnce, routes.Stream}
	unframed := "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Signature: s\r\n\r\n" + event(1)
	framed := strings.Replace(statusResponse("200 OK", event(1)), "\r\n", "\r\nConnection: close\r\n", 1) // the server closes each connection
	whole := fmt.Sprintf("200 Response-Signature=s %q complete", event(1))
	cut := fmt.Sprintf("200 Response-Signature=s %q truncated", event(1))
	const broken = `502 "broken\n" complete`
	for _, c := range []struct {
		name, response string
		end            earlyserver.End
		kinds          []routes.Kind
		want           []string
	}{
		{"no length, reset", unframed, earlyserver.Reset, kinds[:2], []string{broken}},
		{"no length, reset", unframed, earlyserver.Reset, kinds[2:], []string{broken, cut}}, // events are forwarded as they arrive
		{"no length, request read after the end", unframed, earlyserver.CloseRead, kinds, []string{whole}},
		{"no length, request read before the end", unframed, earlyserver.ReadClose, kinds, []string{whole}},
		{"length, request read", framed, earlyserver.ReadClose, kinds, []string{whole}},
	} {
		for _, kind := range c.kinds {
			early := earlyserver.New(t, earlyserver.Options{Response: c.response, End: c.end})
			early.Release()
			b := newTestbed(t, oneRoute(kind, 1, false), &backendServer{name: "one", address: early.Address()})
			counts := map[string]int{}
			for range uploads {
				counts[b.send(http.MethodPost, "/a/x", "", strings.Repeat("x", 1<<20))]++
			}
			for got, n := range counts {
				if !slices.Contains(c.want, got) {
					t.Errorf("%s, %v: got %d of %d times %s, want one of %q", c.name, kind, n, uploads, got, c.want)
				}
			}
		}
	}
}

// TestUploadEndsAtOtherMoments has a server end a connection at other moments of a long
// upload, and with other responses. Only a response that is whole by its framing, or by an
// orderly end, may reach callers as a whole one.
func TestUploadEndsAtOtherMoments(t *testing.T) {
	const (
		uploads  = 10 // of each kind, for each case
		broken   = `502 "broken\n" complete`
		refused  = `503 Retry-After=0.6 "overloaded\n" complete`
		paused   = `503 Retry-After=0.6 "unavailable\n" complete` // not sent, after refusals
		id       = "Request-Id: r1\r\nResponse-Signature: s\r\n"
		ok       = "HTTP/1.1 200 OK\r\n" + id
		failed   = "HTTP/1.1 500 Failed\r\n" + id
		noRun    = "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\n" + id
		maybeRun = "HTTP/1.1 503 Full\r\n" + id
		interim  = "HTTP/1.1 102 Processing\r\n\r\n"
		size     = "Content-Length: 16\r\nConnection: close\r\n\r\n"
		longer   = "Content-Length: 99\r\n\r\n"
		chunked  = "Transfer-Encoding: chunked\r\n\r\n"
		noSize   = "\r\n"
	)
	chunk := fmt.Sprintf("%x\r\n%s\r\n", len(event(1)), event(1))
	whole := fmt.Sprintf("200 Response-Signature=s %q complete", event(1))
	failure := fmt.Sprintf("500 Response-Signature=s %q complete", event(1))
	cut := fmt.Sprintf("200 Response-Signature=s %q truncated", event(1))
	for _, c := range []struct {
		name, response string
		end            earlyserver.End
		want           string
		wantStream     string // also allowed for streams; empty for none
	}{
		{"reset before the head", "", earlyserver.Reset, broken, ""},
		{"reset within the head", ok[:25], earlyserver.Reset, broken, ""},
		{"reset after an interim response", interim, earlyserver.Reset, broken, ""},
		{"reset after the head, no length", ok + noSize, earlyserver.Reset, broken, ""},
		{"reset within the body, no length, after an interim response", interim + ok + noSize + event(1), earlyserver.Reset, broken, cut},
		{"reset within the body", ok + longer + event(1), earlyserver.Reset, broken, cut},
		{"reset within chunks", ok + chunked + chunk, earlyserver.Reset, broken, cut},
		{"reset after the upload, no length", ok + noSize + event(1), earlyserver.ReadReset, broken, cut},
		{"reset after the upload, within the body", ok + longer + event(1), earlyserver.ReadReset, broken, cut},
		{"reset, failure without a length", failed + noSize + event(1), earlyserver.Reset, broken, ""},
		{"reset, 503 without a length that may have run", maybeRun + noSize + event(1), earlyserver.Reset, broken, ""},
		{"reset, refusal without a length", noRun + noSize + event(1), earlyserver.Reset, refused, ""},
		{"reset, refusal", noRun + size + event(1), earlyserver.Reset, refused, ""},
		{"close within the head", ok[:25], earlyserver.ReadClose, broken, ""},
		{"close within the body", ok + longer + event(1), earlyserver.ReadClose, broken, cut},
		{"close within chunks", ok + chunked + chunk, earlyserver.CloseRead, broken, cut},
		{"end within the head, reset", ok[:25], earlyserver.Close, broken, ""},
		{"end within the body, reset", ok + longer + event(1), earlyserver.Close, broken, cut},
		{"whole by its length, reset", ok + size + event(1), earlyserver.Reset, whole, ""},
		{"whole by its chunks, reset", ok + chunked + chunk + "0\r\n\r\n", earlyserver.Reset, whole, ""},
		{"whole by its end, reset", ok + noSize + event(1), earlyserver.Close, whole, ""},
		{"failure, whole by its end", failed + noSize + event(1), earlyserver.CloseRead, failure, ""},
		{"refusal, whole by its end", noRun + noSize + event(1), earlyserver.CloseRead, refused, ""},
	} {
		for _, kind := range []routes.Kind{routes.Idempotent, routes.AtMostOnce, routes.Stream} {
			early := earlyserver.New(t, earlyserver.Options{Response: c.response, End: c.end})
			early.Release()
			b := newTestbed(t, oneRoute(kind, 1, false), &backendServer{name: "one", address: early.Address()})
			counts := map[string]int{}
			for range uploads {
				counts[b.send(http.MethodPost, "/a/x", "", strings.Repeat("x", 1<<20))]++
			}
			for got, n := range counts {
				if got != c.want && (kind != routes.Stream || got != c.wantStream) && (c.want != refused || got != paused) {
					t.Errorf("%s, %v: got %d of %d times %s, want %s", c.name, kind, n, uploads, got, c.want)
				}
			}
		}
	}
}
