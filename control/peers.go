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

const sendQueueSize = 1024

var _ quorum.Sender = (*peerSender)(nil)

type (
	// peerSender sends quorum messages over one stream to each other replica.
	peerSender struct {
		client *wire.Client
		log    *logrus.Entry
		ctx    context.Context
		self   quorum.Member

		mu        rank.Mutex
		links     map[string]*peerLink // by address
		addresses map[string]string    // by ID, of replicas that have opened a stream to this one
		inbound   map[*wire.ServerCall]bool
		stopped   bool
		running   sync.WaitGroup
	}

	// peerLink is the stream to the replica at one address. It is opened when
	// there is something to send.
	peerLink struct {
		sender  *peerSender
		address string
		queue   chan quorum.Message
	}
)

func newPeerSender(client *wire.Client, log *logrus.Entry) *peerSender {
	return &peerSender{
		client:    client,
		log:       log,
		mu:        rank.New(rank.Lease),
		links:     map[string]*peerLink{},
		addresses: map[string]string{},
		inbound:   map[*wire.ServerCall]bool{},
	}
}

func (p *peerSender) start(ctx context.Context, self quorum.Member) {
	p.ctx = ctx
	p.self = self
}

// stop closes the inbound streams and waits until the outbound ones have ended,
// for which the context given to start must be done.
func (p *peerSender) stop() {
	p.mu.Lock()
	p.stopped = true
	for call := range p.inbound {
		call.Cancel()
	}
	p.mu.Unlock()
	p.running.Wait()
}

// addInbound records an inbound stream, and returns false if stop was called.
func (p *peerSender) addInbound(call *wire.ServerCall, from quorum.Member) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped {
		return false
	}
	p.inbound[call] = true
	// A replica that isn't in the list of members yet must be reachable for
	// responses.
	p.addresses[from.ID] = from.Address
	return true
}

func (p *peerSender) removeInbound(call *wire.ServerCall) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.inbound, call)
}

// Send implements quorum.Sender.
func (p *peerSender) Send(to quorum.Member, m quorum.Message) {
	link := p.link(to)
	if link == nil {
		return
	}
	select {
	case link.queue <- m:
	default: // the queue is full; the quorum protocol tolerates lost messages
	}
}

func (p *peerSender) link(to quorum.Member) *peerLink {
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
		link = &peerLink{sender: p, address: address, queue: make(chan quorum.Message, sendQueueSize)}
		p.links[address] = link
		p.running.Add(1)
		go link.run(p.ctx)
	}
	return link
}

// run sends queued messages, and reopens the stream after a failure.
func (l *peerLink) run(ctx context.Context) {
	defer l.sender.running.Done()
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

// send sends m and returns the stream for the next message, or nil if it must
// be opened again.
func (l *peerLink) send(ctx context.Context, call *wire.Call, m quorum.Message) *wire.Call {
	if call == nil {
		hello := message.QuorumHello{From: l.sender.self}
		opened, err := l.sender.client.OpenCall(ctx, l.address, message.MethodQuorum, hello)
		if err != nil {
			l.sender.log.WithField("peer", l.address).WithField("error", err.Error()).Debug("can't open a stream to a replica")
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

// handleQuorum serves message.MethodQuorum: it passes messages from another
// replica to this one until the stream ends.
func (c *Control) handleQuorum(call *wire.ServerCall) {
	defer call.End()
	var hello message.QuorumHello
	if err := call.Decode(&hello); err != nil {
		return
	}
	if !c.peers.addInbound(call, hello.From) {
		return
	}
	defer c.peers.removeInbound(call)
	for {
		var m quorum.Message
		if err := call.Receive(&m); err != nil {
			return
		}
		if replica := c.activeReplica(); replica != nil {
			replica.Deliver(m)
		}
	}
}
