package upstream

import (
	"bufio"
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"endivedeck.example/golden"
)

// TestWrite writes requests, whose targets must be those of the callers.
func TestWrite(t *testing.T) {
	var got strings.Builder
	for _, r := range []Request{
		{Method: http.MethodGet, Host: "h", Path: "/stock/2f?size=3"},
		{Method: http.MethodGet, Host: "h", Path: "//stock/2f?size=3"},
		{Method: http.MethodGet, Host: "h:80", Path: "/a%2Fb/../{c}|\"?d=e#"},
		{Method: http.MethodPost, Host: "h", Path: "/orders"},
		{Method: http.MethodDelete, Host: "h", Path: "/orders/1", Header: http.Header{"Content-Length": {"7"}, "Transfer-Encoding": {"chunked"}, "Host": {"x"}}},
		{Method: http.MethodPut, Host: "h", Path: "/orders/1", Header: http.Header{"A": {"1", "2\r\nB: 3"}}, Body: []byte("body")},
	} {
		var text bytes.Buffer
		w := bufio.NewWriter(&text)
		if err := r.write(w); err != nil {
			t.Fatal(err)
		}
		if err := w.Flush(); err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&got, "%q\n", text.String())
		parsed, err := http.ReadRequest(bufio.NewReader(&text))
		if err != nil {
			t.Errorf("%s: got error %v, want a request that can be read", r.Path, err)
			continue
		}
		if got, want := parsed.RequestURI, r.Path; got != want {
			t.Errorf("got target %q, want %q", got, want)
		}
	}
	golden.Check(t, "write.golden", got.String())
}
