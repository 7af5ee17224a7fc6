package upstream

import (
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"
)

const (
	// maxHeadRead is what may be read until readResponse returns: some headers and bodies
	// of stray responses.
	maxHeadRead = (maxStrayResponses + 1) * (maxHeaderBytes + maxStrayBodyBytes + 2*readBufferBytes)

	// Limits of what may be read for a body beyond the body itself: in all, and for each
	// byte of the body, which may be a chunk of its own.
	maxBodyOverhead    = 128 << 10
	maxOverheadPerByte = 32

	enoughBody = 256 << 10
)

// endlessConn is a connection on which a server sends prefix and then tail without end,
// or nothing more if tail is empty.
type endlessConn struct {
	net.Conn
	prefix, tail string
	rest         string // of the tail
	read         int
}

func (c *endlessConn) Read(p []byte) (int, error) {
	source := &c.prefix
	if c.prefix == "" {
		source = &c.rest
		if c.rest == "" {
			c.rest = c.tail
		}
	}
	if *source == "" {
		return 0, io.EOF
	}
	n := copy(p, *source)
	*source = (*source)[n:]
	c.read += n
	return n, nil
}

func (c *endlessConn) Write(p []byte) (int, error)      { return len(p), nil }
func (c *endlessConn) Close() error                     { return nil }
func (c *endlessConn) SetWriteDeadline(time.Time) error { return nil }

// FuzzEndlessResponse reads a response from a server that sends bytes without end. Only
// a limited number may be read until there is a response or an error, and for a body
// not much more than the caller gets.
func FuzzEndlessResponse(f *testing.F) {
	const head = "HTTP/1.1 200 OK\r\nX-Id: one\r\n"
	for _, c := range [][2]string{
		{"", "x"},
		{"HTTP/1.1 200 ", "O"},
		{head, "X-More: x\r\n"},
		{head + "X-More: ", "x"},
		{head + "X-More: x\r\n", " x\r\n"},
		{"", "HTTP/1.1 102 Processing\r\n\r\n"},
		{"", "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 1\r\n\r\nx"},
		{"HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 9999999999\r\n\r\n", "x"},
		{head + "\r\n", "x"},
		{head + "Content-Length: 99999999999\r\n\r\n", "x"},
		{head + "Content-Length: 4\r\n\r\ngood", "HTTP/1.1 200 OK\r\n"},
		{head + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
		{head + "Transfer-Encoding: chunked\r\n\r\n", "1;x=y\r\nx\r\n"},
		{head + "Transfer-Encoding: chunked\r\n\r\n", "0"},
		{head + "Transfer-Encoding: chunked\r\n\r\n1;", "x"},
		{head + "Transfer-Encoding: chunked\r\n\r\nffffffffff\r\n", "x"},
		{head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-More: x\r\n"},
		{head + "Transfer-Encoding: chunked\r\n\r\n0\r\nX-More: ", "x"},
		{head + "Content-Length: 4\r\n\r\ngo", ""},
	} {
		f.Add(c[0], c[1], false)
		f.Add(c[0], c[1], true)
	}
	f.Fuzz(func(t *testing.T, prefix, tail string, reused bool) {
		source := &endlessConn{prefix: prefix, tail: tail}
		c := newConn(newPool(), "server", source)
		c.reused = reused
		r := Request{Method: http.MethodGet, Host: "h", Path: "/", Header: http.Header{}, Match: func(h http.Header) Match { return matchID(h.Get(idHeader), "one") }}
		w := &requestWrite{conn: c, request: r, done: make(chan struct{})}
		w.run()
		resp, err := c.readResponse(w, r)
		if limit := maxHeadRead + len(prefix); source.read > limit {
			t.Errorf("got %d bytes read for a header, want at most %d", source.read, limit)
		}
		if err != nil {
			return
		}
		before := source.read
		body, err := io.Copy(io.Discard, io.LimitReader(resp, enoughBody))
		if limit := maxBodyOverhead + maxOverheadPerByte*int(body); source.read-before > limit {
			t.Errorf("got %d bytes read for %d bytes of a body (%v), want at most %d", source.read-before, body, err, limit)
		}
	})
}

// BenchmarkConnMemory reports the memory of an idle connection, without that of the
// kernel.
func BenchmarkConnMemory(b *testing.B) {
	conns := make([]*conn, 0, b.N)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	p := newPool()
	for b.Loop() {
		c := newConn(p, "server", &endlessConn{prefix: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"})
		r := Request{Method: http.MethodGet, Host: "h", Path: "/", Header: http.Header{}}
		w := &requestWrite{conn: c, request: r, done: make(chan struct{})}
		w.run()
		resp, err := c.readResponse(w, r)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, resp); err != nil {
			b.Fatal(err)
		}
		conns = append(conns, c)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(len(conns)), "bytes/conn")
	runtime.KeepAlive(conns)
}

// TestHeaderLimit checks that a header is read up to the limit, also if a line of it is
// longer than the buffer.
func TestHeaderLimit(t *testing.T) {
	for _, n := range []int{readBufferBytes - 1, readBufferBytes, readBufferBytes + 1, maxHeaderBytes - 64, maxHeaderBytes + 64} {
		source := &endlessConn{prefix: "HTTP/1.1 200 OK\r\nX-Long: " + strings.Repeat("x", n) + "\r\nContent-Length: 4\r\n\r\ngood"}
		c := newConn(newPool(), "server", source)
		r := Request{Method: http.MethodGet, Host: "h", Path: "/", Header: http.Header{}}
		w := &requestWrite{conn: c, request: r, done: make(chan struct{})}
		w.run()
		_, err := c.readResponse(w, r)
		if got, want := err == nil, n < maxHeaderBytes; got != want {
			t.Errorf("header of %d bytes: got accepted %v (%v), want %v", n, got, err, want)
		}
	}
}
