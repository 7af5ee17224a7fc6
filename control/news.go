package control

import (
	"maps"
	"slices"
	"sync"
	"time"

	"endivedeck.example/message"
	"endivedeck.example/rank"
	"endivedeck.example/wire"
)

// newsTime is the time between two messages to a relay when nothing changes.
// It bounds how old a relay's word of a backend server's last sign of life is.
const newsTime = time.Second

var _ Watcher = (*news)(nil)

type (
	// news tells relays what this control instance knows, as it changes. It is
	// given by every instance, leading or not: what is committed here is, and
	// what backend servers said counts by its own order.
	news struct {
		control *Control
		mu      rank.Mutex
		all     map[*follower]bool
		stopped bool
		running sync.WaitGroup
	}

	// follower is a relay that follows.
	follower struct {
		news *news
		x    *wire.Exchange
		ask  message.Follow
		wake chan struct{}
		over chan struct{}
	}
)

func newNews(c *Control) *news {
	return &news{control: c, mu: rank.New(rank.Lease), all: map[*follower]bool{}}
}

// follow serves message.MethodNews.
func (n *news) follow(x *wire.Exchange) {
	var ask message.Follow
	if err := x.Decode(&ask); err != nil {
		x.Fail(err)
		return
	}
	f := &follower{news: n, x: x, ask: ask, wake: make(chan struct{}, 1), over: make(chan struct{})}
	if !n.enter(f) {
		x.End()
		return
	}
	n.control.log.WithField("relay", ask.Relay).WithField("version", ask.Version).Info("relay follows")
	go f.run()
}

func (n *news) enter(f *follower) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.stopped {
		return false
	}
	n.all[f] = true
	n.running.Add(1)
	return true
}

func (n *news) leave(f *follower) {
	n.mu.Lock()
	delete(n.all, f)
	n.mu.Unlock()
	n.running.Done()
}

// relays returns the addresses of the relays that follow.
func (n *news) relays() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	known := map[string]bool{}
	for f := range n.all {
		known[f.ask.Address] = true
	}
	return slices.Sorted(maps.Keys(known))
}

// StateChanged implements Watcher.
func (n *news) StateChanged() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for f := range n.all {
		select {
		case f.wake <- struct{}{}:
		default:
		}
	}
}

// Led implements Watcher. Who leads is no news to relays.
func (n *news) Led(bool, uint64) {}

// stop ends every call.
func (n *news) stop() {
	n.mu.Lock()
	n.stopped = true
	for f := range n.all {
		close(f.over)
		f.x.Cancel()
	}
	n.mu.Unlock()
	n.running.Wait()
}

// run tells one relay, until it is gone.
func (f *follower) run() {
	defer f.news.leave(f)
	defer f.x.End()
	ticker := time.NewTicker(newsTime)
	defer ticker.Stop()
	sent := f.ask.Version
	for {
		message := f.news.now(sent)
		if err := f.x.Send(message); err != nil {
			f.news.control.log.WithField("relay", f.ask.Relay).WithField("error", err.Error()).Info("relay lost")
			return
		}
		if message.Routes != nil {
			sent = message.Routes.Version
		}
		select {
		case <-f.over:
			return
		case <-f.wake:
		case <-ticker.C:
		}
	}
}

// now returns what is known, for a relay that has the routes of a version.
func (n *news) now(version uint64) message.News {
	m := message.News{Servers: n.control.heard.List(time.Now()), Relays: n.relays()}
	if table := n.control.state.Routes(); table.Version > version {
		table.SourceText = nil
		m.Routes = &table
	}
	if replica := n.control.current(); replica != nil {
		for _, member := range replica.Leadership().Status.Members {
			m.Members = append(m.Members, member.Address)
		}
	}
	return m
}
