package wire

import (
	"context"
	"io"
	"time"

	"endivedeck.example/fault"
	"endivedeck.example/rank"
)

const (
	dialTimeout = 2 * time.Second
	retireTime  = 10 * time.Second // between RetireConn and the close of the connection
)

type (
	// Client makes calls to other processes. Calls to the same address share a
	// connection. Create it with NewClient.
	Client struct {
		transport Transport
		mu        rank.Mutex
		conns     map[string]*connEntry
		retired   map[Conn]bool // used only by calls in progress, closed after retireTime
		closed    bool
	}

	// Call is the client side of an open call. Its methods except Cancel must
	// not be called concurrently.
	Call struct {
		stream Stream
		conn   Conn
	}

	// connEntry is the shared connection to an address, or an attempt to
	// connect.
	connEntry struct {
		dialed chan struct{} // closed when conn or err is set
		conn   Conn
		err    error
	}
)

// NewClient returns a client that dials through transport.
func NewClient(transport Transport) *Client {
	return &Client{
		transport: transport,
		mu:        rank.New(rank.Connection),
		conns:     map[string]*connEntry{},
		retired:   map[Conn]bool{},
	}
}

// Call sends a request and reads a single reply into out, which may be nil.
// An error before the request was sent has Ran NotRun. After that, an error that
// the server replied with is returned unchanged, and any other has Ran MaybeRun.
func (c *Client) Call(ctx context.Context, address, method string, in, out any) error {
	call, err := c.OpenCall(ctx, address, method, in)
	if err != nil {
		return err
	}
	defer call.Cancel()
	stop := context.AfterFunc(ctx, call.Cancel)
	defer stop()
	err = call.Receive(out)
	if err == io.EOF {
		return fault.New(fault.Broken, fault.MaybeRun, "%s closed the stream of call %s without a reply", address, method)
	}
	if err != nil && ctx.Err() != nil {
		return fault.New(fault.DeadlineExceeded, fault.MaybeRun, "%s: call canceled or timed out before a reply from %s", method, address)
	}
	return err
}

// OpenCall sends a request and returns the call, from which the caller reads the
// replies. Its errors have Ran NotRun or MaybeRun, as those of Call.
func (c *Client) OpenCall(ctx context.Context, address, method string, in any) (*Call, error) {
	body, err := Encode(in)
	if err != nil {
		return nil, err
	}
	conn, err := c.sharedConn(ctx, address)
	if err != nil {
		return nil, err
	}
	stream, err := conn.Open(ctx)
	if err != nil {
		c.removeConn(address, conn)
		return nil, fault.New(fault.Unavailable, fault.NotRun, "opening a stream to %s: %v", address, err)
	}
	stop := context.AfterFunc(ctx, stream.Cancel) // the write blocks if the server doesn't read
	defer stop()
	if err := WriteFrame(stream, requestFrame{Method: method, Body: body}); err != nil {
		stream.Cancel()
		if fault.KindOf(err) == fault.TooLarge {
			return nil, err // nothing was sent
		}
		return nil, fault.New(fault.Broken, fault.MaybeRun, "sending request %s to %s: %v", method, address, err)
	}
	return &Call{stream: stream, conn: conn}, nil
}

// CloseConn closes the shared connection to address. Calls in progress on it
// fail; the next call dials a new connection.
func (c *Client) CloseConn(address string) {
	c.mu.Lock()
	entry := c.conns[address]
	delete(c.conns, address)
	c.mu.Unlock()
	if entry == nil {
		return
	}
	select {
	case <-entry.dialed:
	default:
		return // run closes a connection whose entry was removed
	}
	if entry.conn != nil {
		_ = entry.conn.Close()
	}
}

// RetireConn makes new calls to address use another connection than that of call.
// It is meant for a connection whose path is suspected to be lost. Calls in
// progress on that connection continue until it is closed after retireTime.
func (c *Client) RetireConn(address string, call *Call) {
	c.removeConn(address, call.conn)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.retired[call.conn] {
		return
	}
	c.retired[call.conn] = true
	time.AfterFunc(retireTime, func() { c.closeRetired(call.conn) })
}

