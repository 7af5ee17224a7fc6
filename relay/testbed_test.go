package relay_test

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"endivedeck.example/kernel"
	"endivedeck.example/message"
	_ "endivedeck.example/platform" // registers the dialect "provider"
	"endivedeck.example/pool"
	"endivedeck.example/relay"
	"endivedeck.example/roster"
	"endivedeck.example/routes"
	"endivedeck.example/settings"
	"endivedeck.example/wire"
	"endivedeck.example/wire/memory"
)

const testbedWorkers = 256 // shared by the relays and the control instance of a testbed

type (
	// testbed is a relay in front of backend servers on loopback, with a control
	// instance that sends a given update to each relay.
	testbed struct {
		t       *testing.T
		network *memory.Network
		relay   *relay.Relay
		servers []*backendServer
		workers *pool.Pool

		mu     sync.Mutex
		update message.RelayUpdate        // sent at the start of each subscription
		hold   chan struct{}              // if not nil, subscriptions get nothing until it is closed
		calls  []*wire.ServerCall         // open subscriptions
		asked  []message.SubscribeRequest // of calls
		usage  map[string]uint64          // requests reported, by team
		demand []message.Demand           // as reported last
	}

	// backendServer is a backend server that follows a script: one step for each
	// request, and the last step for all further ones. A step is the text of a
	// response, which may end with "<cut>" to close the connection after it or with
	// "<drip>" to send single bytes until the client closes it, and may contain
	// "<pause 700ms>", or begin with "<await>" to wait until release is closed;
	// "drop" to close the connection without a response, or "hang" to send nothing
	// until the client closes the connection.
	backendServer struct {
		name     string
		stage    roster.Stage
		domain   string
		service  string // "assist" if empty
		script   []string
		crashOn  string // part of a prompt on which the server ends within its answer
		crashAt  int    // whole events before the one within which the server ends
		flood    []byte // written in place of a response; then the server waits until the client disconnects
		stray    string // written before each response but the first on a connection
		address  string // announced in place of that of the listener
		kept     string // response to the first request on each connection; the script is for later ones
		release  chan struct{}
		listener net.Listener

		mu           sync.Mutex
		nextIndex    int
		conns        []net.Conn
		ended        bool // the server has ended on crashOn
		requests     []string
		disconnected chan struct{} // closed when the client disconnects during "hang"
		once         sync.Once
	}
)

// newTestbed starts the backend servers, the control instance and a relay that
// has received the routes and the servers.
func newTestbed(t *testing.T, list []routes.Route, servers ...*backendServer) *testbed {
	t.Helper()
	return newTestbedFor(t, routes.Service{Name: "assist"}, list, servers...)
}

// newTestbedFor is newTestbed with the properties of the service.
func newTestbedFor(t *testing.T, service routes.Service, list []routes.Route, servers ...*backendServer) *testbed {
	t.Helper()
	b := &testbed{t: t, servers: servers, usage: map[string]uint64{}, workers: pool.New(testbedWorkers, testbedWorkers)}
	t.Cleanup(b.stopWorkers)
	b.update.Routes = &routes.Table{Version: 5, Services: []routes.Service{service, {Name: "small"}}, Routes: list, Limits: routes.Limits{MaxBodyBytes: 1 << 20}}
	b.update.RelayAddresses = []string{"relay", "second"}
	for _, s := range servers {
		s.start(t)
		b.update.Servers = append(b.update.Servers, roster.Observation{Server: roster.Server{
			ID: s.name, Service: cmp.Or(s.service, "assist"), Address: cmp.Or(s.address, s.listener.Addr().String()), StartedAt: 1, Seq: 1, Slots: 8, Stage: s.stage, Domain: s.domain,
		}})
	}
	b.network = memory.NewNetwork()
	listener, err := b.network.Transport("control").Listen("control")
	if err != nil {
		t.Fatal(err)
	}
	control := wire.NewServer(listener, b.workers, map[string]wire.Handler{
		message.MethodUpdates: wire.HandlerFunc(b.sendUpdate), message.MethodUsage: wire.HandlerFunc(b.receiveUsage),
	})
	t.Cleanup(control.Close)
	b.relay = b.startRelay("relay", "near")
	return b
}

// stopWorkers ends the workers, those that run a task once that has ended. Otherwise the
// workers of all testbeds before would count in tests that measure memory.
func (b *testbed) stopWorkers() {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = b.workers.Stop(ctx) // the error means that a task still runs
}

// startRelay starts a relay in a failure domain and waits until it has received
// the backend servers.
func (b *testbed) startRelay(name, domain string) *relay.Relay {
	b.t.Helper()
	return b.startRelayWith(name, domain, func(*relay.Settings) {})
}

