package gate

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"endivedeck.example/golden"
	"endivedeck.example/interval"
)

const (
	wholeRequest = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nhi"
	testDrain    = 200 * time.Millisecond
)

type (
	// stopTest is a server that is stopped while a client uses it. Its handler
	// echoes the request body. At /slow it sends the head of the response at once
	// and the rest when released.
	stopTest struct {
		t        *testing.T
		server   *Server
		released chan struct{}
		served   atomic.Int64
		stopping sync.WaitGroup
		stopErr  error
		log      strings.Builder
	}

	// testConn is a client's connection.
	testConn struct {
		net.Conn
		reader *bufio.Reader
		test   *stopTest
	}

	// keptClient sends requests on a kept connection, and on another one when the
	// server has closed it, until it can't connect.
	keptClient struct {
		address  string
		pause    time.Duration
		answered int
		lost     []string
		quiet    int // connections that the server closed after quietTime
		done     *sync.WaitGroup
	}
)

func newStopTest(t *testing.T, connections int) *stopTest {
	t.Helper()
	s := &stopTest{t: t, released: make(chan struct{})}
	limits := DefaultLimits()
	limits.MaxConns = connections
	server, err := New("127.0.0.1:0", s, limits, nil)
	if err != nil {
		t.Fatal(err)
	}
	s.server = server
	t.Cleanup(server.Close)
	return s
}

func (s *stopTest) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.served.Add(1)
	body, err := ReadBody(r)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.URL.Path == "/slow" {
		_ = http.NewResponseController(w).Flush()
		<-s.released
	}
	_, _ = w.Write(body)
}

// stop starts a stop, with the given time of draining, and returns.
func (s *stopTest) stop(drain time.Duration) {
	s.stopping.Add(1)
	go s.run(drain)
	interval.Sleep(s.t.Context(), 20*time.Millisecond)
}

func (s *stopTest) run(drain time.Duration) {
	defer s.stopping.Done()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	if drain > 0 {
		s.server.Drain(ctx, drain)
	}
	s.stopErr = s.server.Stop(ctx)
}

func (s *stopTest) dial() *testConn {
	s.t.Helper()
	conn, err := net.Dial("tcp", s.server.Address())
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = conn.Close() })
	return &testConn{Conn: conn, reader: bufio.NewReader(conn), test: s}
}

func (c *testConn) send(text string) {
	if _, err := io.WriteString(c, text); err != nil {
		fmt.Fprintf(&c.test.log, "  sending: %v\n", err)
	}
}

// receive reads a response and records its status, its body and whether it
// announces that the connection will be closed.
func (c *testConn) receive() {
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		fmt.Fprintf(&c.test.log, "  no response: %v\n", err)
		return
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		fmt.Fprintf(&c.test.log, "  response cut: %v\n", err)
		return
	}
	fmt.Fprintf(&c.test.log, "  %d %q close=%v\n", response.StatusCode, body, response.Close)
}

// receiveEnd records how the connection ended.
func (c *testConn) receiveEnd() {
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	_, err := c.reader.ReadByte()
	fmt.Fprintf(&c.test.log, "  end: %v\n", err)
}

// TestStopLosesRequests stops a server in the middle of what clients do on a
// connection. Each request that was sent must be answered.
func TestStopLosesRequests(t *testing.T) {
	var got strings.Builder
	for _, test := range []struct {
		name        string
		connections int
		play        func(s *stopTest, c *testConn)
	}{
		{"a kept connection that is used while the server drains", 10, func(s *stopTest, c *testConn) {
			c.send(wholeRequest)
			c.receive()
			s.stop(testDrain)
			c.send(wholeRequest)
			c.receive()
		}},
		{"a kept connection that is used right after the stop began", 10, func(s *stopTest, c *testConn) {
			c.send(wholeRequest)
			c.receive()
			s.stop(0)
			c.send(wholeRequest)
			c.receive()
		}},
		{"a connection of which no request was read before the stop", 10, func(s *stopTest, c *testConn) {
			s.stop(0)
			c.send(wholeRequest)
			c.receive()
		}},
		{"half a head before the stop", 10, func(s *stopTest, c *testConn) {
			c.send(wholeRequest[:10])
			interval.Sleep(s.t.Context(), 20*time.Millisecond)
			s.stop(0)
			c.send(wholeRequest[10:])
			c.receive()
		}},
		{"half a head on a kept connection before the stop", 10, func(s *stopTest, c *testConn) {
			c.send(wholeRequest)
			c.receive()
			c.send(wholeRequest[:10])
			interval.Sleep(s.t.Context(), 20*time.Millisecond)
			s.stop(0)
			c.send(wholeRequest[10:])
			c.receive()
		}},
		{"half a body before the stop", 10, func(s *stopTest, c *testConn) {
			c.send(wholeRequest[:len(wholeRequest)-1])
			interval.Sleep(s.t.Context(), 20*time.Millisecond)
			s.stop(0)
			c.send(wholeRequest[len(wholeRequest)-1:])
			c.receive()
		}},
		{"a response whose head was sent before draining, and another request", 10, func(s *stopTest, c *testConn) {
			c.send(strings.Replace(wholeRequest, "/", "/slow", 1))
			interval.Sleep(s.t.Context(), 20*time.Millisecond)
			s.stop(testDrain)
			close(s.released)
			c.receive()
			interval.Sleep(s.t.Context(), 20*time.Millisecond)
			c.send(wholeRequest)
			c.receive()
		}},
		{"a request in the accept queue", 1, func(s *stopTest, c *testConn) {
			c.send(strings.Replace(wholeRequest, "/", "/slow", 1))
			interval.Sleep(s.t.Context(), 20*time.Millisecond)
			queued := s.dial()
			queued.send(wholeRequest)
			s.stop(0)
			interval.Sleep(s.t.Context(), 2*testDrain)
			close(s.released)
			c.receive()
			_ = c.Close()
			queued.receive()
		}},
		{"an idle connection", 10, func(s *stopTest, c *testConn) {
			c.send(wholeRequest)
			c.receive()
			s.stop(0)
			c.receiveEnd()
		}},
		{"an idle connection that is used after its end", 10, func(s *stopTest, c *testConn) {
			c.send(wholeRequest)
			c.receive()
			s.stop(0)
			c.receiveEnd()
			c.send(wholeRequest)
		}},
	} {
		s := newStopTest(t, test.connections)
		s.server.listener.quietTime = time.Second // for pauses of a busy machine
		fmt.Fprintf(&s.log, "%s\n", test.name)
		test.play(s, s.dial())
		s.stopping.Wait()
		if s.stopErr != nil {
			t.Errorf("%s: got stop error %v, want none", test.name, s.stopErr)
		}
		fmt.Fprintf(&s.log, "  %+v\n", s.server.Report())
		got.WriteString(s.log.String())
	}
	golden.Check(t, "stop.golden", got.String())
}

