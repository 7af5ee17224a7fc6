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

// updateInterval is the time between updates to a relay when nothing changes. It
// bounds how stale a relay's record of a backend server's last announcement is.
const (
	updateInterval = time.Second

	// startupInterval is the same while this instance doesn't know whether its
	// route table is current.
	startupInterval = 100 * time.Millisecond
)

var _ Watcher = (*relayPublisher)(nil)

type (
	// relayPublisher streams updates of routes, backend servers and addresses to
	// relays. Followers publish as well as the leader: routes are committed
	// before they are applied here, and relays order the announcements of a
	// backend server by its start time and sequence number.
	relayPublisher struct {
		control     *Control
		mu          rank.Mutex
		subscribers map[*relaySubscriber]bool
		stopped     bool
		running     sync.WaitGroup
	}

	// relaySubscriber is the open stream to one relay.
	relaySubscriber struct {
		publisher *relayPublisher
		call      *wire.ServerCall
		request   message.SubscribeRequest
		wake      chan struct{}
		done      chan struct{}
	}
)

func newRelayPublisher(c *Control) *relayPublisher {
	return &relayPublisher{control: c, mu: rank.New(rank.Lease), subscribers: map[*relaySubscriber]bool{}}
}

// handleSubscribe serves message.MethodUpdates.
func (p *relayPublisher) handleSubscribe(call *wire.ServerCall) {
	var request message.SubscribeRequest
	if err := call.Decode(&request); err != nil {
		call.Fail(err)
		return
	}
	s := &relaySubscriber{publisher: p, call: call, request: request, wake: make(chan struct{}, 1), done: make(chan struct{})}
	if !p.add(s) {
		call.End()
		return
	}
	p.control.log.WithField("relay", request.Relay).WithField("version", request.RoutesVersion).Info("relay subscribed")
	go s.run()
}

func (p *relayPublisher) add(s *relaySubscriber) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped {
		return false
	}
	p.subscribers[s] = true
	p.running.Add(1)
	return true
}

func (p *relayPublisher) remove(s *relaySubscriber) {
	p.mu.Lock()
	delete(p.subscribers, s)
	p.mu.Unlock()
	p.running.Done()
}

// relayAddresses returns the sorted addresses of the subscribed relays.
func (p *relayPublisher) relayAddresses() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := map[string]bool{}
	for s := range p.subscribers {
		known[s.request.Address] = true
	}
	return slices.Sorted(maps.Keys(known))
}

// StateChanged implements Watcher.
func (p *relayPublisher) StateChanged() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for s := range p.subscribers {
		select {
		case s.wake <- struct{}{}:
		default:
		}
	}
}

// LeadershipChanged implements Watcher. Relays aren't notified of leadership changes.
func (p *relayPublisher) LeadershipChanged(bool, uint64) {}

// stop ends all streams and waits until they have ended.
func (p *relayPublisher) stop() {
	p.mu.Lock()
	p.stopped = true
	for s := range p.subscribers {
		close(s.done)
		s.call.Cancel()
	}
	p.mu.Unlock()
	p.running.Wait()
}

// run sends updates to the relay until the stream fails or stop is called.
func (s *relaySubscriber) run() {
	defer s.publisher.remove(s)
	defer s.call.End()
	timer := time.NewTimer(updateInterval)
	defer timer.Stop()
	sent := s.request.RoutesVersion
	for {
		update := s.publisher.updateSince(sent)
		if err := s.call.Send(update); err != nil {
			s.publisher.control.log.WithField("relay", s.request.Relay).WithField("error", err.Error()).Info("relay disconnected")
			return
		}
		if update.Routes != nil {
			sent = update.Routes.Version
		}
		timer.Reset(updateInterval)
		if !update.Current {
			timer.Reset(startupInterval)
		}
		select {
		case <-s.done:
			return
		case <-s.wake:
		case <-timer.C:
		}
	}
}

// updateSince returns an update for a relay, with the route table only if the
// relay's is older and this instance's was current at some time since it started: the
// one that it has from its disk may have keys that were withdrawn.
func (p *relayPublisher) updateSince(version uint64) message.RelayUpdate {
	now := time.Now()
	replica := p.control.activeReplica()
	var currentAt time.Time
	if replica != nil {
		currentAt = replica.Leadership().CurrentAt // before the routes are read, which are at least as new
	}
	update := message.RelayUpdate{Servers: p.control.serverRegistry.List(now), RelayAddresses: p.relayAddresses(), Time: p.control.duties.time(now)}
	if !currentAt.IsZero() {
		update.Current, update.Age = true, time.Since(currentAt)
	}
	if table := p.control.state.Routes(); update.Current && table.Version > version {
		table.SourceText = nil
		update.Routes = &table
	}
	if replica != nil {
		for _, member := range replica.Leadership().Status.Members {
			update.ControlAddresses = append(update.ControlAddresses, member.Address)
		}
	}
	return update
}