// startRelayWith is startRelay with settings that were changed by adjust.
func (b *testbed) startRelayWith(name, domain string, adjust func(*relay.Settings)) *relay.Relay {
	b.t.Helper()
	r := b.newRelayWith(name, domain, adjust)
	if err := r.Start(b.t.Context()); err != nil {
		b.t.Fatal(err)
	}
	b.t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		if err := r.Stop(ctx); err != nil {
			b.t.Errorf("stopping the relay: %v", err)
		}
	})
	b.waitFor("the relay has received the backend servers", func() bool { return r.ServerCount("assist")+r.ServerCount("small") >= len(b.servers) })
	return r
}

func (b *testbed) newRelay(name, domain string) *relay.Relay {
	return b.newRelayWith(name, domain, func(*relay.Settings) {})
}

// newRelayWith returns a relay whose settings were changed by adjust.
func (b *testbed) newRelayWith(name, domain string, adjust func(*relay.Settings)) *relay.Relay {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	process := kernel.DefaultProcessSettings()
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
	adjust(&s)
	r, err := relay.New(host, s, b.network.Transport(name))
	if err != nil {
		b.t.Fatal(err)
	}
	return r
}

// sendUpdate serves message.MethodUpdates: it sends the update and leaves the call
// open.
func (b *testbed) sendUpdate(call *wire.ServerCall) {
	b.mu.Lock()
	hold := b.hold
	b.mu.Unlock()
	if hold != nil {
		<-hold
	}
	var request message.SubscribeRequest
	if err := call.Decode(&request); err != nil {
		call.Fail(err)
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock() // until the call is registered, so that it misses no later update
	if err := call.Send(b.update); err != nil {
		call.End()
		return
	}
	b.calls = append(b.calls, call)
	b.asked = append(b.asked, request)
}

// subscription waits for the n-th subscription of a relay, counted from 1, and returns it.
func (b *testbed) subscription(relay string, n int) *wire.ServerCall {
	b.t.Helper()
	var found *wire.ServerCall
	b.waitFor("the relay has subscribed", func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		count := 0
		for i, request := range b.asked {
			if request.Relay == relay {
				if count++; count == n {
					found = b.calls[i]
				}
			}
		}
		return found != nil
	})
	return found
}

// announce sends an announcement of a backend server to all subscriptions.
func (b *testbed) announce(s roster.Server) {
	b.t.Helper()
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, call := range b.calls {
		if err := call.Send(message.RelayUpdate{Servers: []roster.Observation{{Server: s}}}); err != nil {
			b.t.Fatal(err)
		}
	}
}

// installRoutes sends a version of the routes to all subscriptions.
func (b *testbed) installRoutes(version uint64, list []routes.Route) {
	b.t.Helper()
	b.mu.Lock()
	defer b.mu.Unlock()
	table := *b.update.Routes
	table.Version, table.Routes = version, list
	b.update.Routes = &table
	for _, call := range b.calls {
		if err := call.Send(message.RelayUpdate{Routes: &table}); err != nil {
			b.t.Error(err)
		}
	}
}

// waitFor waits until a condition holds. The limit of 20 s allows for a slow
// machine.
func (b *testbed) waitFor(what string, holds func() bool) {
	b.t.Helper()
	deadline := time.Now().Add(20 * time.Second)
	for time.Now().Before(deadline) {
		if holds() {
			return
		}
		<-time.After(5 * time.Millisecond)
	}
	b.t.Fatalf("condition not met within 20 s: %s", what)
}

// send sends a request to the relay as a caller does, and returns the response as
// text.
func (b *testbed) send(method, path, header, body string) string {
	b.t.Helper()
	return b.sendTo(b.relay, method, path, header, body)
}

func (b *testbed) sendTo(r *relay.Relay, method, path, header, body string) string {
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
		return "no response: " + err.Error()
	}
	text, err := io.ReadAll(response.Body)
	completeness := "complete"
	if err != nil {
		completeness = "truncated"
	}
	var extra string
	for _, name := range []string{"Response-Signature", "Retry-After"} {
		if value := response.Header.Get(name); value != "" {
			extra += fmt.Sprintf(" %s=%s", name, value)
		}
	}
	return fmt.Sprintf("%d%s %q %s", response.StatusCode, extra, text, completeness)
}

// requestLog returns the requests that each server received.
func (b *testbed) requestLog() string {
	var text strings.Builder
	for _, s := range b.servers {
		s.mu.Lock()
		fmt.Fprintf(&text, "    %s: %v\n", s.name, s.requests)
		s.mu.Unlock()
	}
	return text.String()
}

// requestCount returns how many requests the server received.
func (s *backendServer) requestCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.requests)
}

func (s *backendServer) start(t *testing.T) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.listener = listener
	s.disconnected = make(chan struct{})
	go s.run()
	t.Cleanup(func() { _ = listener.Close() })
}

// run accepts connections until the listener is closed.
func (s *backendServer) run() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns = append(s.conns, c)
		s.mu.Unlock()
		go s.loop(c)
	}
}

// end closes the listener and all connections.
func (s *backendServer) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	_ = s.listener.Close()
	for _, c := range s.conns {
		_ = c.Close()
	}
}