func (c *keptClient) run() {
	defer c.done.Done()
	for {
		start := time.Now()
		conn, err := net.Dial("tcp", c.address)
		if err != nil {
			return
		}
		c.use(conn, start)
		_ = conn.Close()
	}
}

// use sends requests until a response announces the end of the connection or there
// is none. The server may have taken the connection for quiet only if quietTime
// passed between last, before its last use, and the end of sending.
func (c *keptClient) use(conn net.Conn, last time.Time) {
	reader := bufio.NewReader(conn)
	for {
		start := time.Now()
		_, err := io.WriteString(conn, wholeRequest)
		silence := time.Since(last)
		last = start
		var response *http.Response
		if err == nil {
			response, err = http.ReadResponse(reader, nil)
		}
		if err == nil {
			_, err = io.Copy(io.Discard, response.Body)
		}
		switch {
		case err != nil && silence >= quietTime:
			c.quiet++
			return
		case err != nil:
			c.lost = append(c.lost, fmt.Sprintf("sent after %v: %v", silence, err))
			return
		}
		c.answered++
		if response.Close {
			return
		}
		interval.Sleep(context.Background(), c.pause)
	}
}

// TestStopCrossesRequests stops servers while many clients send on kept
// connections with pauses shorter than quietTime. Each request must be answered.
func TestStopCrossesRequests(t *testing.T) {
	for _, drain := range []time.Duration{0, testDrain} {
		s := newStopTest(t, 1000)
		var running sync.WaitGroup
		clients := make([]*keptClient, 60)
		for i := range clients {
			clients[i] = &keptClient{address: s.server.Address(), pause: time.Duration(i) * time.Millisecond, done: &running}
			running.Add(1)
			go clients[i].run()
		}
		interval.Sleep(t.Context(), 200*time.Millisecond)
		s.stop(drain)
		s.stopping.Wait()
		running.Wait()
		answered, quiet := 0, 0
		for i, c := range clients {
			answered += c.answered
			quiet += c.quiet
			if len(c.lost) > 0 {
				t.Errorf("drain of %v, client %d: got lost requests, want none: %s", drain, i, strings.Join(c.lost, "; "))
			}
		}
		if s.stopErr != nil {
			t.Errorf("drain of %v: got stop error %v, want none", drain, s.stopErr)
		}
		if got, want := answered, int(s.served.Load()); got != want {
			t.Errorf("drain of %v: got %d answers to %d requests that ran, want all", drain, got, want)
		}
		t.Logf("drain of %v: %d answers, %d connections closed as quiet", drain, answered, quiet)
	}
}

// TestStopEndsSilentClients stops a server whose clients neither finish their
// requests nor close their connections.
func TestStopEndsSilentClients(t *testing.T) {
	s := newStopTest(t, 10)
	s.dial()
	s.dial().send(wholeRequest[:10])
	kept := s.dial()
	kept.send(wholeRequest)
	kept.receive()
	start := time.Now()
	s.stop(0)
	s.stopping.Wait()
	if s.stopErr != nil {
		t.Errorf("got stop error %v, want none", s.stopErr)
	}
	if got, limit := time.Since(start), 4*time.Second; got > limit {
		t.Errorf("got a stop in %v, want at most %v", got, limit)
	}
}

// TestStopAbortsRequests stops a server whose handler runs for longer than the
// stop may take.
func TestStopAbortsRequests(t *testing.T) {
	s := newStopTest(t, 10)
	c := s.dial()
	c.send(strings.Replace(wholeRequest, "/", "/slow", 1))
	interval.Sleep(t.Context(), 20*time.Millisecond)
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	if got, want := s.server.Stop(ctx), context.DeadlineExceeded; got != want {
		t.Errorf("got stop error %v, want %v", got, want)
	}
	if got, want := s.server.Report(), (Report{Aborted: 1}); got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
	close(s.released)
}
