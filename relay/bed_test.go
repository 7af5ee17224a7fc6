package relay_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"endivedeck.example/kernel"
	"endivedeck.example/message"
	_ "endivedeck.example/platform" // the dialect
	"endivedeck.example/pool"
	"endivedeck.example/relay"
	"endivedeck.example/roster"
	"endivedeck.example/routes"
	"endivedeck.example/settings"
	"endivedeck.example/wire"
	"endivedeck.example/wire/memory"
)

type (
	// bed is a relay before backend servers on loopback, with a control
	// instance that tells what the test wants.
	bed struct {
		t       *testing.T
		network *memory.Network
		relay   *relay.Relay
		servers []*backend
		workers *pool.Pool

		mu   sync.Mutex
		news message.News
	}

	// backend is a backend server that answers by a script, one step for each
	// request, the last again and again.
	backend struct {
		name     string
		stage    roster.Stage
		domain   string
		script   []string
		listener net.Listener

		mu       sync.Mutex
		next     int
		requests []string
		gone     chan struct{} // closed when a caller left before the answer
		once     sync.Once
	}
)

// newBed starts backend servers and a relay that knows them and the routes.
func newBed(t *testing.T, list []routes.Route, servers ...*backend) *bed {
	t.Helper()
	b := &bed{t: t, servers: servers, workers: pool.New(64, 64)}
	b.news.Routes = &routes.Table{Version: 5, Services: []routes.Service{{Name: "assist"}}, Routes: list, Limits: routes.Limits{MaxBodyBytes: 1 << 20}}
	b.news.Relays = []string{"relay", "second"}
	for _, s := range servers {
		s.start(t)
		b.news.Servers = append(b.news.Servers, roster.Observation{Server: roster.Server{
			ID: s.name, Service: "assist", Address: s.listener.Addr().String(), StartedAt: 1, Seq: 1, Slots: 8, Stage: s.stage, Domain: s.domain,
		}})
	}
	b.network = memory.New()
	listener, err := b.network.Transport("control").Listen("control")
	if err != nil {
		t.Fatal(err)
	}
	control := wire.NewServer(listener, b.workers, map[string]wire.Handler{message.MethodNews: wire.HandlerFunc(b.tell)})
	t.Cleanup(control.Close)
	b.relay = b.startRelay("relay", "near")
	return b
}

// startRelay starts a relay in a failure domain, and waits until it knows the
// servers.
func (b *bed) startRelay(name, domain string) *relay.Relay {
	b.t.Helper()
	r := b.newRelay(name, domain)
	if err := r.Start(b.t.Context()); err != nil {
		b.t.Fatal(err)
	}
	b.t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		if err := r.Stop(ctx); err != nil {
			b.t.Errorf("stopping: %v", err)
		}
	})
	b.until("the relay knows the servers", func() bool { return r.ServerCount("assist") >= len(b.servers) })
	return r
}

func (b *bed) newRelay(name, domain string) *relay.Relay {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	process := kernel.DefaultProcess()
	process.Instance = name
	process.FailureDomain = domain
	host := &kernel.Host{Process: process, Log: logrus.NewEntry(logger), Metrics: metrics.NewSet(), Pool: b.workers}
	s := relay.DefaultSettings()
	s.Listen = "127.0.0.1:0"
	s.ReadyListen = "127.0.0.1:0"
	s.PeerListen = name
	s.Control = []string{"control"}
	s.Dialect = "provider"
	s.GracePeriod = settings.Duration(0)
	s.SilenceTimeout = settings.Duration(time.Minute)
	r, err := relay.New(host, s, b.network.Transport(name))
	if err != nil {
		b.t.Fatal(err)
	}
	return r
}

// tell serves message.MethodNews.
func (b *bed) tell(x *wire.Exchange) {
	b.mu.Lock()
	news := b.news
	b.mu.Unlock()
	if err := x.Send(news); err != nil {
		x.End()
	}
}

// until waits until something holds, for as long as a slow machine may need.
func (b *bed) until(what string, holds func() bool) {
	b.t.Helper()
	deadline := time.Now().Add(20 * time.Second)
	for time.Now().Before(deadline) {
		if holds() {
			return
		}
		<-time.After(5 * time.Millisecond)
	}
	b.t.Fatalf("got no sign for 20 s that %s", what)
}

