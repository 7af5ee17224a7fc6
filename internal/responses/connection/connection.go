// Package connection wraps connections on which HTTP/1.1 responses are received, so that
// net/http doesn't accept responses that are broken.
package connection

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"endivedeck.example/internal/responses/head"
)

var (
	errHeadTooLarge = errors.New("the response head is too large")
	past            = time.Unix(1, 0) // deadline that has passed
)

type (
	// Conn is a connection that carries one request at a time. ExpectHead must be called
	// before a response is read, so that Read fails if its head is invalid or too large.
	// Read returns io.EOF only if the peer has closed the connection in an orderly way. One
	// goroutine may read while another one writes. Create it with New.
	Conn struct {
		net.Conn
		checker  head.Checker
		headLeft int // bytes that may still be read of the head

		writing chan struct{} // holds a value during a write
		reset   bool          // a write has failed since the peer reset the connection; guarded by writing
	}

	// dialer opens connections for a single request.
	dialer struct {
		net.Dialer
		maxHeadBytes int
	}
)

// New returns a Conn that uses c.
func New(c net.Conn) *Conn { return &Conn{Conn: c, writing: make(chan struct{}, 1)} }

// NewTransport returns a transport that uses each connection for one request. dialTimeout
// limits the time to connect. The head of a response, with those of its interim responses,
// may have maxHeadBytes bytes.
func NewTransport(dialTimeout time.Duration, maxHeadBytes int) *http.Transport {
	d := &dialer{Dialer: net.Dialer{Timeout: dialTimeout}, maxHeadBytes: maxHeadBytes}
	return &http.Transport{DialContext: d.DialContext, DisableKeepAlives: true}
}

// DialContext connects, and expects the head of a response on the connection.
func (d *dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	netConn, err := d.Dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	c := New(netConn)
	if err := c.ExpectHead(nil, d.maxHeadBytes); err != nil {
		_ = netConn.Close()
		return nil, err
	}
	return c, nil
}

// ExpectHead has Read check the head of a response and limit its size. received holds the
// bytes that were read before and are a part of it. It returns an error if these are
// invalid.
func (c *Conn) ExpectHead(received []byte, limit int) error {
	c.checker = head.Checker{}
	c.headLeft = limit
	return c.checker.Feed(received)
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	if c.checker.Done() {
		return c.read(p)
	}
	if c.headLeft <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := c.read(p[:min(len(p), c.headLeft)])
	c.headLeft -= n
	if headErr := c.checker.Feed(p[:n]); headErr != nil {
		return 0, headErr
	}
	return n, err
}

// read reads without checks of the head.
func (c *Conn) read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == io.EOF {
		err = c.endError()
	}
	return n, err
}

// endError returns the error for the end of what can be read: io.EOF, or an error if the
// connection was reset. Linux reports a reset once, to a read or to a write, and the end of
// the stream to reads after that. If the peer has ended its side before, a write fails with
// EPIPE in place of ECONNRESET, and what was read is complete.
func (c *Conn) endError() error {
	// Ends a write that waits for the peer, since no response to it is expected any more.
	// An error means that the connection has been closed, which ends it too.
	_ = c.SetWriteDeadline(past)
	c.writing <- struct{}{}
	defer func() { <-c.writing }()
	if c.reset {
		return fmt.Errorf("reading the response: %w", syscall.ECONNRESET)
	}
	return io.EOF
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing <- struct{}{}
	defer func() { <-c.writing }()
	n, err := c.Conn.Write(p)
	c.reset = c.reset || errors.Is(err, syscall.ECONNRESET)
	return n, err
}
