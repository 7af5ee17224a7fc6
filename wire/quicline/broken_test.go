package quicline_test

import (
	"context"
	"io"
	"testing"

	"endivedeck.example/wire"
	"endivedeck.example/wire/quicline"
)

// breaker is the server side of one stream. It replies with a part before it has read the
// request, and then ends the stream.
type breaker struct {
	listener wire.Listener
	end      func(wire.Conn, wire.Stream)
	done     chan struct{}
	err      error
}

// run serves one stream.
func (b *breaker) run(ctx context.Context) {
	defer close(b.done)
	conn, err := b.listener.Accept(ctx)
	if err != nil {
		b.err = err
		return
	}
	stream, err := conn.Accept(ctx)
	if err != nil {
		b.err = err
		return
	}
	if _, b.err = io.WriteString(stream, "part"); b.err == nil {
		b.end(conn, stream)
	}
	<-conn.Done()
}

// sending is a request that is being sent on a stream.
type sending struct {
	stream wire.Stream
	done   chan struct{}
}

// run sends more than the server's flow control lets through.
func (s *sending) run() {
	defer close(s.done)
	_, _ = s.stream.Write(make([]byte, 64<<20))
}

// TestBrokenStreamHasNoEnd has a server break a stream or its connection while a request is
// being sent. Only the orderly end of a stream may look like one.
func TestBrokenStreamHasNoEnd(t *testing.T) {
	folder := t.TempDir()
	var logs logBuffer
	for _, c := range []struct {
		name    string
		end     func(wire.Conn, wire.Stream)
		wantEnd bool
	}{
		{"stream reset", func(_ wire.Conn, s wire.Stream) { s.Cancel() }, false},
		{"connection closed", func(c wire.Conn, _ wire.Stream) { _ = c.Close() }, false},
		{"orderly end", func(_ wire.Conn, s wire.Stream) { _ = s.Close() }, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
			defer cancel()
			listener, err := quicline.New(issueKeys(t, folder, "sidecar-1"), logs.entry()).Listen("127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer listener.Close()
			b := &breaker{listener: listener, end: c.end, done: make(chan struct{})}
			go b.run(ctx)
			conn, err := quicline.New(issueKeys(t, folder, "entry-1"), logs.entry()).Dial(ctx, listener.Address())
			if err != nil {
				t.Fatal(err)
			}
			stream, err := conn.Open(ctx)
			if err != nil {
				t.Fatal(err)
			}
			s := &sending{stream: stream, done: make(chan struct{})}
			go s.run()
			got, err := io.ReadAll(stream)
			if ended := err == nil; ended != c.wantEnd {
				t.Errorf("got %q and error %v, want an end %t", got, err, c.wantEnd)
			}
			_ = conn.Close()
			<-s.done
			<-b.done
			if b.err != nil {
				t.Error(b.err)
			}
		})
	}
}
