package chat

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"endivedeck.example/entry"
)

// TestEmptyStreamHasNoContentType ends a stream without a token. Its events must be
// marked as such, like those of any other stream.
func TestEmptyStreamHasNoContentType(t *testing.T) {
	recorder := httptest.NewRecorder()
	w := &responseWriter{dst: recorder, controller: http.NewResponseController(recorder), stream: true, isChat: true}
	w.finish(entry.Usage{FinishReason: "stop"}, nil)
	if got, want := recorder.Header().Get("Content-Type"), "text/event-stream"; got != want {
		t.Errorf("got content type %q, want %q", got, want)
	}
	if got, want := recorder.Header().Get("Cache-Control"), "no-store"; got != want {
		t.Errorf("got cache control %q, want %q", got, want)
	}
	if got := recorder.Body.String(); !strings.HasSuffix(got, streamTerminator) {
		t.Errorf("got %q, want it to end with %q", got, streamTerminator)
	}
}