// ask sends a request as a caller does, and returns the answer as text.
func (b *bed) ask(method, path, header, body string) string {
	b.t.Helper()
	return b.askAt(b.relay, method, path, header, body)
}

func (b *bed) askAt(r *relay.Relay, method, path, header, body string) string {
	b.t.Helper()
	c, err := net.Dial("tcp", r.Address())
	if err != nil {
		b.t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: crews.example\r\nRequest-Id: r1\r\n%sContent-Length: %d\r\n\r\n%s", method, path, header, len(body), body)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return "no answer: " + err.Error()
	}
	text, err := io.ReadAll(response.Body)
	whole := "whole"
	if err != nil {
		whole = "broken off"
	}
	var extra string
	for _, name := range []string{"Response-Signature", "Retry-After"} {
		if value := response.Header.Get(name); value != "" {
			extra += fmt.Sprintf(" %s=%s", name, value)
		}
	}
	return fmt.Sprintf("%d%s %q %s", response.StatusCode, extra, text, whole)
}

// seen returns the requests that each server got.
func (b *bed) seen() string {
	var text strings.Builder
	for _, s := range b.servers {
		s.mu.Lock()
		fmt.Fprintf(&text, "    %s: %v\n", s.name, s.requests)
		s.mu.Unlock()
	}
	return text.String()
}

// count returns how many requests the server got.
func (s *backend) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.requests)
}

func (s *backend) start(t *testing.T) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.listener = listener
	s.gone = make(chan struct{})
	go s.run()
	t.Cleanup(func() { _ = listener.Close() })
}

func (s *backend) run() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.loop(c)
	}
}

func (s *backend) loop(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		step := s.take(r)
		switch step {
		case "drop":
			return
		case "hang":
			_, _ = in.ReadByte() // until the caller leaves
			s.once.Do(func() { close(s.gone) })
			return
		}
		text, broken := strings.CutSuffix(step, "<cut>")
		if _, err := io.WriteString(c, text); err != nil || broken {
			return
		}
	}
}

// take notes a request and returns the step that answers it.
func (s *backend) take(r *http.Request) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	line := r.Method + " " + r.RequestURI
	for _, name := range []string{"Stage", "Kv-Fetch", "Kv-Source", "Last-Event-Id", "Request-Priority", "Kv-Hold"} {
		if value := r.Header.Get(name); value != "" {
			if name == "Kv-Fetch" {
				value = "memory" // its port differs each time
			}
			line += " " + name + "=" + value[strings.LastIndex(value, "/")+1:]
		}
	}
	if got := r.Header.Get("Target-Instance"); got != s.name && r.Method != http.MethodDelete {
		line += " for " + got
	}
	s.requests = append(s.requests, line)
	step := s.script[min(s.next, len(s.script)-1)]
	s.next++
	return step
}

// plain returns a whole answer with a signature.
func plain(status int, body string, header ...string) string {
	lines := append([]string{fmt.Sprintf("HTTP/1.1 %d %s", status, http.StatusText(status)), "Request-Id: r1", "Response-Signature: s", fmt.Sprintf("Content-Length: %d", len(body))}, header...)
	return strings.Join(lines, "\r\n") + "\r\n\r\n" + body
}

// stream returns an answer of the given events, without its end if broken.
func stream(events ...string) string {
	var text strings.Builder
	text.WriteString("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Signature: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
	for _, e := range events {
		if e == "<cut>" {
			return text.String() + e
		}
		fmt.Fprintf(&text, "%x\r\n%s\r\n", len(e), e)
	}
	return text.String() + "0\r\n\r\n"
}

func event(id int) string { return fmt.Sprintf("id: %d\ndata: e%d\n\n", id, id) }

func route(kind routes.Kind, attempts int, resumable bool) []routes.Route {
	r := routes.Route{
		Name: "r", Host: "crews.example", Prefix: "/a/", Kind: kind, Resumable: resumable, Timeout: 2 * time.Second,
		LatencyObjective: 150 * time.Millisecond, MaxAttempts: attempts, Targets: []routes.Target{{Service: "assist", Weight: 1}},
	}
	return slices.Clone([]routes.Route{r})
}
