package relay_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"endivedeck.example/golden"
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
