// Package earlyserver is a stand-in for a server that responds to a request before it has
// read the body. It is for tests.
package earlyserver

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
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
	ReadReset            // read the body, and then reset the connection
)

type (
	// End is how a server ends a connection after its response.
	End int

	// Options say what a server does on each connection.
	Options struct {
		Kept     string        // response to the first request, after its body; empty if Response is that
		Response string        // to the first request, or to the second one after Kept, before its body
		Pause    time.Duration // between Release and the end
		End      End
	}

	// Server serves one or two requests on each connection. Create it with New.
	Server struct {
		options  Options
		listener *net.TCPListener
		release  chan struct{}
		ended    atomic.Int64
		running  sync.WaitGroup
	}
)

// New returns a running server that sends Response as soon as it has read the head of a
// request. It ends each connection once Release has been called, so a response with a
// length must have "Connection: close" if the client keeps connections.
func New(t testing.TB, options Options) *Server {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &Server{options: options, listener: listener.(*net.TCPListener), release: make(chan struct{})}
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

// Ended returns how many connections the server has ended in its way.
func (s *Server) Ended() int64 { return s.ended.Load() }

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
	if s.options.Kept == "" {
		s.limitBuffer(c)
	}
	in := bufio.NewReader(c)
	request, err := http.ReadRequest(in)
	if err != nil {
		return
	}
	if s.options.Kept != "" {
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		s.limitBuffer(c)
		if _, err := io.WriteString(c, s.options.Kept); err != nil {
			return
		}
		if request, err = http.ReadRequest(in); err != nil {
			return
		}
	}
	if _, err := io.WriteString(c, s.options.Response); err != nil {
		return
	}
	<-s.release
	if s.options.Pause > 0 {
		<-time.After(s.options.Pause)
	}
	s.ended.Add(1)
	switch s.options.End {
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
	case ReadReset:
		_, _ = io.Copy(io.Discard, request.Body)
		_ = c.SetLinger(0)
	}
}

// limitBuffer limits what the client can write if the server doesn't read the next body.
func (s *Server) limitBuffer(c *net.TCPConn) {
	if s.options.End == Reset || s.options.End == Close {
		_ = c.SetReadBuffer(readBufferBytes)
	}
}
