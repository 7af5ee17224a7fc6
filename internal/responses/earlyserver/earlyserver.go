// Package earlyserver is a stand-in for a server that responds to a request before it has
// read the body. It is for tests.
package earlyserver

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"
)

// readBufferBytes of a server that doesn't read the body is small, so that a client can't
// write a long one in full.
const readBufferBytes = 4 << 10

// Ways to end a connection.
const (
	Reset     End = iota // reset it, with the body unread
	Close                // end the response, and then reset the connection with the body unread
	ReadClose            // read the body, and then close
	CloseRead            // end the response, then read the body, and then close
)

type (
	// End is how a server ends a connection after its response.
	End int

	// Server responds to the first request on each connection. Create it with New.
	Server struct {
		Pause time.Duration // before the end of a connection; set before Release

		listener *net.TCPListener
		response string
		end      End
		release  chan struct{}
		running  sync.WaitGroup
	}
)

// New returns a running server that sends the text of a response as soon as it has read
// the head of a request. It ends each connection once Release has been called, so a
// response with a length must have "Connection: close" if the client keeps connections.
func New(t testing.TB, response string, end End) *Server {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &Server{listener: listener.(*net.TCPListener), response: response, end: end, release: make(chan struct{})}
	s.running.Add(1)
	go s.run()
	t.Cleanup(func() {
		_ = listener.Close()
		s.running.Wait()
	})
	return s
}

// Address returns the address on which the server listens.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Release lets the server end its connections. It must be called once, at the end of a
// test at the latest.
func (s *Server) Release() { close(s.release) }

// run accepts connections until the listener is closed.
func (s *Server) run() {
	defer s.running.Done()
	for {
		c, err := s.listener.AcceptTCP()
		if err != nil {
			return
		}
		s.running.Add(1)
		go s.loop(c)
	}
}

// loop serves one connection.
func (s *Server) loop(c *net.TCPConn) {
	defer s.running.Done()
	defer c.Close()
	if s.end == Reset || s.end == Close {
		_ = c.SetReadBuffer(readBufferBytes)
	}
	request, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	if _, err := io.WriteString(c, s.response); err != nil {
		return
	}
	<-s.release
	if s.Pause > 0 {
		<-time.After(s.Pause)
	}
	switch s.end {
	case Reset:
		_ = c.SetLinger(0)
	case Close:
		_ = c.CloseWrite()
		_ = c.SetLinger(0)
	case ReadClose:
		_, _ = io.Copy(io.Discard, request.Body)
	case CloseRead:
		_ = c.CloseWrite()
		_, _ = io.Copy(io.Discard, request.Body)
	}
}
