package standin

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"endivedeck.example/fault"
)

// TestMalformedRequests sends requests with a value that the engine can't use. Each
// must be refused as malformed; none may be taken as another value or occupy a slot.
func TestMalformedRequests(t *testing.T) {
	e, err := NewEngine(EngineOptions{Address: "127.0.0.1:0", Models: []string{"m"}, Spec: DefaultEngineSpec()})
	if err != nil {
		t.Fatal(err)
	}
	defer e.Stop()
	client := http.Client{Timeout: 5 * time.Second}
	for _, c := range []struct{ name, method, path, body string }{
		{"after isn't a number", http.MethodGet, "/v1/events?after=x", ""},
		{"after is negative", http.MethodGet, "/v1/events?after=-1", ""},
		{"priority above the range", http.MethodPost, "/v1/streams", `{"id":"a","model":"m","prompt":"p","most":4,"priority":10}`},
		{"priority below the range", http.MethodPost, "/v1/streams", `{"id":"b","model":"m","prompt":"p","most":4,"priority":-1}`},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := httptest.NewRequest(c.method, "http://"+e.Address()+c.path, strings.NewReader(c.body))
			r.RequestURI = ""
			response, err := client.Do(r)
			if err != nil {
				t.Fatal(err)
			}
			defer response.Body.Close()
			var got fault.Error
			if response.StatusCode != http.StatusBadRequest {
				t.Fatalf("got status %d, want %d", response.StatusCode, http.StatusBadRequest)
			}
			if err := json.NewDecoder(response.Body).Decode(&got); err != nil || got.Kind != fault.Malformed {
				t.Errorf("got kind %q, error %v, want %q", got.Kind, err, fault.Malformed)
			}
		})
	}
	if got := e.StreamCount(); got != 0 {
		t.Errorf("got %d streams, want 0", got)
	}
}
