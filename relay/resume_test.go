package relay_test

import (
	"net/http"
	"strings"
	"testing"

	"endivedeck.example/routes"
)

const (
	firstEvent  = `"id: 1\ndata: e1\n\n" truncated`
	wholeStream = `"id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n" complete`
	webPage     = "<html>\n\n<h1>Bad Gateway</h1>\n\n</html>\n\n"
)

// resumption is one resumption of a stream: its first server sends events and breaks
// off, and the second one responds with next.
type resumption struct{ name, begun, next, want string }

// checkResumption sends a resumable stream to a server for each case.
func checkResumption(t *testing.T, cases []resumption) {
	t.Helper()
	for _, c := range cases {
		b := newTestbed(t, oneRoute(routes.Stream, 2, true), twoServers(c.begun, c.next)...)
		if got, want := b.send(http.MethodPost, "/a/", "", "x"), "200 Response-Signature=s "+c.want; got != want {
			t.Errorf("%s: got %s, want %s", c.name, got, want)
		}
	}
}

// TestEmptyResumptionLooksComplete has the next server respond with success and no
// event. The caller's stream must not end as if it were complete.
func TestEmptyResumptionLooksComplete(t *testing.T) {
	begun := streamResponse(event(1), "<cut>")
	const head = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Signature: s\r\n"
	checkResumption(t, []resumption{
		{"chunked", begun, streamResponse(), firstEvent},
		{"length 0", begun, plainResponse(200, ""), firstEvent},
		{"status 204", begun, "HTTP/1.1 204 No Content\r\nRequest-Id: r1\r\n\r\n", firstEvent},
		{"connection closed", begun, head + "\r\n<cut>", firstEvent},
		{"only a comment", begun, streamResponse(": busy\n\n"), `"id: 1\ndata: e1\n\n: busy\n\n" truncated`},
		{"comment before the rest", begun, streamResponse(": busy\n\n", event(2)), `"id: 1\ndata: e1\n\n: busy\n\nid: 2\ndata: e2\n\n" complete`},
		{"the rest", begun, streamResponse(event(2)), wholeStream},
	})
}

// TestErrorTextInResumedStream has the next server respond with the text of an error.
// Nothing of it may reach the caller.
func TestErrorTextInResumedStream(t *testing.T) {
	begun := streamResponse(event(1), "<cut>")
	checkResumption(t, []resumption{
		{"web page with status 200", begun, plainResponse(200, webPage), firstEvent},
		{"web page with status 502", begun, plainResponse(502, webPage), firstEvent},
		{"refusal", begun, plainResponse(503, webPage, "Not-Executed: 1"), firstEvent},
		{"object with status 200", begun, plainResponse(200, "{\"error\":\"full\"}\n\n"), firstEvent},
		{"error event without an ID", begun, streamResponse("event: error\ndata: full\n\n"), firstEvent},
		{"text as data", begun, streamResponse("data: full\n\n", event(2)), firstEvent},
		{"head of a response in the body", begun, streamResponse(plainResponse(500, "bad") + "\r\n\r\n"), firstEvent},
	})
}

// TestResumedStreamRepeatsOrSkips has the next server go on at another event than the
// one after the last. The number 0 is one like the others.
func TestResumedStreamRepeatsOrSkips(t *testing.T) {
	steps := func(ids ...int) string {
		var events []string
		for _, id := range ids {
			events = append(events, event(id))
		}
		return streamResponse(append(events, "<cut>")...)
	}
	text := func(ids ...int) string {
		var all string
		for _, id := range ids {
			all += event(id)
		}
		return `"` + strings.ReplaceAll(all, "\n", `\n`) + `" `
	}
	checkResumption(t, []resumption{
		{"from the start", steps(1, 2), streamResponse(event(1), event(2), event(3)), text(1, 2) + "truncated"},
		{"the last event again", steps(1, 2), streamResponse(event(2), event(3)), text(1, 2) + "truncated"},
		{"a gap", steps(1, 2), streamResponse(event(4)), text(1, 2) + "truncated"},
		{"a gap after the first event", steps(1), streamResponse(event(3)), text(1) + "truncated"},
		{"numbers in wider steps", steps(1, 4, 9), streamResponse(event(12)), text(1, 4, 9, 12) + "complete"},
		{"numbers from 0 on", steps(0, 1), streamResponse(event(2)), text(0, 1, 2) + "complete"},
		{"numbers from 0 on, a gap", steps(0, 1), streamResponse(event(3)), text(0, 1) + "truncated"},
		{"number 0, a gap", steps(0), streamResponse(event(2)), text(0) + "truncated"},
		{"number 0 again", steps(0, 1), streamResponse(event(0), event(1)), text(0, 1) + "truncated"},
		{"wider steps from 0 on", steps(0, 4), streamResponse(event(6)), text(0, 4, 6) + "complete"},
		{"wider steps, from the start", steps(4, 9), streamResponse(event(4), event(9)), text(4, 9) + "truncated"},
		{"no IDs, which leaves no place to go on at", streamResponse("data: a\n\n", "<cut>"), streamResponse("data: a\n\n", "data: b\n\n"), `"data: a\n\n" truncated`},
		{"last event without an ID", streamResponse(event(1), "data: a\n\n", "<cut>"), streamResponse("data: a\n\n"), `"id: 1\ndata: e1\n\ndata: a\n\n" truncated`},
	})
}
