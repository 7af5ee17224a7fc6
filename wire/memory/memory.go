// Package memory implements wire.Transport for tests, over pipes within one
// process, and can simulate network failures.
//
// A Network connects processes by name. It can be partitioned, in one direction
// or both, and it can lose the state of open connections, as a firewall or a
// NAT gateway does. In both cases data is discarded without an error, and the
// affected connections close after wire.KeepAliveTimeout. All waiting is on
// channels and timers, so the package works with the fake clock of
// testing/synctest.
package memory

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"endivedeck.example/fault"
	"endivedeck.example/wire"
)

const acceptBacklog = 1024

var (
	_ wire.Transport = (*Transport)(nil)
	_ wire.Listener  = (*listener)(nil)
	_ wire.Conn      = (*conn)(nil)
	_ wire.Stream    = (*stream)(nil)
)

type (
	// Network connects the transports that are created from it. Create it with
	// NewNetwork.
	Network struct {
		mu        sync.Mutex
		listeners map[string]*listener
		blocked   map[direction]bool
		conns     map[*conn]bool
	}

	// Transport connects the process with the given name to the network. The
	// addresses are process names.
	Transport struct {
		network *Network
		name    string
	}

	direction struct{ from, to string }

	listener struct {
		network   *Network
		name      string
		conns     chan *conn
		closed    chan struct{}
		closeOnce sync.Once
	}

	// conn is one end of a connection.
	conn struct {
		network    *Network
		direction  direction
		peer       *conn // the other end
		streams    chan *stream
		done       chan struct{}
		closeOnce  sync.Once
		blackholed atomic.Bool // set by BlackholeConns: data that this end sends is discarded
	}

	stream struct {
		net.Conn
		conn *conn
	}
)

// NewNetwork returns a network without failures.
func NewNetwork() *Network {
	return &Network{
		listeners: map[string]*listener{},
		blocked:   map[direction]bool{},
		conns:     map[*conn]bool{},
	}
}

// Transport returns a transport for the process with the given name.
func (n *Network) Transport(name string) *Transport {
	return &Transport{network: n, name: name}
}

// Block discards all data sent in one direction between two processes, until Heal.
// Their open connections close after wire.KeepAliveTimeout, even if Heal is called
// first.
func (n *Network) Block(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blocked[direction{from, to}] = true
	for c := range n.conns {
		if c.direction == (direction{from, to}) || c.direction == (direction{to, from}) {
			time.AfterFunc(wire.KeepAliveTimeout, c.abort)
		}
	}
}

// BlackholeConns discards all further data on the connections that are open
// between two processes, which close after wire.KeepAliveTimeout. New connections
// work.
func (n *Network) BlackholeConns(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		if c.direction == (direction{a, b}) || c.direction == (direction{b, a}) {
			c.blackholed.Store(true)
			time.AfterFunc(wire.KeepAliveTimeout, c.abort)
		}
	}
}

// Isolate blocks both directions between a process and each of the others.
func (n *Network) Isolate(name string, others ...string) {
	for _, other := range others {
		n.Block(name, other)
		n.Block(other, name)
	}
}

// Heal unblocks all directions from or to a process.
func (n *Network) Heal(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for d := range n.blocked {
		if d.from == name || d.to == name {
			delete(n.blocked, d)
		}
	}
}

func (n *Network) isBlocked(d direction) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.blocked[d]
}

// Listen implements wire.Transport. The address must be the name of the
// transport's process.
func (t *Transport) Listen(address string) (wire.Listener, error) {
	l := &listener{
		network: t.network,
		name:    address,
		conns:   make(chan *conn, acceptBacklog),
		closed:  make(chan struct{}),
	}
	t.network.mu.Lock()
	defer t.network.mu.Unlock()
	if t.network.listeners[address] != nil {
		return nil, fault.New(fault.Unavailable, fault.NotRun, "listening on %s: the address is in use", address)
	}
	t.network.listeners[address] = l
	return l, nil
}

