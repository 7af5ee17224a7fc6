package chat

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"endivedeck.example/fault"
)

// FuzzParseRequest parses malformed request bodies. The result must be a request
// within the limits or an error that says that nothing ran, but never a panic.
func FuzzParseRequest(f *testing.F) {
	f.Add(`{"model": "crew-assist", "messages": [{"role": "user", "content": "the bank slides"}]}`, true)
	f.Add(`{"model": "crew-assist", "prompt": "willow", "max_tokens": 5, "stream": true}`, false)
	f.Add(`{"model": "crew-assist", "messages": [], "max_completion_tokens": -1}`, true)
	f.Add(`{"model": 5, "messages": {}}`, true)
	f.Add("", false)
	f.Fuzz(func(t *testing.T, body string, isChat bool) {
		r := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", strings.NewReader(body))
		request, err := parseRequest(r, isChat)
		if err != nil {
			if got, want := fault.FromError(err).Ran, fault.NotRun; got != want {
				t.Errorf("got ran %s, want %s", got, want)
			}
			return
		}
		if maxTokens := maxTokensOf(request); maxTokens < 1 || maxTokens > maxTokensLimit || request.Model == "" {
			t.Errorf("got model %q and %d tokens, want a model and 1 to %d", request.Model, maxTokens, maxTokensLimit)
		}
		_ = buildPrompt(request, isChat)
	})
}