// loop follows the script for the requests on one connection.
func (s *backendServer) loop(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	first := true
	for stray := ""; ; stray = s.stray {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if first && s.kept != "" {
			if _, err := io.WriteString(c, s.kept); err != nil {
				return
			}
			first = false
			continue
		}
		step := s.nextStep(r)
		if s.flood != nil {
			if _, err := c.Write(s.flood); err == nil {
				_, _ = in.ReadByte()
			}
			return
		}
		switch step {
		case "drop":
			return
		case "crash":
			_ = writeWithPauses(c, strings.TrimSuffix(s.crashResponse(r), "<cut>"))
			s.end()
			return
		case "hang":
			_, _ = in.ReadByte() // returns when the client disconnects
			s.once.Do(func() { close(s.disconnected) })
			return
		}
		step, awaits := strings.CutPrefix(step, "<await>")
		if awaits {
			<-s.release
		}
		text, broken := strings.CutSuffix(step, "<cut>")
		text, drips := strings.CutSuffix(text, "<drip>")
		if err := writeWithPauses(c, stray+text); err != nil || broken {
			return
		}
		for drips {
			<-time.After(50 * time.Millisecond)
			if _, err := io.WriteString(c, "1\r\n:\r\n"); err != nil {
				return
			}
		}
	}
}

// crashResponse returns what the server sends before it ends on crashOn.
func (s *backendServer) crashResponse(r *http.Request) string {
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // 0 if it doesn't go on
	var events []string
	for range s.crashAt {
		last++
		events = append(events, event(last))
	}
	if s.crashAt > 0 {
		events = append(events, "<pause 30ms>")
	}
	return streamResponse(append(events, fmt.Sprintf("id: %d\nda", last+1), "<cut>")...)
}

// writeWithPauses writes text and waits where it contains "<pause DURATION>".
func writeWithPauses(w io.Writer, text string) error {
	for i, part := range strings.Split(text, "<pause ") {
		if i > 0 {
			length, rest, _ := strings.Cut(part, ">")
			d, err := time.ParseDuration(length)
			if err != nil {
				return err
			}
			<-time.After(d)
			part = rest
		}
		if _, err := io.WriteString(w, part); err != nil {
			return err
		}
	}
	return nil
}

// nextStep records a request and returns the script step for it.
func (s *backendServer) nextStep(r *http.Request) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	line := r.Method + " " + r.RequestURI
	for _, name := range []string{"Stage", "Kv-Fetch", "Kv-Source", "Last-Event-Id", "Request-Priority", "Kv-Hold", "Tenant", "Api-Key"} {
		if value := strings.Join(r.Header[name], "+"); value != "" {
			if name == "Kv-Fetch" {
				value = "memory" // the address has a random port
			}
			line += " " + name + "=" + value[strings.LastIndex(value, "/")+1:]
		}
	}
	if got := r.Header.Get("Target-Instance"); got != s.name && r.Method != http.MethodDelete && !strings.HasPrefix(r.RequestURI, "/-/") {
		line += " for " + got
	}
	if s.crashOn != "" && strings.Contains(r.Header.Get("Prompt-Prefix"), s.crashOn) {
		s.requests = append(s.requests, line+" crash")
		return "crash"
	}
	s.requests = append(s.requests, line)
	step := s.script[min(s.nextIndex, len(s.script)-1)]
	s.nextIndex++
	return step
}

// plainResponse returns a complete response with a Response-Signature header.
func plainResponse(status int, body string, header ...string) string {
	lines := append([]string{fmt.Sprintf("HTTP/1.1 %d %s", status, http.StatusText(status)), "Request-Id: r1", "Response-Signature: s", fmt.Sprintf("Content-Length: %d", len(body))}, header...)
	return strings.Join(lines, "\r\n") + "\r\n\r\n" + body
}

// streamResponse returns a chunked response of the given events. The events "<cut>"
// and "<drip>" leave out the rest, see backendServer; "<pause 700ms>" waits.
func streamResponse(events ...string) string {
	var text strings.Builder
	text.WriteString("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Signature: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
	for _, e := range events {
		if e == "<cut>" || e == "<drip>" {
			return text.String() + e
		}
		if strings.HasPrefix(e, "<pause ") {
			text.WriteString(e)
			continue
		}
		fmt.Fprintf(&text, "%x\r\n%s\r\n", len(e), e)
	}
	return text.String() + "0\r\n\r\n"
}

func event(id int) string { return fmt.Sprintf("id: %d\ndata: e%d\n\n", id, id) }

func oneRoute(kind routes.Kind, attempts int, resumable bool) []routes.Route {
	r := routes.Route{
		Name: "r", Host: "crews.example", Prefix: "/a/", Kind: kind, Resumable: resumable, Timeout: 2 * time.Second,
		LatencyObjective: 150 * time.Millisecond, MaxAttempts: attempts, Targets: []routes.Target{{Service: "assist", Weight: 1}},
	}
	return slices.Clone([]routes.Route{r})
}
