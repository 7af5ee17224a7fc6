package upstream

import (
	"context"
	"io"
	"net/http"
	"testing"

	"endivedeck.example/internal/responses/earlyserver"
)

// TestResetDuringRequest has a server respond and end the connection before it has read a
// long request, and reads the body once the write of the request has ended. The body of a
// response without a length is complete unless the connection was reset.
func TestResetDuringRequest(t *testing.T) {
	const (
		unframed = "HTTP/1.1 200 OK\r\n\r\npart"
		framed   = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\npart"
		longer   = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart"
		chunked  = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n"
		lastSize = "0\r\n\r\n"
	)
	for _, c := range []struct {
		name, response string
		end            earlyserver.End
		wantWhole      bool
	}{
		{"no length, reset", unframed, earlyserver.Reset, false},
		{"no length, end before a reset", unframed, earlyserver.Close, true},
		{"no length, request read after the end", unframed, earlyserver.CloseRead, true},
		{"no length, request read before the end", unframed, earlyserver.ReadClose, true},
		{"length, reset", framed, earlyserver.Reset, true},
		{"part of the length, reset", longer, earlyserver.Reset, false},
		{"chunks, reset", chunked + lastSize, earlyserver.Reset, true},
		{"part of the chunks, reset", chunked, earlyserver.Reset, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := earlyserver.New(t, earlyserver.Options{Response: c.response, End: c.end})
			p := newPool()
			defer p.Close()
			resp, err := p.Send(context.Background(), s.Address(), Request{Method: http.MethodPost, Host: "h", Path: "/", Header: http.Header{}, Body: make([]byte, 64<<20)})
			s.Release()
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Close()
			<-resp.write.done
			body, err := io.ReadAll(resp)
			if got, want := string(body), "part"; got != want {
				t.Errorf("got %q, want %q", got, want)
			}
			if got := err == nil; got != c.wantWhole {
				t.Errorf("got a whole response %t (%v), want %t", got, err, c.wantWhole)
			}
		})
	}
}
