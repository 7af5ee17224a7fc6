package relay_test

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

	"endivedeck.example/relay"
	"endivedeck.example/routes"
	"endivedeck.example/settings"
)

// stopCaller sends one request after the other, on connections that it keeps until
// the relay closes them, until it can't connect any more.
type stopCaller struct {
	address  string
	answered int
	cut      []string // requests of which a part of the response was missing
	unread   int      // connections closed without a byte of a response
}

// stopCall stops a relay in the background.
type stopCall struct {
	relay *relay.Relay
	ended chan error
}

func (c *stopCall) run(timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	c.ended <- c.relay.Stop(ctx)
}

func (c *stopCaller) run(callers *sync.WaitGroup) {
	defer callers.Done()
	for {
		conn, err := net.Dial("tcp", c.address)
		if err != nil {
			return
		}
		c.use(conn)
		_ = conn.Close()
	}
}

// use sends requests until the connection is to be closed.
func (c *stopCaller) use(conn net.Conn) {
	reader := bufio.NewReader(conn)
	for {
		if _, err := fmt.Fprint(conn, "POST /a/ HTTP/1.1\r\nHost: crews.example\r\nRequest-Id: r1\r\nContent-Length: 1\r\n\r\nx"); err != nil {
			c.unread++
			return
		}
		if _, err := reader.Peek(1); err != nil {
			c.unread++
			return
		}
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			c.cut = append(c.cut, err.Error())
			return
		}
		body, err := io.ReadAll(response.Body)
		if err != nil || response.StatusCode == http.StatusOK && string(body) != "good" {
			c.cut = append(c.cut, fmt.Sprintf("status %d, body %q: %v", response.StatusCode, body, err))
			return
		}
		if response.StatusCode == http.StatusOK {
			c.answered++
		}
		if response.Close {
			return
		}
	}
}

// TestStopUnderLoad stops a relay while callers keep sending requests on new and on
// kept connections. Each request that reached the backend server must have been
// answered in full: a connection may be closed only while no request on it has been
// passed on.
func TestStopUnderLoad(t *testing.T) {
	server := &backendServer{name: "a", script: []string{"<pause 20ms>" + plainResponse(200, "good")}}
	b := newTestbed(t, oneRoute(routes.AtMostOnce, 1, false), server)
	stopping := b.newRelayWith("stopping", "near", func(s *relay.Settings) { s.GracePeriod = settings.Duration(2 * time.Second) })
	if err := stopping.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	b.waitFor("the relay has received the backend server", func() bool { return stopping.ServerCount("assist") == 1 })
	callers := make([]*stopCaller, 6)
	var running sync.WaitGroup
	for i := range callers {
		callers[i] = &stopCaller{address: stopping.Address()}
		running.Add(1)
		go callers[i].run(&running)
	}
	b.waitFor("requests are answered", func() bool { return server.requestCount() > 20 })
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	if err := stopping.Stop(ctx); err != nil {
		t.Errorf("stopping the relay: %v", err)
	}
	running.Wait()
	answered := 0
	for _, c := range callers {
		answered += c.answered
		if len(c.cut) > 0 {
			t.Errorf("got responses that were cut: %s", strings.Join(c.cut, "; "))
		}
	}
	if got, want := answered, server.requestCount(); got != want {
		t.Errorf("got %d complete answers, want %d, as many as requests that reached the backend server", got, want)
	}
}

// TestStreamTakenAfterStopSignal sends a stream that may outlive the relay just after
// the stop began. The relay must refuse it at once, for another one to take it, rather
// than begin it and cut it at the end of the grace period. A caller that waits no
// longer than the relay will run is still served.
func TestStreamTakenAfterStopSignal(t *testing.T) {
	t.Parallel()
	server := &backendServer{name: "a", script: []string{
		streamResponse(event(1), event(2)),
		streamResponse(event(1), "<pause 3s>", event(2)),
	}}
	list := oneRoute(routes.Stream, 1, false)
	list[0].Timeout = 15 * time.Second
	b := newTestbed(t, list, server)
	stopping := b.newRelayWith("stopping", "near", func(s *relay.Settings) { s.GracePeriod = settings.Duration(8 * time.Second) })
	if err := stopping.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	b.waitFor("the relay has received the backend server", func() bool { return stopping.ServerCount("assist") == 1 })
	stop := &stopCall{relay: stopping, ended: make(chan error, 1)}
	go stop.run(7600 * time.Millisecond)
	b.waitFor("the relay is stopping", func() bool { return !stopping.Ready() })
	got := b.sendTo(stopping, "POST", "/a/", "Deadline-Ms: 3000\r\n", "x") + "\n" + b.sendTo(stopping, "POST", "/a/", "", "x")
	want := `200 Response-Signature=s "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n" complete` + "\n" + `503 Retry-After=0 "unavailable\n" complete`
	if got != want {
		t.Errorf("got responses\n%s\nwant\n%s", got, want)
	}
	if got, want := server.requestCount(), 1; got != want {
		t.Errorf("got %d requests at the backend server, want %d", got, want)
	}
	if err := <-stop.ended; err != nil {
		t.Errorf("stopping the relay: %v", err)
	}
}

