package engine_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"endivedeck.example/engine"
	"endivedeck.example/fault"
	"endivedeck.example/message"
)

// endlessEngine responds to each request with a text and then with another one again and
// again, until the client closes the connection.
type endlessEngine struct {
	listener     net.Listener
	begin, again string
	written      atomic.Int64 // bytes
}

// run accepts connections until the listener is closed.
func (e *endlessEngine) run() {
	for {
		c, err := e.listener.Accept()
		if err != nil {
			return
		}
		go e.loop(c)
	}
}

// loop responds to a request on one connection.
func (e *endlessEngine) loop(c net.Conn) {
	defer c.Close()
	_ = c.(*net.TCPConn).SetWriteBuffer(64 << 10)
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
		return
	}
	again := strings.Repeat(e.again, 1+(16<<10)/len(e.again))
	for text := e.begin; ; text = again {
		n, err := io.WriteString(c, text)
		e.written.Add(int64(n))
		if err != nil {
			return
		}
	}
}

// TestEndlessResponse has an engine send bytes without end where a response is due. The
// client accepted heads of 10 MB and lists of 64 MB on each connection, which may be
// many at a time.
func TestEndlessResponse(t *testing.T) {
	const (
		maxAccepted = 16 << 20 // bytes, with those in the buffers of both sockets
		head        = "HTTP/1.1 200 OK\r\n"
		maxHead     = 8 << 20
	)
	state := func(ctx context.Context, e engine.Engine) error { _, err := e.State(ctx); return err }
	events := func(ctx context.Context, e engine.Engine) error {
		_, err := e.(engine.CacheEventSource).Events(ctx, 0)
		return err
	}
	generate := func(ctx context.Context, e engine.Engine) error {
		return e.Generate(ctx, message.GenerateRequest{ID: "a", MaxTokens: 8}, func(message.Chunk) error { return nil })
	}
	for _, c := range []struct {
		name, begin, again string
		max                int64
		call               func(context.Context, engine.Engine) error
		want               fault.Kind
	}{
		{"header line", head + "A: ", "x", maxHead, state, fault.Broken},
		{"header lines", head, "A: x\r\n", maxHead, state, fault.Broken},
		{"no head", "", "x", maxHead, state, fault.Broken},
		{"informational responses", "", "HTTP/1.1 102 Processing\r\n\r\n", maxHead, state, fault.Broken},
		{"header line of a stream", head + "A: ", "x", maxHead, generate, fault.Broken},
		{"line of a stream", head + "\r\n", "x", maxAccepted, generate, fault.Broken},
		{"list of models", head + "\r\n{\"models\":[\"\"", ",\"\"", maxAccepted, state, fault.Broken},
		{"list of events", head + "\r\n[{}", ",{}", maxAccepted, events, ""}, // the first ones
		{"long event", head + "\r\n[{\"", "x", 32 << 20, events, fault.Broken},
	} {
		t.Run(c.name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer listener.Close()
			s := &endlessEngine{listener: listener, begin: c.begin, again: c.again}
			go s.run()
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			err = c.call(ctx, engine.NewLinesClient(listener.Addr().String()))
			if got := fault.KindOf(err); got != c.want {
				t.Errorf("got error %v, want kind %q", err, c.want)
			}
			if got := s.written.Load(); got > c.max {
				t.Errorf("got %d bytes accepted, want at most %d", got, c.max)
			}
		})
	}
}
