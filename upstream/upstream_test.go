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

// scripted is a backend server that answers the requests on each connection by
// a script, one text for each request, and closes the connection when the
// script says so.
type scripted struct {
	listener net.Listener
	script   []string // answers in order, over all connections
	close    bool     // the connection is closed after each answer
	drop     bool     // the connection is closed without an answer to the second request

	mu       sync.Mutex
	next     int
	requests []string
	conns    int
	running  sync.WaitGroup
}

func newScripted(t *testing.T, script ...string) *scripted {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &scripted{listener: listener, script: script}
	s.running.Add(1)
	go s.run()
	t.Cleanup(func() {
		_ = listener.Close()
		s.running.Wait()
	})
	return s
}

func (s *scripted) run() {
	defer s.running.Done()
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns++
		s.mu.Unlock()
		go s.loop(c)
	}
}

func (s *scripted) loop(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		answer, ok := s.take(fmt.Sprintf("%s %s %d", r.Method, r.RequestURI, len(body)))
		if !ok {
			return
		}
		if _, err := io.WriteString(c, strings.ReplaceAll(answer, "ID", r.Header.Get(idHeader))); err != nil || s.close {
			return
		}
	}
}

func (s *scripted) take(request string) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests = append(s.requests, request)
	if s.next >= len(s.script) || s.drop && s.next == 1 {
		return "", false
	}
	s.next++
	return s.script[s.next-1], true
}

func (s *scripted) address() string { return s.listener.Addr().String() }

func newPool() *Pool {
	return New(Options{DialTimeout: time.Second, UserTimeout: 5 * time.Second, IdleTimeout: 5 * time.Second})
}

// ask sends a request and tells what came of it.
func ask(p *Pool, address, method, id string, body []byte) string {
	a, err := p.Send(context.Background(), address, Request{
		Method: method, Host: "crews.example", Path: "/a/b?c=d", Header: http.Header{idHeader: {id}}, Body: body,
		Matches: func(h http.Header) bool { return h.Get(idHeader) == "" || h.Get(idHeader) == id },
	})
	if err != nil {
		return fmt.Sprintf("%s, ran %s", fault.Of(err), fault.From(err).Ran)
	}
	defer a.Close()
	text, err := io.ReadAll(a)
	if err != nil {
		return fmt.Sprintf("%d %q, then broken off", a.Status, text)
	}
	return fmt.Sprintf("%d %q", a.Status, text)
}

// TestAnswers has servers answer in all the ways that a faulty one does.
func TestAnswers(t *testing.T) {
	const good = "HTTP/1.1 200 OK\r\nX-Id: ID\r\nContent-Length: 4\r\n\r\ngood"
	var got strings.Builder
	for _, c := range []struct {
		name   string
		script []string
		close  bool
		drop   bool
	}{
		{"good ones", []string{good, good}, false, false},
		{"chunks", []string{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\ngo\r\n2\r\nod\r\n0\r\n\r\n", good}, false, false},
		{"chunks that break off", []string{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\ngo\r\n", good}, true, false},
		{"too short", []string{"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ngood", good}, true, false},
		{"no length", []string{"HTTP/1.1 200 OK\r\n\r\ngood", good}, true, false},
		{"an extra answer", []string{good + "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 3\r\n\r\nbad", good}, false, false},
		{"another's answer first", []string{"HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 3\r\n\r\nbad" + good, good}, false, false},
		{"another's answer alone", []string{"HTTP/1.1 200 OK\r\nX-Id: other\r\nConnection: close\r\nContent-Length: 3\r\n\r\nbad", good}, true, false},
		{"bytes that are no answer", []string{"what is this\r\n\r\n", good}, true, false},
		{"no answer", nil, false, false},
		{"no answer on a kept connection", []string{good, good}, false, true},
		{"a 100 first", []string{"HTTP/1.1 100 Continue\r\n\r\n" + good, good}, false, false},
		{"a close after the answer", []string{strings.Replace(good, "X-Id", "Connection: close\r\nX-Id", 1), good}, true, false},
		{"kept for no time", []string{strings.Replace(good, "X-Id", "Keep-Alive: timeout=0\r\nX-Id", 1), good}, false, false},
	} {
		s := newScripted(t, c.script...)
		s.close = c.close
		s.drop = c.drop
		p := newPool()
		first := ask(p, s.address(), http.MethodGet, "one", nil)
		second := ask(p, s.address(), http.MethodGet, "two", nil)
		s.mu.Lock()
		fmt.Fprintf(&got, "%s: %s; %s; %d requests over %d connections\n", c.name, first, second, len(s.requests), s.conns)
		s.mu.Unlock()
		p.Close()
	}
	golden.Check(t, "answers.golden", got.String())
}

// TestNobody dials where nobody listens, which proves that nothing ran.
func TestNobody(t *testing.T) {
	s := newScripted(t)
	address := s.address()
	_ = s.listener.Close()
	if got, want := ask(newPool(), address, http.MethodPost, "one", []byte("x")), "unavailable, ran no"; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}

// TestEarlyAnswer has a server answer a long body before it has read it: the
// answer counts, and the connection isn't used again.
func TestEarlyAnswer(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	e := &early{listener: listener, ended: make(chan struct{})}
	go e.run()
	p := newPool()
	got := ask(p, listener.Addr().String(), http.MethodPost, "one", make([]byte, 8<<20))
	if want := `413 "no"`; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
	if len(p.idle) > 0 {
		t.Errorf("got an idle connection whose request has not all left, want none")
	}
	p.Close()
	<-e.ended
}

// early answers without reading the body, and reads nothing until the end.
type early struct {
	listener net.Listener
	ended    chan struct{}
}

func (e *early) run() {
	defer close(e.ended)
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
	_, _ = io.Copy(io.Discard, in) // until the other end has closed
}

// TestLimit keeps to the connections that a server accepts.
func TestLimit(t *testing.T) {
	s := newScripted(t, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngo")
	p := newPool()
	a, err := p.Send(context.Background(), s.address(), Request{Method: http.MethodGet, Host: "h", Path: "/", Header: http.Header{}, MaxConns: 1})
	if err != nil {
		t.Fatal(err)
	}
	_, err = p.Send(context.Background(), s.address(), Request{Method: http.MethodGet, Host: "h", Path: "/", Header: http.Header{}, MaxConns: 1})
	if fault.Of(err) != fault.Overloaded || fault.From(err).Ran != fault.No {
		t.Errorf("got %v, want overloaded and not run", err)
	}
	a.Close()
	p.Close()
	if len(p.open) != 0 {
		t.Errorf("got %v connections counted as open, want none", p.open)
	}
}

// TestCancel closes the connection when the caller's time is over.
func TestCancel(t *testing.T) {
	s := newScripted(t, "")
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)
	_, err := newPool().Send(ctx, s.address(), Request{Method: http.MethodPost, Host: "h", Path: "/", Header: http.Header{}, Body: []byte("x")})
	if fault.Of(err) != fault.Deadline || fault.From(err).Ran != fault.Unknown {
		t.Errorf("got %v, want deadline and unknown", err)
	}
}
