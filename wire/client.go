package wire

import (
	"context"
	"io"
	"time"

	"endivedeck.example/fault"
	"endivedeck.example/rank"
)

const (
	dialTime  = 2 * time.Second
	avoidTime = 10 * time.Second // until an avoided connection is closed
)

type (
	// Client makes calls to other processes and shares one connection for
	// each address. Create it with NewClient.
	Client struct {
		transport Transport
		mu        rank.Mutex
		links     map[string]*link
		avoided   map[Conn]bool // no new calls are made over them
		closed    bool
	}

	// Call is one open call. Its methods are for one goroutine, but for
	// Cancel.
	Call struct {
		stream Stream
		conn   Conn
	}

	// link is a connection to one address or the attempt to make one.
	link struct {
		ready chan struct{}
		conn  Conn
		err   error
	}
)

// NewClient returns a client that dials through transport.
func NewClient(transport Transport) *Client {
	return &Client{
		transport: transport,
		mu:        rank.New(rank.Connection),
		links:     map[string]*link{},
		avoided:   map[Conn]bool{},
	}
}

// Ask sends one request and reads one reply into out, which may be nil. An
// error before the request could leave has Ran No; after that it is Unknown,
// unless the other process itself said otherwise.
func (c *Client) Ask(ctx context.Context, address, method string, in, out any) error {
	call, err := c.Open(ctx, address, method, in)
	if err != nil {
		return err
	}
	defer call.Cancel()
	stop := context.AfterFunc(ctx, call.Cancel)
	defer stop()
	err = call.Receive(out)
	if err == io.EOF {
		return fault.New(fault.Broken, fault.Unknown, "%s ended the call %s without a reply", address, method)
	}
	if err != nil && ctx.Err() != nil {
		return fault.New(fault.Deadline, fault.Unknown, "%s: no reply from %s in time", method, address)
	}
	return err
}

// Open sends one request and returns the call, from which replies are read.
// The rules for errors are those of Ask.
func (c *Client) Open(ctx context.Context, address, method string, in any) (*Call, error) {
	body, err := Encode(in)
	if err != nil {
		return nil, err
	}
	conn, err := c.conn(ctx, address)
	if err != nil {
		return nil, err
	}
	stream, err := conn.Open(ctx)
	if err != nil {
		c.forget(address, conn)
		return nil, fault.New(fault.Unavailable, fault.No, "opening a stream to %s: %v", address, err)
	}
	stop := context.AfterFunc(ctx, stream.Cancel) // the other end may read nothing
	defer stop()
	if err := WriteFrame(stream, request{Method: method, Body: body}); err != nil {
		stream.Cancel()
		return nil, fault.New(fault.Broken, fault.Unknown, "sending %s to %s: %v", method, address, err)
	}
	return &Call{stream: stream, conn: conn}, nil
}

// Drop closes the shared connection to address, so that the next call dials
// anew. Calls that run over it fail.
func (c *Client) Drop(address string) {
	c.mu.Lock()
	l := c.links[address]
	delete(c.links, address)
	c.mu.Unlock()
	if l == nil {
		return
	}
	select {
	case <-l.ready:
	default:
		return // run closes what nobody keeps
	}
	if l.conn != nil {
		_ = l.conn.Close()
	}
}

// Avoid has new calls to address dial anew, because the call's connection may
// have gone silent. Calls that run over it go on until it is given up.
// One that isn't silent after all is closed later.
func (c *Client) Avoid(address string, call *Call) {
	c.forget(address, call.conn)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.avoided[call.conn] {
		return
	}
	c.avoided[call.conn] = true
	time.AfterFunc(avoidTime, func() { c.end(call.conn) })
}

// end closes a connection that is avoided.
func (c *Client) end(conn Conn) {
	c.mu.Lock()
	delete(c.avoided, conn)
	c.mu.Unlock()
	_ = conn.Close()
}

// Close closes every connection.
func (c *Client) Close() {
	c.mu.Lock()
	links := c.links
	c.links = map[string]*link{}
	c.closed = true
	avoided := c.avoided
	c.avoided = map[Conn]bool{}
	c.mu.Unlock()
	for conn := range avoided {
		_ = conn.Close()
	}
	for _, l := range links {
		<-l.ready
		if l.conn != nil {
			_ = l.conn.Close()
		}
	}
}

// conn returns the shared connection to address. One caller dials; others
// that come meanwhile wait for it, but no longer than their own ctx.
func (c *Client) conn(ctx context.Context, address string) (Conn, error) {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return nil, fault.New(fault.Unavailable, fault.No, "the process is stopping")
	}
	l := c.links[address]
	if l != nil && l.usable() {
		c.mu.Unlock()
		return l.wait(ctx)
	}
	l = &link{ready: make(chan struct{})}
	c.links[address] = l
	c.mu.Unlock()
	go c.run(address, l)
	return l.wait(ctx)
}

// run dials for everyone who waits, so it isn't bound to one caller's time.
func (c *Client) run(address string, l *link) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTime)
	defer cancel()
	l.conn, l.err = c.transport.Dial(ctx, address)
	close(l.ready)
	c.mu.Lock()
	kept := c.links[address] == l
	if kept && l.err != nil {
		delete(c.links, address)
	}
	c.mu.Unlock()
	if !kept && l.conn != nil {
		_ = l.conn.Close()
	}
}

func (c *Client) forget(address string, conn Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.links[address]
	if l != nil && l.conn == conn {
		delete(c.links, address)
	}
}

func (l *link) usable() bool {
	select {
	case <-l.ready:
	default:
		return true
	}
	if l.err != nil {
		return false
	}
	select {
	case <-l.conn.Done():
		return false
	default:
		return true
	}
}

func (l *link) wait(ctx context.Context) (Conn, error) {
	select {
	case <-l.ready:
	case <-ctx.Done():
		return nil, fault.New(fault.Unavailable, fault.No, "no connection in time: %v", ctx.Err())
	}
	if l.err != nil {
		return nil, fault.New(fault.Unavailable, fault.No, "no connection: %v", l.err)
	}
	return l.conn, nil
}

// Send sends one more message on the call.
func (c *Call) Send(value any) error {
	if err := WriteFrame(c.stream, value); err != nil {
		return fault.New(fault.Broken, fault.Unknown, "the connection was lost: %v", err)
	}
	return nil
}

// Receive reads the next reply into out, which may be nil. It returns io.EOF
// after the last reply, the other process's own error where it sent one, and
// fault.Broken when the connection was lost.
func (c *Call) Receive(out any) error {
	var r reply
	err := ReadFrame(c.stream, &r)
	if err == io.EOF {
		return io.EOF
	}
	if err != nil {
		return fault.New(fault.Broken, fault.Unknown, "the connection was lost: %v", err)
	}
	if r.Error != nil {
		return fault.Wrap(r.Error)
	}
	if out == nil {
		return nil
	}
	return Decode(r.Body, out)
}

// Peer returns the proven name of the other end.
func (c *Call) Peer() string { return c.conn.Peer() }

// Cancel gives the call up at once. It may be called more than once.
func (c *Call) Cancel() { c.stream.Cancel() }
