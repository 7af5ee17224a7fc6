package chat

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"endivedeck.example/fault"
)

// TestErrorNamesOtherField checks that a refusal names the field that the caller sent.
func TestErrorNamesOtherField(t *testing.T) {
	for _, field := range []string{"max_tokens", "max_completion_tokens"} {
		body := `{"model": "m", "prompt": "p", "` + field + `": -1}`
		_, err := parseRequest(httptest.NewRequest(http.MethodPost, "/v1/completions", strings.NewReader(body)), false)
		if err == nil {
			t.Fatalf("%s: got no error", field)
		}
		if got, want := fault.FromError(err).Message, field+": must be 1 to 32768, got -1"; got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	}
}