// Dial implements wire.Transport. If either direction is blocked, it waits until
// ctx is done.
func (t *Transport) Dial(ctx context.Context, address string) (wire.Conn, error) {
	forward := direction{t.name, address}
	reverse := direction{address, t.name}
	if t.network.isBlocked(forward) || t.network.isBlocked(reverse) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	t.network.mu.Lock()
	defer t.network.mu.Unlock()
	l := t.network.listeners[address]
	if l == nil {
		return nil, fault.New(fault.Unavailable, fault.NotRun, "dialing %s: no listener", address)
	}
	a, b := t.network.newConnPair(forward, reverse)
	select {
	case l.conns <- b:
		return a, nil
	default:
		return nil, fault.New(fault.Unavailable, fault.NotRun, "dialing %s: the accept queue of %d connections is full", address, acceptBacklog)
	}
}

func (n *Network) newConnPair(forward, reverse direction) (a, b *conn) {
	a = newConn(n, forward)
	b = newConn(n, reverse)
	a.peer = b
	b.peer = a
	n.conns[a] = true
	n.conns[b] = true
	return a, b
}

func newConn(n *Network, d direction) *conn {
	return &conn{
		network:   n,
		direction: d,
		streams:   make(chan *stream, acceptBacklog),
		done:      make(chan struct{}),
	}
}

func (l *listener) Accept(ctx context.Context) (wire.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, io.EOF
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (l *listener) Address() string { return l.name }

func (l *listener) Close() error {
	l.closeOnce.Do(l.shutDown)
	return nil
}

// shutDown closes the connections that were dialed and not accepted.
func (l *listener) shutDown() {
	close(l.closed)
	l.network.mu.Lock()
	if l.network.listeners[l.name] == l {
		delete(l.network.listeners, l.name)
	}
	l.network.mu.Unlock()
	for {
		select {
		case c := <-l.conns:
			_ = c.Close()
		default:
			return
		}
	}
}

func (c *conn) Open(ctx context.Context) (wire.Stream, error) {
	select {
	case <-c.done:
		return nil, io.ErrClosedPipe
	default:
	}
	near, far := net.Pipe()
	select {
	case c.peer.streams <- &stream{Conn: far, conn: c.peer}:
		s := &stream{Conn: near, conn: c}
		context.AfterFunc(doneContext{c.done}, s.closePipe)
		return s, nil
	default:
		return nil, io.ErrShortBuffer
	}
}

func (c *conn) Accept(ctx context.Context) (wire.Stream, error) {
	select {
	case s := <-c.streams:
		context.AfterFunc(doneContext{c.done}, s.closePipe)
		return s, nil
	case <-c.done:
		return nil, io.EOF
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (c *conn) Done() <-chan struct{} { return c.done }

func (c *conn) Peer() string { return c.direction.to }

// Close closes both ends, since the peer is notified of a close. Where the
// network discards the notification, only this end is closed.
func (c *conn) Close() error {
	c.abort()
	if !c.discardsWrites() {
		c.peer.abort()
	}
	return nil
}

// discardsWrites reports whether the network discards what this end sends.
func (c *conn) discardsWrites() bool { return c.blackholed.Load() || c.network.isBlocked(c.direction) }

func (c *conn) abort() { c.closeOnce.Do(c.closeLocal) }

func (c *conn) closeLocal() {
	close(c.done)
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	delete(c.network.conns, c)
}

// Write discards p if the network does, and fails once the connection is
// closed.
func (s *stream) Write(p []byte) (int, error) {
	select {
	case <-s.conn.done:
		return 0, io.ErrClosedPipe
	default:
	}
	if s.conn.discardsWrites() {
		return len(p), nil
	}
	return s.Conn.Write(p)
}

// Close closes both directions, because a pipe has no half-close. No data is
// lost, since the protocol reads the last reply before it closes.
func (s *stream) Close() error {
	s.Cancel()
	return nil
}

// Cancel aborts both ends, or only this one if the network discards what it
// sends.
func (s *stream) Cancel() {
	if s.conn.discardsWrites() {
		_ = s.Conn.SetDeadline(time.Unix(1, 0))
		return
	}
	s.closePipe()
}

// closePipe closes the pipe. It is also called when the connection closes.
func (s *stream) closePipe() { _ = s.Conn.Close() }

// doneContext is a context that is done when a connection closes, for
// context.AfterFunc.
type doneContext struct{ done <-chan struct{} }

func (c doneContext) Deadline() (time.Time, bool) { return time.Time{}, false }
func (c doneContext) Done() <-chan struct{}       { return c.done }
func (c doneContext) Value(any) any               { return nil }

func (c doneContext) Err() error {
	select {
	case <-c.done:
		return context.Canceled
	default:
		return nil
	}
}
