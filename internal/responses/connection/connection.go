// Package connection wraps connections on which HTTP/1.1 responses are received, so that
// net/http doesn't accept responses that are broken.
package connection

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"endivedeck.example/internal/responses/head"
)

var errHeadTooLarge = errors.New("the response head is too large")

type (
	// Conn is a connection that carries one request at a time. ExpectHead must be called
	// before a response is read, so that Read fails if its head is invalid or too large.
	// Create it with New.
	Conn struct {
		net.Conn
		checker  head.Checker
		headLeft int // bytes that may still be read of the head
	}

	// dialer opens connections for a single request.
	dialer struct {
		net.Dialer
		maxHeadBytes int
	}
)

// New returns a Conn that uses c.
func New(c net.Conn) *Conn { return &Conn{Conn: c} }

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
		return c.Conn.Read(p)
	}
	if c.headLeft <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := c.Conn.Read(p[:min(len(p), c.headLeft)])
	c.headLeft -= n
	if headErr := c.checker.Feed(p[:n]); headErr != nil {
		return 0, headErr
	}
	return n, err
}
