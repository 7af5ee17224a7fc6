package gate

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"endivedeck.example/internal/callers/allowance"
	"endivedeck.example/rank"
)

const (
	quietTime  = 200 * time.Millisecond // for which a connection must be silent before a stopping server closes it
	headSlack  = 2 * time.Second        // over the limit of a head, for links that lose packets
	headTime   = time.Second            // longest pause in the head of a request at a stopping server
	lingerTime = 200 * time.Millisecond // for a client to close its side of a connection

	slotShare      = 64                    // at the limit of connections, one of so many gives way at a time
	slotRetry      = 50 * time.Millisecond // after which more connections may give way
	writePartBytes = 64 << 10              // after which progress of a write is noted
)

var (
	longAgo = time.Unix(1, 0) // a deadline that has passed

	// errNoMemory is an error of net.Conn, after which the HTTP server answers nothing.
	errNoMemory = &net.OpError{Op: "read", Net: "tcp", Err: errors.New("no room for what the caller sends")}
)

// headRefusal is the answer to a request that was refused within its head.
const headRefusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: " + refusedRetryAfter + "\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

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

	// connKey is the key of the connection in the context of a request.
	connKey struct{}

	// listener limits and tracks the open connections.
	listener struct {
		*net.TCPListener
		slots chan struct{} // holds an element for each open connection and for a pending Accept
		gone  chan struct{} // closed once a stopping listener and all of its connections are closed

		budget       *allowance.Budget
		maxHeadBytes atomic.Int64 // of a request; 0 for no limit beside that of net/http
		headTime     atomic.Int64 // longest time from the first byte of a head to its end, in ns; 0 for none beside that of net/http
		idleTime     atomic.Int64 // longest time from a response to the next request, in ns; 0 for that of net/http

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
		account  *allowance.Account

		mu       rank.Mutex
		phase    phase
		held     int64     // bytes charged to account
		head     int64     // of held: for the head of a request that is being read
		begun    time.Time // when the first byte of that head was received
		served   bool      // a request has been answered
		writing  bool
		leaving  bool      // the connection must give way to others
		deadline time.Time // set by the HTTP server
		last     time.Time // when bytes were last received or the last request ended
		stopped  time.Time // when the server began to stop
	}
)

func newListener(inner *net.TCPListener, maxConns int, budget *allowance.Budget) *listener {
	return &listener{
		budget:      budget,
		TCPListener: inner,
		slots:       make(chan struct{}, maxConns),
		gone:        make(chan struct{}),
		quietTime:   quietTime,
		mu:          rank.New(rank.Connection),
		conns:       map[*conn]bool{},
	}
}

// Accept waits until the number of open connections is below the limit and then
// accepts one. At the limit, connections that wait for their callers give way. At a stop
// it first accepts the connections that the kernel has completed, whose requests may have
// been sent already, and then fails.
func (l *listener) Accept() (net.Conn, error) {
	l.takeSlot()
	inner, err := l.AcceptTCP()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		inner, err = l.acceptCompleted()
	}
	if err != nil {
		<-l.slots
		return nil, err
	}
	now := time.Now()
	c := &conn{TCPConn: inner, listener: l, mu: rank.New(rank.Connection), last: now}
	c.account = l.budget.Open(remoteIP(inner), c)
	c.account.Await(now)
	l.mu.Lock()
	l.conns[c] = true
	c.stopped = l.stopped
	l.mu.Unlock()
	return c, nil
}

// takeSlot waits until there is a slot for another connection.
func (l *listener) takeSlot() {
	for {
		select {
		case l.slots <- struct{}{}:
			return
		default:
		}
		for _, holder := range l.budget.Slowest(time.Now(), l.accounts(), cap(l.slots)/slotShare+1) {
			holder.GiveWay()
		}
		wait := time.NewTimer(slotRetry)
		select {
		case l.slots <- struct{}{}:
			wait.Stop()
			return
		case <-wait.C:
		}
	}
}

func (l *listener) accounts() []*allowance.Account {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := make([]*allowance.Account, 0, len(l.conns))
	for c := range l.conns {
		list = append(list, c.account)
	}
	return list
}

