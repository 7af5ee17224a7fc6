// Package upstream speaks HTTP/1.1 to backend servers.
//
// It keeps connections and knows of each request whether a byte of it may have
// left, which is what a true "not run" rests on; nothing is ever sent twice by
// this package. An answer that belongs to another request, as a faulty backend
// server may leave behind on a connection, is dropped.
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
	tcpUserTimeout = 18 // TCP_USER_TIMEOUT of linux/tcp.h

	// keepSpare is how much sooner than the server said an idle connection
	// is given up, so that no request crosses its closing.
	keepSpare = 400 * time.Millisecond
)

type (
	// Options bounds what a pool waits for.
	Options struct {
		DialTimeout time.Duration // to open a connection
		UserTimeout time.Duration // of a peer that acknowledges nothing, after which a connection is lost
		IdleTimeout time.Duration // for which an idle connection is kept where the server says nothing
	}

	// Pool keeps connections to backend servers. Create it with New.
	Pool struct {
		options Options
		dialer  net.Dialer
		dials   atomic.Int64

		mu   rank.Mutex
		idle map[string][]*conn
		open map[string]int
	}
)

// New returns a pool without connections.
func New(options Options) *Pool {
	p := &Pool{
		options: options,
		mu:      rank.New(rank.Line),
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
		Control: p.control,
	}
	return p
}

// DialCount returns how many connections have been opened.
func (p *Pool) DialCount() int64 { return p.dials.Load() }

// control has the kernel give up a connection whose peer acknowledges nothing.
func (p *Pool) control(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(p.options.UserTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// take returns an idle connection that is still good, or opens one. At most
// limit connections to an address are open at once; 0 stands for no limit.
// Every error has Ran No.
func (p *Pool) take(ctx context.Context, address string, limit int) (*conn, error) {
	for {
		c, full := p.pop(address, limit)
		if full {
			return nil, fault.New(fault.Overloaded, fault.No, "all %d connections to %s are in use", limit, address)
		}
		if c == nil {
			break
		}
		if c.good(time.Now()) {
			return c, nil
		}
		c.close()
	}
	p.dials.Add(1)
	raw, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		p.release(address)
		return nil, fault.New(fault.Unavailable, fault.No, "no connection to %s: %v", address, err)
	}
	return newConn(p, address, raw), nil
}

// pop returns the idle connection that was used last; without one it counts a
// connection that the caller is to open.
func (p *Pool) pop(address string, limit int) (c *conn, full bool) {
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

func (p *Pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[c.address] = append(p.idle[c.address], c)
}

// release counts a connection as closed.
func (p *Pool) release(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open[address]--
	if p.open[address] <= 0 {
		delete(p.open, address)
	}
}

// CloseExpired closes idle connections whose time is over.
func (p *Pool) CloseExpired(now time.Time) {
	var over []*conn
	p.mu.Lock()
	for address, idle := range p.idle {
		kept := idle[:0]
		for _, c := range idle {
			if now.After(c.until) {
				over = append(over, c)
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
	for _, c := range over {
		c.close()
	}
}

// Close closes every idle connection.
func (p *Pool) Close() { p.CloseExpired(time.Now().Add(24 * time.Hour)) }
