package sidecar

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"endivedeck.example/message"
)

// repeatingService is a service that writes its first response once more before each
// later response on the same connection.
type repeatingService struct{ listener net.Listener }

// run accepts connections until the listener is closed.
func (s *repeatingService) run() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.loop(c)
	}
}

// loop responds to each request on a connection with its path.
func (s *repeatingService) loop(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	first := ""
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		response := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(r.RequestURI), r.RequestURI)
		if _, err := io.WriteString(c, first+response); err != nil {
			return
		}
		if first == "" {
			first = response
		}
	}
}

// TestLateCopyOfAnswer has a service write the response to a read once more where the
// response to the next one is due. The next caller must get its own.
func TestLateCopyOfAnswer(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	s := &repeatingService{listener: listener}
	go s.run()
	service := newHTTPService(ServiceSettings{Address: listener.Addr().String()})
	for _, path := range []string{"/first", "/second"} {
		response, err := service.Call(t.Context(), message.ServiceCall{Method: http.MethodGet, Path: path})
		if err != nil {
			t.Fatalf("%s: %v", path, err)
		}
		if got, want := string(response.Body), path; got != want {
			t.Errorf("got the response %q, want %q", got, want)
		}
	}
}
