package upstream

import (
	"bufio"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"endivedeck.example/internal/responses/connection"
)

const (
	readBufferBytes  = 8 << 10
	writeBufferBytes = 4 << 10
)

// conn is one HTTP/1.1 connection. It carries one request at a time.
type conn struct {
	pool      *Pool
	address   string
	netConn   net.Conn
	checked   *connection.Conn // uses netConn
	reader    *bufio.Reader    // reads from checked
	writer    *bufio.Writer
	reused    bool      // the connection has carried an earlier request
	expires   time.Time // end of the idle timeout; set when the connection becomes idle
	closeOnce sync.Once
}

func newConn(p *Pool, address string, netConn net.Conn) *conn {
	checked := connection.New(netConn)
	return &conn{
		pool:    p,
		address: address,
		netConn: netConn,
		checked: checked,
		reader:  bufio.NewReaderSize(checked, readBufferBytes),
		writer:  bufio.NewWriterSize(checked, writeBufferBytes),
	}
}

// usable reports whether an idle connection can carry another request: its idle
// timeout has not passed, the server has not closed it, and no unsolicited data
// has arrived on it.
func (c *conn) usable(now time.Time) bool {
	if now.After(c.expires) || c.reader.Buffered() > 0 {
		return false
	}
	syscallConn, ok := c.netConn.(syscall.Conn)
	if !ok {
		return true
	}
	rawConn, err := syscallConn.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	err = rawConn.Read(func(fd uintptr) bool {
		var buf [1]byte
		_, _, err := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		idle = err == syscall.EAGAIN
		return true
	})
	return err == nil && idle
}

// returnToPool adds the connection to the idle ones. It stays there for the
// shorter of Options.IdleTimeout and the Keep-Alive timeout in the response
// header less keepAliveMargin, and is closed at once if that leaves no time.
func (c *conn) returnToPool(now time.Time, header http.Header) {
	timeout := c.pool.options.IdleTimeout
	if serverTimeout, ok := keepAliveTimeout(header); ok {
		timeout = min(timeout, serverTimeout-keepAliveMargin)
	}
	if timeout <= 0 {
		c.close()
		return
	}
	c.expires = now.Add(timeout)
	c.reused = true
	c.pool.putIdle(c)
}

func (c *conn) close() { c.closeOnce.Do(c.closeAndRelease) }

func (c *conn) closeAndRelease() {
	_ = c.netConn.Close()
	c.pool.releaseSlot(c.address)
}

// keepAliveTimeout returns the timeout parameter of the Keep-Alive header, and
// whether there is a valid one.
func keepAliveTimeout(header http.Header) (time.Duration, bool) {
	for field := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		text, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if !ok {
			continue
		}
		seconds, err := strconv.ParseUint(text, 10, 31)
		if err == nil {
			return time.Duration(seconds) * time.Second, true
		}
	}
	return 0, false
}
