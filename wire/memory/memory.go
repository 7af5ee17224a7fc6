// Package memory is a transport over pipes inside one process, with paths
// that can be cut and connections that can be forgotten.
//
// A Network stands for the wires between named processes. A cut swallows what
// is sent from one name to another without an error, as a broken network
// does, and the connections that it affects are given up after wire.Silence.
// All waiting is on channels and timers, so it runs under a test's clock.
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
	// Network connects the transports that it gives out. Create it with New.
	Network struct {
		mu        sync.Mutex
		listeners map[string]*listener
		cuts      map[path]bool
		conns     map[*conn]bool
	}

	// Transport is the network as the process of one name sees it. Addresses
	// are names.
	Transport struct {
		network *Network
		name    string
	}

	path struct{ from, to string }

	listener struct {
		network *Network
		name    string
		conns   chan *conn
		closed  chan struct{}
		once    sync.Once
	}

	// conn is one end of a connection.
	conn struct {
		network *Network
		path    path
		other   *conn
		streams chan *stream
		done    chan struct{}
		once    sync.Once
		silent  atomic.Bool // something on the way has lost track of it
	}

	stream struct {
		net.Conn
		owner *conn
	}
)

// New returns a network without cuts.
func New() *Network {
	return &Network{
		listeners: map[string]*listener{},
		cuts:      map[path]bool{},
		conns:     map[*conn]bool{},
	}
}

// Transport returns the network as the process of the given name sees it.
func (n *Network) Transport(name string) *Transport {
	return &Transport{network: n, name: name}
}

// Cut swallows what from sends to to, until Heal.
func (n *Network) Cut(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[path{from, to}] = true
	for c := range n.conns {
		if c.path == (path{from, to}) || c.path == (path{to, from}) {
			time.AfterFunc(wire.Silence, c.giveUp)
		}
	}
}

// Forget swallows all that passes over the connections that are open between
// two names; new ones work.
func (n *Network) Forget(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		if c.path == (path{a, b}) || c.path == (path{b, a}) {
			c.silent.Store(true)
			time.AfterFunc(wire.Silence, c.giveUp)
		}
	}
}

// Isolate cuts a name off from all the others given, both ways.
func (n *Network) Isolate(name string, others ...string) {
	for _, other := range others {
		n.Cut(name, other)
		n.Cut(other, name)
	}
}

// Heal ends every cut that touches name.
func (n *Network) Heal(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for p := range n.cuts {
		if p.from == name || p.to == name {
			delete(n.cuts, p)
		}
	}
}

func (n *Network) cut(p path) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cuts[p]
}

// Listen implements wire.Transport; address must be the transport's name.
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
		return nil, fault.New(fault.Unavailable, fault.No, "%s is taken", address)
	}
	t.network.listeners[address] = l
	return l, nil
}

// Dial implements wire.Transport. Across a cut it waits for ctx.
func (t *Transport) Dial(ctx context.Context, address string) (wire.Conn, error) {
	there := path{t.name, address}
	back := path{address, t.name}
	if t.network.cut(there) || t.network.cut(back) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	t.network.mu.Lock()
	defer t.network.mu.Unlock()
	l := t.network.listeners[address]
	if l == nil {
		return nil, fault.New(fault.Unavailable, fault.No, "nothing listens on %s", address)
	}
	a, b := t.network.pair(there, back)
	select {
	case l.conns <- b:
		return a, nil
	default:
		return nil, fault.New(fault.Unavailable, fault.No, "%s accepts nothing", address)
	}
}

func (n *Network) pair(there, back path) (a, b *conn) {
	a = newConn(n, there)
	b = newConn(n, back)
	a.other = b
	b.other = a
	n.conns[a] = true
	n.conns[b] = true
	return a, b
}

func newConn(n *Network, p path) *conn {
	return &conn{
		network: n,
		path:    p,
		streams: make(chan *stream, acceptBacklog),
		done:    make(chan struct{}),
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
	l.once.Do(l.end)
	return nil
}

// end refuses what was dialled and not accepted.
func (l *listener) end() {
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
	case c.other.streams <- &stream{Conn: far, owner: c.other}:
		s := &stream{Conn: near, owner: c}
		context.AfterFunc(connContext{c.done}, s.drop)
		return s, nil
	default:
		return nil, io.ErrShortBuffer
	}
}

func (c *conn) Accept(ctx context.Context) (wire.Stream, error) {
	select {
	case s := <-c.streams:
		context.AfterFunc(connContext{c.done}, s.drop)
		return s, nil
	case <-c.done:
		return nil, io.EOF
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (c *conn) Done() <-chan struct{} { return c.done }

func (c *conn) Peer() string { return c.path.to }

// Close ends both ends, since a closed connection says so to its peer.
func (c *conn) Close() error {
	c.giveUp()
	if !c.quiet() {
		c.other.giveUp()
	}
	return nil
}

// quiet reports whether what this end sends is swallowed.
func (c *conn) quiet() bool { return c.silent.Load() || c.network.cut(c.path) }

func (c *conn) giveUp() { c.once.Do(c.end) }

func (c *conn) end() {
	close(c.done)
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	delete(c.network.conns, c)
}

// Write swallows p when the path is cut, until the connection is given up.
func (s *stream) Write(p []byte) (int, error) {
	select {
	case <-s.owner.done:
		return 0, io.ErrClosedPipe
	default:
	}
	if s.owner.quiet() {
		return len(p), nil
	}
	return s.Conn.Write(p)
}

// Close can't close one direction of a pipe, so the end of the sending side
// closes both: the protocol reads to the last reply before it closes.
func (s *stream) Close() error {
	s.Cancel()
	return nil
}

// Cancel is seen by this end alone when the path is cut.
func (s *stream) Cancel() {
	if s.owner.quiet() {
		_ = s.Conn.SetDeadline(time.Unix(1, 0))
		return
	}
	s.drop()
}

// drop ends the stream with its connection.
func (s *stream) drop() { _ = s.Conn.Close() }

// connContext makes a connection's end usable with context.AfterFunc.
type connContext struct{ done <-chan struct{} }

func (c connContext) Deadline() (time.Time, bool) { return time.Time{}, false }
func (c connContext) Done() <-chan struct{}       { return c.done }
func (c connContext) Value(any) any               { return nil }

func (c connContext) Err() error {
	select {
	case <-c.done:
		return context.Canceled
	default:
		return nil
	}
}
