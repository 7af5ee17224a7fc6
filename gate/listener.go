package gate

import (
	"errors"
	"io"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"endivedeck.example/rank"
)

const (
	quietTime  = 200 * time.Millisecond // for which a connection must be silent before a stopping server closes it
	headTime   = time.Second            // longest pause in the head of a request at a stopping server
	lingerTime = 200 * time.Millisecond // for a client to close its side of a connection
)

// Phases of a connection.
const (
	waiting   phase = iota // for the first byte of a request
	receiving              // the head of a request
	active                 // a request is read or answered
	closing                // no further request is read
)

// dropSYN is a socket filter that drops TCP segments with the flag SYN.
var dropSYN = []unix.SockFilter{
	{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: 13}, // the flags in the TCP header
	{Code: unix.BPF_JMP | unix.BPF_JSET | unix.BPF_K, K: 2, Jf: 1},
	{Code: unix.BPF_RET | unix.BPF_K, K: 0},
	{Code: unix.BPF_RET | unix.BPF_K, K: 1 << 16},
}

type (
	phase int

	// listener limits and tracks the open connections.
	listener struct {
		*net.TCPListener
		slots chan struct{} // holds an element for each open connection and for a pending Accept
		gone  chan struct{} // closed once a stopping listener and all of its connections are closed

		quietTime time.Duration // longer in a test
		crossed   atomic.Int64  // see Report

		mu      rank.Mutex
		conns   map[*conn]bool
		stopped time.Time // when the server began to stop
		closed  bool
	}

	// conn is a connection of a client. Its deadline for reading is that of the
	// HTTP server, or an earlier one once the server stops.
	conn struct {
		*net.TCPConn
		listener *listener

		mu       rank.Mutex
		phase    phase
		deadline time.Time // set by the HTTP server
		last     time.Time // when bytes were last received or the last request ended
		stopped  time.Time // when the server began to stop
	}
)

func newListener(inner *net.TCPListener, maxConns int) *listener {
	return &listener{
		TCPListener: inner,
		slots:       make(chan struct{}, maxConns),
		gone:        make(chan struct{}),
		quietTime:   quietTime,
		mu:          rank.New(rank.Connection),
		conns:       map[*conn]bool{},
	}
}

// Accept waits until the number of open connections is below the limit and then
// accepts one. At a stop it first accepts the connections that the kernel has
// completed, whose requests may have been sent already, and then fails.
func (l *listener) Accept() (net.Conn, error) {
	l.slots <- struct{}{}
	inner, err := l.AcceptTCP()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		inner, err = l.acceptCompleted()
	}
	if err != nil {
		<-l.slots
		return nil, err
	}
	c := &conn{TCPConn: inner, listener: l, mu: rank.New(rank.Connection), last: time.Now()}
	l.mu.Lock()
	l.conns[c] = true
	c.stopped = l.stopped
	l.mu.Unlock()
	return c, nil
}

// acceptCompleted accepts a connection that the kernel has completed. It returns
// net.ErrClosed if there is none. Unlike AcceptTCP, it looks for one whatever the
// deadline is.
func (l *listener) acceptCompleted() (*net.TCPConn, error) {
	raw, err := l.SyscallConn()
	if err != nil {
		return nil, err
	}
	fd, acceptErr := -1, error(syscall.EINTR)
	for acceptErr == syscall.EINTR || acceptErr == syscall.ECONNABORTED {
		err = raw.Control(func(listening uintptr) {
			fd, _, acceptErr = syscall.Accept4(int(listening), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
		})
		if err != nil {
			return nil, err
		}
	}
	switch acceptErr {
	case nil:
	case syscall.EAGAIN:
		return nil, net.ErrClosed
	default:
		return nil, acceptErr
	}
	file := os.NewFile(uintptr(fd), "connection")
	defer file.Close()
	inner, err := net.FileConn(file)
	if err != nil {
		return nil, err
	}
	return inner.(*net.TCPConn), nil
}

// Close stops listening.
func (l *listener) Close() error {
	err := l.TCPListener.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	l.checkGone()
	return err
}

// stop ends listening and closes each connection as soon as no request is read or
// answered on it and it has been silent for quietTime.
func (l *listener) stop() {
	now := time.Now()
	l.mu.Lock()
	l.stopped = now
	l.checkGone()
	conns := make([]*conn, 0, len(l.conns))
	for c := range l.conns {
		conns = append(conns, c)
	}
	l.mu.Unlock()
	for _, c := range conns {
		c.stop(now)
	}
	l.dropNewConnections()
	_ = l.SetDeadline(now) // fails only if the listener is closed
}

// dropNewConnections makes the kernel ignore requests for new connections, which
// clients repeat after a second. Otherwise it could complete one between the last
// Accept and Close, and reset it with the request that it has received. Where the
// kernel has no such filter, that remains possible.
func (l *listener) dropNewConnections() {
	raw, err := l.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: uint16(len(dropSYN)), Filter: &dropSYN[0]})
	})
}

