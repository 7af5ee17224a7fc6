// Package upstream is an HTTP/1.1 client with a connection pool for backend
// servers.
//
// Unlike net/http, it never retries a request, and an error tells whether any
// byte of the request may have been sent: fault.NotRun means that the request
// was certainly not executed. A faulty backend server may leave a response to
// an earlier request on a connection; such responses are discarded.
package upstream

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"endivedeck.example/fault"
	"endivedeck.example/rank"
)

const (
	sockoptTCPUserTimeout = 18 // TCP_USER_TIMEOUT in linux/tcp.h

	// keepAliveMargin is how long before the server's Keep-Alive timeout an idle
	// connection is closed, so that no request is sent while the server closes it.
	keepAliveMargin = 400 * time.Millisecond
)

type (
	// Options holds the timeouts of a pool.
	Options struct {
		DialTimeout time.Duration // limit for opening a connection
		UserTimeout time.Duration // TCP user timeout: time without an acknowledgement after which a connection is closed; keep-alive probes are sent at half of it
		IdleTimeout time.Duration // how long an idle connection is kept; a Keep-Alive header may shorten it
	}

	// Pool is a pool of connections to backend servers. Create it with New.
	Pool struct {
		options   Options
		dialer    net.Dialer
		dialCount atomic.Int64

		mu   rank.Mutex
		idle map[string][]*conn // by address, most recently used last
		open map[string]int     // connections by address: idle, in use or being opened
	}
)

// New returns an empty pool.
func New(options Options) *Pool {
	p := &Pool{
		options: options,
		mu:      rank.New(rank.Connection),
		idle:    map[string][]*conn{},
		open:    map[string]int{},
	}
	p.dialer = net.Dialer{
		Timeout: options.DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     options.UserTimeout / 2,
			Interval: options.UserTimeout / 2,
			Count:    2,
		},
		Control: UserTimeoutControl(options.UserTimeout),
	}
	return p
}

// DialCount returns the number of attempts to open a connection.
func (p *Pool) DialCount() int64 { return p.dialCount.Load() }

// UserTimeoutControl returns a net.Dialer.Control that sets TCP_USER_TIMEOUT, so that the
// kernel closes a connection whose peer does not acknowledge data.
func UserTimeoutControl(timeout time.Duration) func(network, address string, rawConn syscall.RawConn) error {
	return func(_, _ string, rawConn syscall.RawConn) error {
		var optErr error
		err := rawConn.Control(func(fd uintptr) {
			optErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, sockoptTCPUserTimeout, int(timeout.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return optErr
	}
}

// acquire returns an idle connection that is still usable, or opens one. At most
// limit connections to an address are open at once; 0 means no limit.
// Every error has fault.NotRun, since nothing has been sent.
func (p *Pool) acquire(ctx context.Context, address string, limit int) (*conn, error) {
	for {
		c, atLimit := p.popIdle(address, limit)
		if atLimit {
			return nil, fault.New(fault.Overloaded, fault.NotRun, "connection limit reached: all %d connections to %s are in use", limit, address)
		}
		if c == nil {
			break
		}
		if c.usable(time.Now()) {
			return c, nil
		}
		c.close()
	}
	p.dialCount.Add(1)
	netConn, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		p.releaseSlot(address)
		return nil, fault.New(fault.Unavailable, fault.NotRun, "cannot connect to %s: %v", address, err)
	}
	return newConn(p, address, netConn), nil
}

// popIdle returns the most recently used idle connection. If there is none it
// returns nil and counts a new connection as open, which the caller must open;
// atLimit reports that the limit does not allow one.
func (p *Pool) popIdle(address string, limit int) (c *conn, atLimit bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if idle := p.idle[address]; len(idle) > 0 {
		c := idle[len(idle)-1]
		p.idle[address] = idle[:len(idle)-1]
		return c, false
	}
	if limit > 0 && p.open[address] >= limit {
		return nil, true
	}
	p.open[address]++
	return nil, false
}

func (p *Pool) putIdle(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[c.address] = append(p.idle[c.address], c)
}

// releaseSlot decrements the number of open connections to address.
func (p *Pool) releaseSlot(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open[address]--
	if p.open[address] <= 0 {
		delete(p.open, address)
	}
}

// CloseExpired closes idle connections whose idle timeout has passed.
func (p *Pool) CloseExpired(now time.Time) {
	var expired []*conn
	p.mu.Lock()
	for address, idle := range p.idle {
		kept := idle[:0]
		for _, c := range idle {
			if now.After(c.expires) {
				expired = append(expired, c)
			} else {
				kept = append(kept, c)
			}
		}
		if len(kept) == 0 {
			delete(p.idle, address)
		} else {
			p.idle[address] = kept
		}
	}
	p.mu.Unlock()
	for _, c := range expired {
		c.close()
	}
}

// Close closes every idle connection.
func (p *Pool) Close() { p.CloseExpired(time.Now().Add(24 * time.Hour)) }