// closeRetired closes a connection that RetireConn took out of use.
func (c *Client) closeRetired(conn Conn) {
	c.mu.Lock()
	delete(c.retired, conn)
	c.mu.Unlock()
	_ = conn.Close()
}

// Close closes all connections. Later calls fail.
func (c *Client) Close() {
	c.mu.Lock()
	conns := c.conns
	c.conns = map[string]*connEntry{}
	c.closed = true
	retired := c.retired
	c.retired = map[Conn]bool{}
	c.mu.Unlock()
	for conn := range retired {
		_ = conn.Close()
	}
	for _, entry := range conns {
		<-entry.dialed
		if entry.conn != nil {
			_ = entry.conn.Close()
		}
	}
}

// sharedConn returns the shared connection to address, and dials it if there
// is none that is usable. Concurrent callers wait for the same dial, each until
// its own ctx is done.
func (c *Client) sharedConn(ctx context.Context, address string) (Conn, error) {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return nil, fault.New(fault.Unavailable, fault.NotRun, "connecting to %s: the client is closed", address)
	}
	entry := c.conns[address]
	if entry != nil && entry.usable() {
		c.mu.Unlock()
		return entry.wait(ctx)
	}
	entry = &connEntry{dialed: make(chan struct{})}
	c.conns[address] = entry
	c.mu.Unlock()
	go c.run(address, entry)
	return entry.wait(ctx)
}

// run dials the connection of an entry. It does so for all waiting callers, so the
// timeout doesn't depend on the context of any of them.
func (c *Client) run(address string, entry *connEntry) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	entry.conn, entry.err = c.transport.Dial(ctx, address)
	close(entry.dialed)
	c.mu.Lock()
	kept := c.conns[address] == entry
	if kept && entry.err != nil {
		delete(c.conns, address)
	}
	c.mu.Unlock()
	if !kept && entry.conn != nil {
		_ = entry.conn.Close()
	}
}

// removeConn stops the use of conn for new calls, if it is still the shared
// connection to address.
func (c *Client) removeConn(address string, conn Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	entry := c.conns[address]
	if entry != nil && entry.conn == conn {
		delete(c.conns, address)
	}
}

// usable reports whether the entry is being dialed or is connected.
func (entry *connEntry) usable() bool {
	select {
	case <-entry.dialed:
	default:
		return true
	}
	if entry.err != nil {
		return false
	}
	select {
	case <-entry.conn.Done():
		return false
	default:
		return true
	}
}

// wait returns the connection when it is established.
func (entry *connEntry) wait(ctx context.Context) (Conn, error) {
	select {
	case <-entry.dialed:
	case <-ctx.Done():
		return nil, fault.New(fault.Unavailable, fault.NotRun, "connection not established in time: %v", ctx.Err())
	}
	if entry.err != nil {
		return nil, fault.New(fault.Unavailable, fault.NotRun, "connecting failed: %v", entry.err)
	}
	return entry.conn, nil
}

// Send sends another message after the request.
func (c *Call) Send(value any) error {
	if err := WriteFrame(c.stream, value); err != nil {
		return fault.New(fault.Broken, fault.MaybeRun, "sending a message of a call: %v", err)
	}
	return nil
}

// Receive reads the next reply into out, which may be nil. It returns io.EOF
// after the last reply, the error with which the server replied, if any, and
// fault.Broken if a reply can't be read. A request that was replied to has run,
// also if the reply can't be decoded.
func (c *Call) Receive(out any) error {
	var r replyFrame
	err := ReadFrame(c.stream, &r)
	if err == io.EOF {
		return io.EOF
	}
	if err != nil {
		return fault.New(fault.Broken, fault.MaybeRun, "receiving a reply: %v", err)
	}
	if r.Error != nil {
		return fault.WithStack(r.Error)
	}
	if out == nil {
		return nil
	}
	if err := Decode(r.Body, out); err != nil {
		return fault.New(fault.Broken, fault.HasRun, "reading a reply: %s", fault.FromError(err).Message)
	}
	return nil
}

// Peer returns the name in the server's certificate, or its address.
func (c *Call) Peer() string { return c.conn.Peer() }

// Cancel aborts the call. It may be called concurrently and more than once.
func (c *Call) Cancel() { c.stream.Cancel() }