func remoteIP(c *net.TCPConn) string {
	address, _ := c.RemoteAddr().(*net.TCPAddr)
	if address == nil {
		return ""
	}
	return address.IP.String()
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
//
// The memory that the connection holds, and what a head will take, is charged before
// the HTTP server gets its bytes.
func (c *conn) Read(p []byte) (int, error) {
	if !c.chargeConnection() {
		return 0, errNoMemory
	}
	n, err := c.TCPConn.Read(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.startClosing() {
		n, err = c.readReceived(p)
		if err == syscall.EAGAIN {
			c.end()
			return 0, io.EOF
		}
		c.stay()
	}
	if n > 0 && !c.received(p[:n]) || n == 0 && err != nil && c.isLeavingHead() {
		c.refuseHead()
		return 0, errNoMemory
	}
	return n, err
}

// refuseHead answers a request whose head isn't complete, and so hasn't run. The HTTP
// server can't: it takes what has come for the whole of a malformed head.
func (c *conn) refuseHead() {
	_ = c.TCPConn.SetWriteDeadline(time.Now().Add(lingerTime)) // fails only if the connection is closed
	_, _ = io.WriteString(c.TCPConn, headRefusal)              // the caller may have closed the connection
	_ = c.CloseWrite()
}

// Write implements net.Conn. It notes how the caller takes what is written.
func (c *conn) Write(p []byte) (int, error) {
	c.setWriting(true)
	c.account.Await(time.Now())
	written := 0
	for {
		part := p[written:min(len(p), written+writePartBytes)]
		n, err := c.TCPConn.Write(part)
		written += n
		c.account.Moved(time.Now(), n)
		if err != nil || written == len(p) {
			c.account.Rest(time.Now())
			c.setWriting(false)
			return written, err
		}
	}
}

// GiveWay implements allowance.Holder. Reading from the connection fails from now on, and
// so does writing if the caller isn't taking what is being written.
func (c *conn) GiveWay() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaving = true
	_ = c.applyDeadline() // fails only if the connection is closed
	if c.writing {
		_ = c.TCPConn.SetWriteDeadline(longAgo) // fails only if the connection is closed
	}
}

// stay takes GiveWay back: a request has arrived after all.
func (c *conn) stay() {
	c.account.Stay()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaving = false
}

func (c *conn) setWriting(writing bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = writing
}

// gaveWay reports whether the connection of a request must give way to others.
func gaveWay(ctx context.Context) bool {
	c, _ := ctx.Value(connKey{}).(*conn)
	if c == nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leaving
}

// hold charges n more bytes to the connection until the request has been answered.
func (c *conn) hold(n int64) bool {
	if !c.account.Acquire(n) {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.held += n
	return true
}

// chargeConnection charges the connection itself, once.
func (c *conn) chargeConnection() bool {
	c.mu.Lock()
	charged := c.held > 0
	c.mu.Unlock()
	return charged || c.hold(allowance.ConnectionBytes)
}

// chargeHead charges the head of a request, in place of what was charged while it was
// read.
func (c *conn) chargeHead(r *http.Request) bool {
	lines := int64(len(r.Header))
	for _, values := range r.Header {
		lines += int64(len(values))
	}
	cost := allowance.LineBytes*lines + allowance.TextFactor*headBytes(r)
	c.mu.Lock()
	more := cost - c.head
	c.head = 0
	if more <= 0 {
		c.held += more
	}
	c.mu.Unlock()
	if more <= 0 {
		c.account.Shrink(-more)
		return true
	}
	return c.hold(more)
}

// headBytes returns about the size of the head of a request.
func headBytes(r *http.Request) int64 {
	size := len(r.Method) + len(r.RequestURI) + len(r.Proto) + len(r.Host) + 12
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + 4
		}
	}
	return int64(size)
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
	if c.CloseWrite() != nil || c.isLeaving() {
		return // closed already, or nobody waits for it
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
	c.account.Close()
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

// received notes that bytes have arrived, and charges them if they belong to the head of
// a request. It reports whether there is room for them.
func (c *conn) received(p []byte) bool {
	now := time.Now()
	c.account.Moved(now, len(p))
	c.mu.Lock()
	c.last = now
	if c.phase == active {
		c.mu.Unlock()
		return true
	}
	if c.phase != receiving {
		c.begun = now
		c.account.Restart(now)
	}
	c.phase = receiving
	cost := int64(allowance.LineBytes*bytes.Count(p, []byte("\n")) + allowance.TextFactor*len(p))
	c.head += cost
	_ = c.applyDeadline() // fails only if the connection is closed
	c.mu.Unlock()
	return c.hold(cost)
}

// setPhase notes that a request has been received or answered.
func (c *conn) setPhase(p phase) {
	now := time.Now()
	c.mu.Lock()
	c.phase = p
	c.last = now
	extra := int64(0)
	if p == waiting {
		c.served = true
		extra = c.held - allowance.ConnectionBytes
		c.held -= extra
		c.head = 0
	}
	_ = c.applyDeadline() // fails only if the connection is closed
	c.mu.Unlock()
	if p == waiting {
		c.account.Shrink(extra)
		c.account.Restart(now)
		return
	}
	c.account.Rest(now)
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
	switch {
	case c.leaving:
		return c.TCPConn.SetReadDeadline(longAgo)
	case c.phase == waiting && c.served && c.listener.idleTime.Load() > 0:
		t = c.last.Add(time.Duration(c.listener.idleTime.Load()))
	case c.phase == receiving && c.listener.headTime.Load() > 0:
		t = earlier(t, c.begun.Add(time.Duration(c.listener.headTime.Load())+headSlack))
	}
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

// earlier returns the earlier of a deadline, which is none if zero, and a time.
func earlier(deadline, t time.Time) time.Time {
	if deadline.IsZero() || t.Before(deadline) {
		return t
	}
	return deadline
}

// isLeavingHead reports whether the connection must give way within the head of a request.
func (c *conn) isLeavingHead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leaving && c.phase == receiving
}

func (c *conn) isLeaving() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leaving
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
