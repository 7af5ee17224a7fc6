package sidecar

import (
	"context"
	"time"

	"endivedeck.example/engine"
	"endivedeck.example/message"
	"endivedeck.example/pool"
	"endivedeck.example/rank"
	"endivedeck.example/wire"
)

const (
	// GrantDuration is how long a grant permits an entry to send new requests.
	GrantDuration = 3 * time.Second

	grantInterval     = time.Second
	maxEventsPerGrant = 4096 // cache events; the oldest are dropped
)

type (
	// grantSender sends grants to the subscribed entries. Their calls stay
	// open in a table and don't occupy a worker between grants.
	grantSender struct {
		sidecar *Sidecar
		wake    chan struct{}

		mu          rank.Mutex
		subscribers map[*subscriber]bool
		closed      bool
	}

	// subscriber is the open call of one entry. Its fields from events on are
	// guarded by grantSender.mu.
	subscriber struct {
		sender  *grantSender
		call    *wire.ServerCall
		events  []engine.CacheEvent // not sent yet
		sending bool
		due     bool // another grant is due after the one being sent
	}
)

func newGrantSender(s *Sidecar) *grantSender {
	return &grantSender{
		sidecar:     s,
		wake:        make(chan struct{}, 1),
		mu:          rank.New(rank.Order),
		subscribers: map[*subscriber]bool{},
	}
}

// run sends grants to all entries, every grantInterval and after each call of
// sendNow.
func (g *grantSender) run(ctx context.Context) {
	defer g.sidecar.background.Done()
	ticker := time.NewTicker(grantInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-g.wake:
		}
		g.sendAll()
	}
}

// sendNow makes run send grants without waiting for the next interval.
func (g *grantSender) sendNow() {
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

// serveSubscription serves message.MethodGrants.
func (g *grantSender) serveSubscription(call *wire.ServerCall) {
	sub := &subscriber{sender: g, call: call}
	g.mu.Lock()
	closed := g.closed
	if !closed {
		g.subscribers[sub] = true
		sub.sending = true
	}
	g.mu.Unlock()
	if closed {
		call.End()
		return
	}
	sub.Run()
}

// close ends the calls of the entries with a grant that permits no requests.
func (g *grantSender) close() {
	g.mu.Lock()
	g.closed = true
	subscribers := g.subscribers
	g.subscribers = map[*subscriber]bool{}
	g.mu.Unlock()
	for sub := range subscribers {
		sub.call.Reply(g.newGrant(nil))
	}
}

// addEvents adds cache events to the next grant of each entry.
func (g *grantSender) addEvents(events []engine.CacheEvent) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for sub := range g.subscribers {
		sub.events = append(sub.events, events...)
		if excess := len(sub.events) - maxEventsPerGrant; excess > 0 {
			sub.events = sub.events[excess:]
		}
	}
}

// sendAll starts to send a grant to each subscriber, on a worker. For those to
// which one is still being sent, another becomes due.
func (g *grantSender) sendAll() {
	g.mu.Lock()
	var ready []*subscriber
	for sub := range g.subscribers {
		if sub.sending {
			sub.due = true // the previous grant is still being sent
			continue
		}
		sub.sending = true
		ready = append(ready, sub)
	}
	g.mu.Unlock()
	for _, sub := range ready {
		if err := g.sidecar.host.Pool.Submit(pool.Task(sub)); err != nil {
			g.finishSend(sub, nil)
		}
	}
}

// Run implements pool.Task: it sends a grant, and further ones as long as
// another has become due meanwhile.
func (sub *subscriber) Run() {
	for {
		sub.sender.mu.Lock()
		events := sub.events
		sub.events = nil
		sub.sender.mu.Unlock()
		err := sub.call.Send(sub.sender.newGrant(events))
		if !sub.sender.finishSend(sub, err) {
			return
		}
	}
}

// finishSend ends the sending of a grant and reports whether another has become
// due. If err isn't nil, it removes the subscriber.
func (g *grantSender) finishSend(sub *subscriber, err error) bool {
	g.mu.Lock()
	again := sub.due
	sub.due = false
	sub.sending = again && err == nil
	if err != nil {
		delete(g.subscribers, sub)
	}
	g.mu.Unlock()
	if err != nil {
		sub.call.End()
		return false
	}
	return again
}

// newGrant returns a grant with the current state of the backend server. It
// permits no requests unless the sidecar has a valid lease.
func (g *grantSender) newGrant(events []engine.CacheEvent) message.Grant {
	s := g.sidecar
	hasLease := s.member != nil && s.member.HasLease()
	s.mu.Lock()
	defer s.mu.Unlock()
	grant := message.Grant{
		Incarnation: s.incarnation,
		Models:      s.state.Models,
		Role:        s.state.Role,
		Load:        s.state.Load,
		BlockTokens: s.state.BlockTokens,
	}
	if hasLease && s.acceptsRequests() {
		grant.Duration = GrantDuration
	}
	for _, event := range events {
		if event.Evicted {
			grant.EvictedBlocks = append(grant.EvictedBlocks, event.BlockHash)
		} else {
			grant.CachedBlocks = append(grant.CachedBlocks, event.BlockHash)
		}
	}
	return grant
}
