package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"endivedeck.example/fault"
	"endivedeck.example/golden"
)

const idHeader = "X-Id"

// scriptedServer is a backend server that responds to each request with the next
// text of a script.
type scriptedServer struct {
	listener           net.Listener
	responses          []string // in order, over all connections
	closeAfterResponse bool     // close the connection after each response
	dropSecond         bool     // close the connection without a response to the second request
	stray              string   // written before each response but the first on a connection

	mu        sync.Mutex
	next      int
	requests  []string
	connCount int
	running   sync.WaitGroup
}

func newScriptedServer(t *testing.T, responses ...string) *scriptedServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &scriptedServer{listener: listener, responses: responses}
	s.running.Add(1)
	go s.run()
	t.Cleanup(func() {
		_ = listener.Close()
		s.running.Wait()
	})
	return s
}

// run accepts connections until the listener is closed.
func (s *scriptedServer) run() {
	defer s.running.Done()
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.connCount++
		s.mu.Unlock()
		go s.loop(c)
	}
}

// loop responds to the requests on one connection.
func (s *scriptedServer) loop(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for stray := ""; ; stray = s.stray {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		response, ok := s.nextResponse(fmt.Sprintf("%s %s %d", r.Method, r.RequestURI, len(body)))
		if !ok {
			return
		}
		if _, err := io.WriteString(c, stray+strings.ReplaceAll(response, "ID", r.Header.Get(idHeader))); err != nil || s.closeAfterResponse {
			return
		}
	}
}

func (s *scriptedServer) nextResponse(request string) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests = append(s.requests, request)
	if s.next >= len(s.responses) || s.dropSecond && s.next == 1 {
		return "", false
	}
	s.next++
	return s.responses[s.next-1], true
}

func (s *scriptedServer) address() string { return s.listener.Addr().String() }

func newPool() *Pool {
	return New(Options{DialTimeout: time.Second, UserTimeout: 5 * time.Second, IdleTimeout: 5 * time.Second})
}

// send sends a request and returns its result as text.
func send(p *Pool, address, method, id string, body []byte) string {
	resp, err := p.Send(context.Background(), address, Request{
		Method: method, Host: "crews.example", Path: "/a/b?c=d", Header: http.Header{idHeader: {id}}, Body: body,
		Match: func(h http.Header) Match { return matchID(h.Get(idHeader), id) },
	})
	if err != nil {
		return fmt.Sprintf("%s, ran %s", fault.KindOf(err), fault.FromError(err).Ran)
	}
	defer resp.Close()
	text, err := io.ReadAll(resp)
	if err != nil {
		return fmt.Sprintf("%d %q, then truncated", resp.Status, text)
	}
	return fmt.Sprintf("%d %q", resp.Status, text)
}

func matchID(got, want string) Match {
	switch got {
	case want:
		return Own
	case "":
		return Unknown
	}
	return Other
}

