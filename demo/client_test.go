package demo

import (
	"bufio"
	"fmt"
	"io"
	"net"
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

// TestInvalidStatus sends an order to a server that responds with a status below 200.
func TestInvalidStatus(t *testing.T) {
	for _, status := range []string{"000", "099", "101"} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer listener.Close()
		s := &oddServer{listener: listener, status: status}
		go s.run()
		got, err := SendOrder(t.Context(), OrderCall{Address: listener.Addr().String(), Service: "stock", Body: "x"})
		if err == nil {
			t.Errorf("status %s: got the response %q, want an error", status, got)
		}
	}
}

// oddServer responds to one request with the given status.
type oddServer struct {
	listener net.Listener
	status   string
}

// run serves one connection.
func (s *oddServer) run() {
	c, err := s.listener.Accept()
	if err != nil {
		return
	}
	defer c.Close()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	_, _ = fmt.Fprintf(c, "HTTP/1.1 %s Odd\r\nContent-Length: 4\r\n\r\ngone", s.status)
}
