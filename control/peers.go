package control

import (
	"context"
	"sync"

	"github.com/sirupsen/logrus"

	"endivedeck.example/message"
	"endivedeck.example/quorum"
	"endivedeck.example/rank"
	"endivedeck.example/wire"
)

const queueSize = 1024

var _ quorum.Sender = (*peers)(nil)

type (
	// peers sends quorum messages, over one open call to each other replica.
	peers struct {
		client *wire.Client
		log    *logrus.Entry
		ctx    context.Context
		self   quorum.Member

		mu        rank.Mutex
		links     map[string]*peer  // by address
		addresses map[string]string // of replicas that have spoken to this one, by ID
		inbound   map[*wire.Exchange]bool
		stopped   bool
		running   sync.WaitGroup
	}

	// peer is the way to one address.
	peer struct {
		peers   *peers
		address string
		queue   chan quorum.Message
	}
)

func newPeers(client *wire.Client, log *logrus.Entry) *peers {
	return &peers{
		client:    client,
		log:       log,
		mu:        rank.New(rank.Lease),
		links:     map[string]*peer{},
		addresses: map[string]string{},
		inbound:   map[*wire.Exchange]bool{},
	}
}

func (p *peers) start(ctx context.Context, self quorum.Member) {
	p.ctx = ctx
	p.self = self
}

// stop ends the open calls of other replicas, and returns when no more
// messages are sent to them.
func (p *peers) stop() {
	p.mu.Lock()
	p.stopped = true
	for x := range p.inbound {
		x.Cancel()
	}
	p.mu.Unlock()
	p.running.Wait()
}

// enter notes an open call of another replica, unless this one is stopping.
func (p *peers) enter(x *wire.Exchange, from quorum.Member) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped {
		return false
	}
	p.inbound[x] = true
	// One that isn't a member yet must be answered too.
	p.addresses[from.ID] = from.Address
	return true
}

func (p *peers) leave(x *wire.Exchange) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.inbound, x)
}

// Send implements quorum.Sender.
func (p *peers) Send(to quorum.Member, m quorum.Message) {
	link := p.link(to)
	if link == nil {
		return
	}
	select {
	case link.queue <- m:
	default: // the way is blocked; the group copes with lost messages
	}
}

func (p *peers) link(to quorum.Member) *peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	address := to.Address
	if address == "" {
		address = p.addresses[to.ID]
	}
	if address == "" || p.ctx.Err() != nil {
		return nil
	}
	link := p.links[address]
	if link == nil {
		link = &peer{peers: p, address: address, queue: make(chan quorum.Message, queueSize)}
		p.links[address] = link
		p.running.Add(1)
		go link.run(p.ctx)
	}
	return link
}

// run sends what is queued, opening the call anew whenever it is lost.
func (l *peer) run(ctx context.Context) {
	defer l.peers.running.Done()
	var call *wire.Call
	for {
		select {
		case <-ctx.Done():
			if call != nil {
				call.Cancel()
			}
			return
		case m := <-l.queue:
			call = l.send(ctx, call, m)
		}
	}
}

// send returns the call to use next, which is nil when this one was lost.
func (l *peer) send(ctx context.Context, call *wire.Call, m quorum.Message) *wire.Call {
	if call == nil {
		hello := message.Hello{From: l.peers.self}
		opened, err := l.peers.client.Open(ctx, l.address, message.MethodQuorum, hello)
		if err != nil {
			l.peers.log.WithField("peer", l.address).WithField("error", err.Error()).Debug("no way to a replica")
			return nil
		}
		call = opened
	}
	if err := call.Send(m); err != nil {
		call.Cancel()
		return nil
	}
	return call
}

// deliver takes in quorum messages until the call ends.
func (c *Control) deliver(x *wire.Exchange) {
	defer x.End()
	var hello message.Hello
	if err := x.Decode(&hello); err != nil {
		return
	}
	if !c.peers.enter(x, hello.From) {
		return
	}
	defer c.peers.leave(x)
	for {
		var m quorum.Message
		if err := x.Receive(&m); err != nil {
			return
		}
		if replica := c.activeReplica(); replica != nil {
			replica.Deliver(m)
		}
	}
}
