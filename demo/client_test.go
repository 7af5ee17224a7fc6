package demo

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// TestErrorTextWithoutCause sends chats to a server whose answers are well-formed but
// incomplete, so that there is no error of a reader or a decoder to name.
func TestErrorTextWithoutCause(t *testing.T) {
	for _, c := range []struct {
		name, body string
		stream     bool
	}{
		{"stream without [DONE]", "data: {\"choices\":[]}\n\n", true},
		{"response without a choice", "{\"choices\":[]}", false},
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte(c.body))
		}))
		_, err := SendChat(t.Context(), ChatCall{Address: server.Listener.Addr().String(), Stream: c.stream})
		server.Close()
		if err == nil || strings.Contains(err.Error(), "<nil>") {
			t.Errorf("%s: got error %v, want one without <nil>", c.name, err)
		}
	}
}