// forget removes a closed connection and reports whether it was open until now.
func (l *listener) forget(c *conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.conns[c] {
		return false
	}
	delete(l.conns, c)
	l.checkGone()
	return true
}

func (l *listener) openCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// checkGone closes gone if nothing is left. l.mu must be locked.
func (l *listener) checkGone() {
	if l.stopped.IsZero() || !l.closed || len(l.conns) > 0 {
		return
	}
	select {
	case <-l.gone:
	default:
		close(l.gone)
	}
}

// Read implements net.Conn. When a deadline has passed while the connection waits
// for a request, it reads one that has arrived by now. If there is none, it closes
// the connection.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.startClosing() {
		n, err = c.readReceived(p)
		if err == syscall.EAGAIN {
			c.end()
			return 0, io.EOF
		}
	}
	if n > 0 {
		c.received()
	}
	return n, err
}

// startClosing reports whether the connection waits for a request, and then removes
// its deadline, with which reading would fail.
func (c *conn) startClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != waiting {
		return false
	}
	c.phase = closing
	return c.TCPConn.SetReadDeadline(time.Time{}) == nil
}

// readReceived reads bytes that the kernel has received. It returns syscall.EAGAIN
// if there are none.
func (c *conn) readReceived(p []byte) (int, error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, err
	}
	n, readErr := 0, error(syscall.EINTR)
	for readErr == syscall.EINTR {
		err = raw.Read(func(fd uintptr) bool {
			n, readErr = syscall.Read(int(fd), p)
			return true
		})
		if err != nil {
			return 0, err
		}
	}
	switch {
	case readErr != nil:
		return 0, readErr
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}

// end closes the connection for writing and waits briefly for the client to close
// it. Closing it with unread bytes would reset it, and the client could lose the
// last response.
func (c *conn) end() {
	if c.CloseWrite() != nil {
		return // closed already
	}
	_ = c.TCPConn.SetReadDeadline(time.Now().Add(lingerTime)) // fails only if the connection is closed
	n, _ := io.Copy(io.Discard, c.TCPConn)                    // fails only if the client doesn't close the connection
	if n > 0 {
		c.listener.crossed.Add(1)
	}
}

// Close implements net.Conn.
func (c *conn) Close() error {
	err := c.TCPConn.Close()
	if c.listener.forget(c) {
		<-c.listener.slots
	}
	return err
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	return c.applyDeadline()
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// received notes that bytes have arrived.
func (c *conn) received() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = time.Now()
	if c.phase != active {
		c.phase = receiving
		_ = c.applyDeadline() // fails only if the connection is closed
	}
}

// setPhase notes that a request has been received or answered.
func (c *conn) setPhase(p phase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase = p
	c.last = time.Now()
	_ = c.applyDeadline() // fails only if the connection is closed
}

// stop closes the connection once it is quiet.
func (c *conn) stop(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopped = now
	_ = c.applyDeadline() // fails only if the connection is closed
}

// applyDeadline sets the deadline for reading. c.mu must be locked.
func (c *conn) applyDeadline() error {
	if c.phase == closing {
		return nil
	}
	t := c.deadline
	if !c.stopped.IsZero() && c.phase != active {
		limit := c.last.Add(c.listener.quietTime)
		if c.phase == receiving {
			limit = latest(c.last, c.stopped).Add(headTime)
		}
		if t.IsZero() || limit.Before(t) {
			t = limit
		}
	}
	return c.TCPConn.SetReadDeadline(t)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
