package main

import (
	"io"
	"net"
	"sync"
)

const datagramBytes = 64 << 10

type (
	// udpRelay passes datagrams on, and can forget the flows that it has:
	// what is sent over them goes nowhere from then on, while new flows work.
	udpRelay struct {
		listener net.PacketConn
		target   string
		mu       sync.Mutex
		flows    map[string]*udpFlow
		count    int
		bytes    int // that have passed, both ways
	}

	udpFlow struct {
		relay     *udpRelay
		client    net.Addr
		conn      net.Conn
		forgotten bool
	}

	// tcpRelay is the same for connections.
	tcpRelay struct {
		listener net.Listener
		target   string
		mu       sync.Mutex
		flows    []*tcpFlow
	}

	tcpFlow struct {
		relay     *tcpRelay
		near, far net.Conn
		forgotten bool
	}

	// tcpHalf copies one direction of a tcpFlow.
	tcpHalf struct {
		flow     *tcpFlow
		from, to net.Conn
	}
)

// relayUDP returns the address to dial for target, through a relay where the
// site has them.
func (s *site) relayUDP(target string) string {
	if !s.relayed {
		return ""
	}
	listener, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		s.t.Fatal(err)
	}
	r := &udpRelay{listener: listener, target: target, flows: map[string]*udpFlow{}}
	s.udp = append(s.udp, r)
	s.t.Cleanup(func() { _ = listener.Close() })
	go r.run()
	return listener.LocalAddr().String()
}

func (s *site) relayTCP(target string) string {
	if !s.relayed {
		return target
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		s.t.Fatal(err)
	}
	r := &tcpRelay{listener: listener, target: target}
	s.tcp = append(s.tcp, r)
	s.t.Cleanup(func() { _ = listener.Close() })
	go r.run()
	return listener.Addr().String()
}

func (r *udpRelay) run() {
	buf := make([]byte, datagramBytes)
	for {
		n, client, err := r.listener.ReadFrom(buf)
		if err != nil {
			return
		}
		r.mu.Lock()
		r.bytes += n
		r.mu.Unlock()
		if flow := r.flow(client); flow != nil {
			_, _ = flow.conn.Write(buf[:n])
		}
	}
}

// flow returns the way on for a client, or nil for a forgotten one.
func (r *udpRelay) flow(client net.Addr) *udpFlow {
	r.mu.Lock()
	defer r.mu.Unlock()
	f := r.flows[client.String()]
	if f == nil {
		conn, err := net.Dial("udp", r.target)
		if err != nil {
			return nil
		}
		f = &udpFlow{relay: r, client: client, conn: conn}
		r.flows[client.String()] = f
		go f.run()
	}
	if f.forgotten {
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
		f.relay.mu.Lock()
		forgotten := f.forgotten
		f.relay.bytes += n
		f.relay.mu.Unlock()
		if !forgotten {
			_, _ = f.relay.listener.WriteTo(buf[:n], f.client)
		}
	}
}

// passed returns how many bytes have passed.
func (r *udpRelay) passed() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.bytes
}

// forget loses track of all flows that there are, and returns their number.
func (r *udpRelay) forget() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, f := range r.flows {
		if !f.forgotten {
			f.forgotten = true
			r.count++
		}
	}
	return r.count
}

func (r *tcpRelay) run() {
	for {
		near, err := r.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", r.target)
		if err != nil {
			_ = near.Close()
			continue
		}
		f := &tcpFlow{relay: r, near: near, far: far}
		r.mu.Lock()
		r.flows = append(r.flows, f)
		r.mu.Unlock()
		go (&tcpHalf{f, near, far}).run()
		go (&tcpHalf{f, far, near}).run()
	}
}

// run swallows what comes once the flow is forgotten; nobody is told.
func (h *tcpHalf) run() {
	buf := make([]byte, datagramBytes)
	for {
		n, err := h.from.Read(buf)
		h.flow.relay.mu.Lock()
		forgotten := h.flow.forgotten
		h.flow.relay.mu.Unlock()
		if forgotten {
			_, _ = io.Copy(io.Discard, h.from)
			return
		}
		if _, writeErr := h.to.Write(buf[:n]); err != nil || writeErr != nil {
			_ = h.from.Close()
			_ = h.to.Close()
			return
		}
	}
}

func (r *tcpRelay) forget() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, f := range r.flows {
		f.forgotten = true
	}
}