// TestFaultyResponses sends two requests to servers that respond in valid and in
// faulty ways. The second request shows whether the connection was reused and
// whether a left-over response was mistaken for its own.
func TestFaultyResponses(t *testing.T) {
	const good = "HTTP/1.1 200 OK\r\nX-Id: ID\r\nContent-Length: 4\r\n\r\ngood"
	var got strings.Builder
	for _, c := range []struct {
		name               string
		responses          []string
		closeAfterResponse bool
		dropSecond         bool
	}{
		{"valid responses", []string{good, good}, false, false},
		{"chunked encoding", []string{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\ngo\r\n2\r\nod\r\n0\r\n\r\n", good}, false, false},
		{"truncated chunked body", []string{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\ngo\r\n", good}, true, false},
		{"body shorter than Content-Length", []string{"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ngood", good}, true, false},
		{"no Content-Length", []string{"HTTP/1.1 200 OK\r\n\r\ngood", good}, true, false},
		{"extra response after the right one", []string{good + "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 3\r\n\r\nbad", good}, false, false},
		{"response to another request before the right one", []string{"HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 3\r\n\r\nbad" + good, good}, false, false},
		{"only a response to another request", []string{"HTTP/1.1 200 OK\r\nX-Id: other\r\nConnection: close\r\nContent-Length: 3\r\n\r\nbad", good}, true, false},
		{"copy of the first response without an ID before the second one", []string{good, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nold" + good}, false, false},
		{"long response to another request, whose body looks like a response", []string{"HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 70000\r\n\r\n" + strings.Repeat("x", maxStrayBodyBytes) + "HTTP/1.1 200 OK\r\nX-Id: one\r\nContent-Length: 3\r\n\r\nbad" + strings.Repeat("x", 5000), good}, false, false},
		{"header line without end", []string{"HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Long: " + strings.Repeat("x", 1<<20), good}, false, false},
		{"header lines without end", []string{"HTTP/1.1 200 OK\r\nX-Id: ID\r\n" + strings.Repeat("X-More: x\r\n", 1<<17), good}, false, false},
		{"status line without end", []string{"HTTP/1.1 200 " + strings.Repeat("O", 1<<20), good}, false, false},
		{"informational responses without end", []string{strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 1000) + good, good}, false, false},
		{"trailer without end", []string{"HTTP/1.1 200 OK\r\nX-Id: ID\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n0\r\n" + strings.Repeat("X-More: x\r\n", 1<<17), good}, false, false},
		{"chunk extension without end", []string{"HTTP/1.1 200 OK\r\nX-Id: ID\r\nTransfer-Encoding: chunked\r\n\r\n4;" + strings.Repeat("x", 1<<20), good}, false, false},
		{"not an HTTP response", []string{"what is this\r\n\r\n", good}, true, false},
		{"connection closed without a response", nil, false, false},
		{"reused connection closed without a response", []string{good, good}, false, true},
		{"100 Continue before the response", []string{"HTTP/1.1 100 Continue\r\n\r\n" + good, good}, false, false},
		{"Connection: close", []string{strings.Replace(good, "X-Id", "Connection: close\r\nX-Id", 1), good}, true, false},
		{"Keep-Alive timeout of 0", []string{strings.Replace(good, "X-Id", "Keep-Alive: timeout=0\r\nX-Id", 1), good}, false, false},
	} {
		s := newScriptedServer(t, c.responses...)
		s.closeAfterResponse = c.closeAfterResponse
		s.dropSecond = c.dropSecond
		p := newPool()
		first := send(p, s.address(), http.MethodGet, "one", nil)
		second := send(p, s.address(), http.MethodGet, "two", nil)
		s.mu.Lock()
		fmt.Fprintf(&got, "%s: %s; %s; %d requests over %d connections\n", c.name, first, second, len(s.requests), s.connCount)
		s.mu.Unlock()
		p.Close()
	}
	golden.Check(t, "responses.golden", got.String())
}

// TestRefusalWrittenAgain has a server write a refusal once more where the response to a
// later request on the connection is due. The later request runs, so its result must
// not be the refusal.
func TestRefusalWrittenAgain(t *testing.T) {
	const (
		refusal   = "HTTP/1.1 503 Full\r\nX-Id: ID\r\nContent-Length: 4\r\n\r\nfull"
		again     = "HTTP/1.1 503 Full\r\nX-Id: one\r\nContent-Length: 4\r\n\r\nfull"
		unnamed   = "HTTP/1.1 503 Full\r\nContent-Length: 4\r\n\r\nfull"
		good      = "HTTP/1.1 200 OK\r\nX-Id: ID\r\nContent-Length: 4\r\n\r\ngood"
		refused   = `503 "full"`
		done      = `200 "good"`
		uncertain = "broken, ran unknown"
	)
	for _, c := range []struct {
		name      string
		ids       []string
		responses []string
		stray     string
		want      []string
	}{
		{"before the response to another request", []string{"one", "two"}, []string{refusal, good}, again, []string{refused, done}},
		{"twice", []string{"one", "two"}, []string{refusal, good}, again + again, []string{refused, done}},
		{"more often", []string{"one", "two"}, []string{refusal, good}, again + again + again, []string{refused, uncertain}},
		{"in place of the response", []string{"one", "two"}, []string{refusal, ""}, again + again + again, []string{refused, uncertain}},
		{"two requests later", []string{"one", "two", "three"}, []string{refusal, good, good}, again, []string{refused, done, done}},
		{"without an ID", []string{"one", "two"}, []string{unnamed, good}, unnamed, []string{refused, uncertain}},
		{"without an ID, after a response to another request", []string{"two"}, []string{again + unnamed + good}, "", []string{uncertain}},
		{"without an ID, after an informational response", []string{"two"}, []string{"HTTP/1.1 102 Processing\r\n\r\n" + unnamed}, "", []string{refused}},
	} {
		s := newScriptedServer(t, c.responses...)
		s.stray = c.stray
		p := newPool()
		for i, id := range c.ids {
			if got := send(p, s.address(), http.MethodPost, id, []byte("x")); got != c.want[i] {
				t.Errorf("%s: request %d: got %s, want %s", c.name, i+1, got, c.want[i])
			}
		}
		p.Close()
	}
}

// TestConnectionRefused checks that a refused connection is reported as
// unavailable and not run.
func TestConnectionRefused(t *testing.T) {
	s := newScriptedServer(t)
	address := s.address()
	_ = s.listener.Close()
	if got, want := send(newPool(), address, http.MethodPost, "one", []byte("x")), "unavailable, ran no"; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}

// TestEarlyResponse has a server respond before it has read a long body: the
// caller must get the response, and the connection must not be reused. The
// server reads nothing of the body until the caller has the response, and the
// body is larger than the buffers of both sockets, so that the request can't be
// written in full.
func TestEarlyResponse(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	e := &earlyResponder{listener: listener, received: make(chan struct{}), done: make(chan struct{})}
	go e.run()
	p := newPool()
	got := send(p, listener.Addr().String(), http.MethodPost, "one", make([]byte, 64<<20))
	close(e.received)
	if want := `413 "no"`; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
	if len(p.idle) > 0 {
		t.Errorf("got an idle connection whose request was not fully written, want none")
	}
	p.Close()
	<-e.done
}

// earlyResponder responds before it reads the body of the request.
type earlyResponder struct {
	listener net.Listener
	received chan struct{} // closed when the caller has the response
	done     chan struct{}
}

// run handles one connection.
func (e *earlyResponder) run() {
	defer close(e.done)
	c, err := e.listener.Accept()
	if err != nil {
		return
	}
	defer c.Close()
	in := bufio.NewReader(c)
	if _, err := http.ReadRequest(in); err != nil {
		return
	}
	_, _ = io.WriteString(c, "HTTP/1.1 413 Too Large\r\nContent-Length: 2\r\n\r\nno")
	<-e.received
	_, _ = io.Copy(io.Discard, in) // until the client closes the connection
}

// TestConnectionLimit checks that a request over the connection limit fails as
// overloaded and not run, and that closed connections are no longer counted.
func TestConnectionLimit(t *testing.T) {
	s := newScriptedServer(t, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngo")
	p := newPool()
	resp, err := p.Send(context.Background(), s.address(), Request{Method: http.MethodGet, Host: "h", Path: "/", Header: http.Header{}, MaxConns: 1})
	if err != nil {
		t.Fatal(err)
	}
	_, err = p.Send(context.Background(), s.address(), Request{Method: http.MethodGet, Host: "h", Path: "/", Header: http.Header{}, MaxConns: 1})
	if fault.KindOf(err) != fault.Overloaded || fault.FromError(err).Ran != fault.NotRun {
		t.Errorf("got %v, want overloaded and not run", err)
	}
	resp.Close()
	p.Close()
	if len(p.open) != 0 {
		t.Errorf("connections counted as open: got %v, want none", p.open)
	}
}

// TestCancel cancels a request whose response has not come: the result must be
// a deadline error that leaves open whether the request has run.
func TestCancel(t *testing.T) {
	s := newScriptedServer(t, "")
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)
	_, err := newPool().Send(ctx, s.address(), Request{Method: http.MethodPost, Host: "h", Path: "/", Header: http.Header{}, Body: []byte("x")})
	if fault.KindOf(err) != fault.DeadlineExceeded || fault.FromError(err).Ran != fault.MaybeRun {
		t.Errorf("got %v, want deadline and unknown", err)
	}
}

// TestNoMatch checks that without Request.Match every response counts as the
// request's own, also on a reused connection.
func TestNoMatch(t *testing.T) {
	const response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	s := newScriptedServer(t, response, response)
	p := newPool()
	defer p.Close()
	for i := range 2 {
		resp, err := p.Send(context.Background(), s.address(), Request{Method: http.MethodGet, Host: "h", Path: "/", Header: http.Header{}})
		if err != nil {
			t.Fatalf("request %d: %v", i+1, err)
		}
		if got, err := io.ReadAll(resp); err != nil || string(got) != "ok" {
			t.Errorf("request %d: got %q, %v, want ok", i+1, got, err)
		}
		resp.Close()
	}
	if got, want := p.DialCount(), int64(1); got != want {
		t.Errorf("connections: got %d, want %d", got, want)
	}
}
