package main

import (
	"io"
	"net"
	"sync"
)

const datagramBytes = 64 << 10

type (
	// udpProxy forwards datagrams to target. dropFlows makes it discard all further
	// datagrams of the existing flows, as a NAT that has lost its state does; new
	// flows work.
	udpProxy struct {
		listener net.PacketConn
		target   string
		mu       sync.Mutex
		flows    map[string]*udpFlow
		dropped  int
		bytes    int // forwarded in both directions
	}

	udpFlow struct {
		proxy   *udpProxy
		client  net.Addr
		conn    net.Conn
		dropped bool
	}

	// tcpProxy does the same for TCP connections.
	tcpProxy struct {
		listener net.Listener
		target   string
		mu       sync.Mutex
		flows    []*tcpFlow
	}

	tcpFlow struct {
		proxy          *tcpProxy
		client, server net.Conn
		dropped        bool
	}

	// tcpCopier copies one direction of a tcpFlow.
	tcpCopier struct {
		flow     *tcpFlow
		from, to net.Conn
	}
)

// proxyUDP starts a proxy for target and returns its address, or "" if the system
// uses no proxies.
func (s *system) proxyUDP(target string) string {
	if !s.proxied {
		return ""
	}
	listener, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		s.t.Fatal(err)
	}
	p := &udpProxy{listener: listener, target: target, flows: map[string]*udpFlow{}}
	s.udpProxies = append(s.udpProxies, p)
	s.t.Cleanup(func() { _ = listener.Close() })
	go p.run()
	return listener.LocalAddr().String()
}

// proxyTCP starts a proxy for target and returns its address, or target if the
// system uses no proxies.
func (s *system) proxyTCP(target string) string {
	if !s.proxied {
		return target
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		s.t.Fatal(err)
	}
	p := &tcpProxy{listener: listener, target: target}
	s.tcpProxies = append(s.tcpProxies, p)
	s.t.Cleanup(func() { _ = listener.Close() })
	go p.run()
	return listener.Addr().String()
}

func (p *udpProxy) run() {
	buf := make([]byte, datagramBytes)
	for {
		n, client, err := p.listener.ReadFrom(buf)
		if err != nil {
			return
		}
		p.mu.Lock()
		p.bytes += n
		p.mu.Unlock()
		if f := p.flow(client); f != nil {
			_, _ = f.conn.Write(buf[:n])
		}
	}
}

// flow returns the flow of a client, which it opens if there is none. It returns
// nil if the flow was dropped or can't be opened.
func (p *udpProxy) flow(client net.Addr) *udpFlow {
	p.mu.Lock()
	defer p.mu.Unlock()
	f := p.flows[client.String()]
	if f == nil {
		conn, err := net.Dial("udp", p.target)
		if err != nil {
			return nil
		}
		f = &udpFlow{proxy: p, client: client, conn: conn}
		p.flows[client.String()] = f
		go f.run()
	}
	if f.dropped {
		return nil
	}
	return f
}

func (f *udpFlow) run() {
	buf := make([]byte, datagramBytes)
	for {
		n, err := f.conn.Read(buf)
		if err != nil {
			return
		}
		f.proxy.mu.Lock()
		dropped := f.dropped
		f.proxy.bytes += n
		f.proxy.mu.Unlock()
		if !dropped {
			_, _ = f.proxy.listener.WriteTo(buf[:n], f.client)
		}
	}
}

// forwarded returns the number of bytes forwarded in both directions.
func (p *udpProxy) forwarded() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.bytes
}

// dropFlows drops the existing flows and returns the number of all flows dropped
// so far.
func (p *udpProxy) dropFlows() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, f := range p.flows {
		if !f.dropped {
			f.dropped = true
			p.dropped++
		}
	}
	return p.dropped
}

func (p *tcpProxy) run() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = client.Close()
			continue
		}
		f := &tcpFlow{proxy: p, client: client, server: server}
		p.mu.Lock()
		p.flows = append(p.flows, f)
		p.mu.Unlock()
		go (&tcpCopier{f, client, server}).run()
		go (&tcpCopier{f, server, client}).run()
	}
}

// run copies data until the connection ends. After the flow is dropped, it discards
// the data without closing the connections.
func (c *tcpCopier) run() {
	buf := make([]byte, datagramBytes)
	for {
		n, err := c.from.Read(buf)
		c.flow.proxy.mu.Lock()
		dropped := c.flow.dropped
		c.flow.proxy.mu.Unlock()
		if dropped {
			_, _ = io.Copy(io.Discard, c.from)
			return
		}
		if _, writeErr := c.to.Write(buf[:n]); err != nil || writeErr != nil {
			_ = c.from.Close()
			_ = c.to.Close()
			return
		}
	}
}

// dropFlows drops the existing flows.
func (p *tcpProxy) dropFlows() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, f := range p.flows {
		f.dropped = true
	}
}
