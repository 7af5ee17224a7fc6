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
)

const (
	readBytes  = 8 << 10
	writeBytes = 4 << 10
)

// conn is one connection. It carries one request at a time.
type conn struct {
	pool    *Pool
	address string
	raw     net.Conn
	in      *bufio.Reader
	out     *bufio.Writer
	until   time.Time // when it is given up if it stays idle
	once    sync.Once
}

func newConn(p *Pool, address string, raw net.Conn) *conn {
	return &conn{
		pool:    p,
		address: address,
		raw:     raw,
		in:      bufio.NewReaderSize(raw, readBytes),
		out:     bufio.NewWriterSize(raw, writeBytes),
	}
}

// good reports whether an idle connection may carry a request: its time isn't
// over, the server hasn't closed it, and it has sent nothing unasked.
func (c *conn) good(now time.Time) bool {
	if now.After(c.until) || c.in.Buffered() > 0 {
		return false
	}
	holder, ok := c.raw.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := holder.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}

// rest makes the connection idle for as long as the answer's header allows.
func (c *conn) rest(now time.Time, header http.Header) {
	keep := c.pool.options.IdleTimeout
	if said, ok := keepAlive(header); ok {
		keep = min(keep, said-keepSpare)
	}
	if keep <= 0 {
		c.close()
		return
	}
	c.until = now.Add(keep)
	c.pool.put(c)
}

func (c *conn) close() { c.once.Do(c.end) }

func (c *conn) end() {
	_ = c.raw.Close()
	c.pool.release(c.address)
}

// keepAlive returns the time for which the server keeps the connection.
func keepAlive(header http.Header) (time.Duration, bool) {
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
