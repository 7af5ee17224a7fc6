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
	// GrantTime is how long one grant lets an entry send new work.
	GrantTime = 3 * time.Second

	grantPause = time.Second
	mostEvents = 4096 // cache events in one grant
)

type (
	// grants keeps the entries told for how long they may send new work. The
	// calls of the entries stay open in a table and hold no worker.
	grants struct {
		sidecar *Sidecar
		now     chan struct{}

		mu       rank.Mutex
		watchers map[*watcher]bool
		ended    bool
	}

	// watcher is one entry's open call.
	watcher struct {
		grants  *grants
		x       *wire.Exchange
		events  []engine.Event
		sending bool
		again   bool
	}
)

func newGrants(s *Sidecar) *grants {
	return &grants{
		sidecar:  s,
		now:      make(chan struct{}, 1),
		mu:       rank.New(rank.Order),
		watchers: map[*watcher]bool{},
	}
}

// run sends grants to all entries, at least every grantPause; the probe asks
// for more while the load changes.
func (g *grants) run(ctx context.Context) {
	defer g.sidecar.running.Done()
	ticker := time.NewTicker(grantPause)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-g.now:
		}
		g.sendAll()
	}
}

// push has the next grants sent at once.
func (g *grants) push() {
	select {
	case g.now <- struct{}{}:
	default:
	}
}

// watch serves message.MethodGrants.
func (g *grants) watch(x *wire.Exchange) {
	w := &watcher{grants: g, x: x}
	g.mu.Lock()
	ended := g.ended
	if !ended {
		g.watchers[w] = true
		w.sending = true
	}
	g.mu.Unlock()
	if ended {
		x.End()
		return
	}
	w.Do()
}

// end ends the entries' calls after a last grant of no time.
func (g *grants) end() {
	g.mu.Lock()
	g.ended = true
	watchers := g.watchers
	g.watchers = map[*watcher]bool{}
	g.mu.Unlock()
	for w := range watchers {
		w.x.Reply(g.grant(nil))
	}
}

func (g *grants) addEvents(events []engine.Event) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for w := range g.watchers {
		w.events = append(w.events, events...)
		if over := len(w.events) - mostEvents; over > 0 {
			w.events = w.events[over:]
		}
	}
}

func (g *grants) sendAll() {
	g.mu.Lock()
	var due []*watcher
	for w := range g.watchers {
		if w.sending {
			w.again = true // a slow entry gets one grant at a time
			continue
		}
		w.sending = true
		due = append(due, w)
	}
	g.mu.Unlock()
	for _, w := range due {
		if err := g.sidecar.host.Pool.Submit(pool.Task(w)); err != nil {
			g.sent(w, nil)
		}
	}
}

// Do sends one grant, and another when one came due meanwhile.
func (w *watcher) Do() {
	for {
		w.grants.mu.Lock()
		events := w.events
		w.events = nil
		w.grants.mu.Unlock()
		err := w.x.Send(w.grants.grant(events))
		if !w.grants.sent(w, err) {
			return
		}
	}
}

// sent reports whether another grant came due.
func (g *grants) sent(w *watcher, err error) bool {
	g.mu.Lock()
	again := w.again
	w.again = false
	w.sending = again && err == nil
	if err != nil {
		delete(g.watchers, w)
	}
	g.mu.Unlock()
	if err != nil {
		w.x.End()
		return false
	}
	return again
}

func (g *grants) grant(events []engine.Event) message.Grant {
	s := g.sidecar
	held := s.member != nil && s.member.HasLease()
	s.mu.Lock()
	defer s.mu.Unlock()
	grant := message.Grant{
		Incarnation: s.incarnation,
		Models:      s.state.Models,
		Role:        s.state.Role,
		Load:        s.state.Load,
		PieceTokens: s.state.PieceTokens,
	}
	if held && s.takesWork() {
		grant.For = GrantTime
	}
	for _, e := range events {
		if e.Evicted {
			grant.Evicted = append(grant.Evicted, e.Hash)
		} else {
			grant.Cached = append(grant.Cached, e.Hash)
		}
	}
	return grant
}