// stoppingRelay returns a relay in front of server that has not begun to stop yet, and
// the call that stops it. Its route allows 15 s.
func stoppingRelay(t *testing.T, server *backendServer) (*testbed, *relay.Relay, *stopCall) {
	t.Helper()
	list := oneRoute(routes.Stream, 1, false)
	list[0].Timeout = 15 * time.Second
	b := newTestbed(t, list, server)
	r := b.newRelayWith("stopping", "near", func(s *relay.Settings) { s.GracePeriod = settings.Duration(3 * time.Second) })
	if err := r.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	b.waitFor("the relay has received the backend server", func() bool { return r.ServerCount("assist") == 1 })
	return b, r, &stopCall{relay: r, ended: make(chan error, 1)}
}

// TestStreamBegunAfterStopSignal has requests arrive before the stop signal that are
// ready to be sent only after it: one whose body is still incomplete, and one that waits
// for a worker. No stream may be begun that the relay can't finish.
func TestStreamBegunAfterStopSignal(t *testing.T) {
	t.Parallel()
	t.Run("body incomplete", func(t *testing.T) {
		server := &backendServer{name: "a", script: []string{streamResponse(event(1), "<pause 4s>", event(2))}}
		b, r, stop := stoppingRelay(t, server)
		c, err := net.Dial("tcp", r.Address())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		fmt.Fprint(c, "POST /a/ HTTP/1.1\r\nHost: crews.example\r\nRequest-Id: r1\r\nContent-Length: 2\r\n\r\nx")
		b.waitFor("the relay has read the header", func() bool { return r.Running() == 1 })
		go stop.run(2800 * time.Millisecond)
		b.waitFor("the relay is stopping", func() bool { return !r.Ready() })
		fmt.Fprint(c, "y")
		checkRefusedAtStop(t, readText(c), server, stop)
	})
	t.Run("waiting for a worker", func(t *testing.T) {
		server := &backendServer{name: "a", script: []string{streamResponse(event(1), "<pause 4s>", event(2))}}
		b, r, stop := stoppingRelay(t, server)
		blocked := &blockedTask{release: make(chan struct{})}
		for range testbedWorkers {
			if err := b.workers.Submit(blocked); err != nil {
				t.Fatal(err)
			}
		}
		c, err := net.Dial("tcp", r.Address())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		fmt.Fprint(c, "POST /a/ HTTP/1.1\r\nHost: crews.example\r\nRequest-Id: r1\r\nContent-Length: 1\r\n\r\nx")
		b.waitFor("the request waits", func() bool { return r.Running() == 1 })
		go stop.run(2800 * time.Millisecond)
		b.waitFor("the relay is stopping", func() bool { return !r.Ready() })
		close(blocked.release)
		checkRefusedAtStop(t, readText(c), server, stop)
	})
}

// checkRefusedAtStop checks that a request was refused, never sent, and that nothing was
// left to cut at the end of the stop.
func checkRefusedAtStop(t *testing.T, response string, server *backendServer, stop *stopCall) {
	t.Helper()
	if !strings.HasPrefix(response, "HTTP/1.1 503 ") || !strings.HasSuffix(response, "unavailable\n") {
		t.Errorf("got response %q, want a complete refusal with status 503", response)
	}
	if got, want := server.requestCount(), 0; got != want {
		t.Errorf("got %d requests at the backend server, want %d", got, want)
	}
	if err := <-stop.ended; err != nil {
		t.Errorf("stopping the relay: %v", err)
	}
}

// readText returns what arrives on a connection until it is closed.
func readText(r io.Reader) string {
	text, err := io.ReadAll(r)
	if err != nil {
		return fmt.Sprintf("%s (then %v)", text, err)
	}
	return string(text)
}

// blockedTask keeps a worker busy until it is released.
type blockedTask struct{ release chan struct{} }

// Run implements pool.Task.
func (b *blockedTask) Run() { <-b.release }

// TestStopWithUnusedConnection has a caller connect and send nothing before the relay
// stops. The stop cuts no response and must not count as failed.
func TestStopWithUnusedConnection(t *testing.T) {
	t.Parallel()
	_, r, stop := stoppingRelay(t, &backendServer{name: "a", script: []string{plainResponse(200, "good")}})
	c, err := net.Dial("tcp", r.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	go stop.run(2 * time.Second)
	if err := <-stop.ended; err != nil {
		t.Errorf("got %v, want no error", err)
	}
}
