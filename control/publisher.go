package control

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"endivedeck.example/internal/fleet/shard"
	"endivedeck.example/internal/fleet/spread"
	"endivedeck.example/message"
	"endivedeck.example/quorum"
	"endivedeck.example/rank"
	"endivedeck.example/roster"
	"endivedeck.example/routes"
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
		held      atomic.Pointer[spread.Holding] // routes in force at the relay, as it has said

		// What the relay has been sent. Only run uses these.
		delivery         roster.Delivery
		routes           spread.Delivery
		greeted          bool // it was sent the routes that it lacked when it subscribed, at once: it has lost its connections, or just started
		controlAddresses []string
		relayAddresses   []string
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
	s.held.Store(&spread.Holding{Version: request.RoutesVersion, Known: request.HasRoutes || request.RoutesVersion > 0})
	if !p.add(s) {
		call.End()
		return
	}
	p.control.log.WithField("relay", request.Relay).WithField("version", request.RoutesVersion).
		WithField("known", s.held.Load().Known).Info("relay subscribed")
	go s.run()
	go s.loop()
}

func (p *relayPublisher) add(s *relaySubscriber) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped {
		return false
	}
	p.subscribers[s] = true
	p.running.Add(2)
	return true
}

func (p *relayPublisher) remove(s *relaySubscriber) {
	p.mu.Lock()
	delete(p.subscribers, s)
	p.mu.Unlock()
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
	defer s.publisher.running.Done()
	defer s.publisher.remove(s)
	defer s.call.Cancel() // ends loop
	defer s.call.End()
	timer := time.NewTimer(updateInterval)
	defer timer.Stop()
	next := time.Now() // when announcements that change nothing are sent again
	for {
		now := time.Now()
		repeats := !now.Before(next)
		if repeats {
			next = now.Add(updateInterval)
		}
		current, wait, err := s.sendUpdates(now, repeats)
		if err != nil {
			s.publisher.control.log.WithField("relay", s.request.Relay).WithField("error", err.Error()).Info("relay disconnected")
			return
		}
		if !current {
			next = now.Add(startupInterval)
		}
		pause := time.Until(next)
		if wait > 0 {
			pause = min(pause, wait)
		}
		timer.Reset(pause)
		select {
		case <-s.done:
			return
		case <-s.wake:
		case <-timer.C:
		}
	}
}

// loop notes which routes the relay has until the stream ends.
func (s *relaySubscriber) loop() {
	defer s.publisher.running.Done()
	for {
		var inForce message.RoutesInForce
		if err := s.call.Receive(&inForce); err != nil {
			return
		}
		s.held.Store(&spread.Holding{Version: inForce.Version, Known: true})
	}
}

// sendUpdates sends what the relay hasn't been sent yet, and reports whether this
// instance's routes were current at some time since it started. It sends no routes
// before: those from its disk may have keys that were withdrawn. Routes follow the rest,
// since a large table takes long on a thin link. repeats also sends announcements that
// change nothing; such an update is sent even if it is empty. wait is the time until a
// table is to be sent, unless the relay has it by then from another instance; 0 for none.
func (s *relaySubscriber) sendUpdates(now time.Time, repeats bool) (current bool, wait time.Duration, err error) {
	c := s.publisher.control
	var currentAt time.Time
	replica := c.activeReplica()
	if replica != nil {
		currentAt = replica.Leadership().CurrentAt // before the routes are read, which are at least as new
	}
	table, known := c.state.Routes()
	newRoutes := false
	if !currentAt.IsZero() {
		if known {
			newRoutes, wait = s.dueRoutes(now, table, replica)
		}
		s.greeted = true
	}
	update := s.update(now, repeats)
	if !newRoutes && wait == 0 {
		setCurrency(&update, currentAt)
	}
	if repeats || len(update.Servers)+len(update.ControlAddresses)+len(update.RelayAddresses) > 0 {
		if err := s.call.Send(update); err != nil {
			return false, 0, err
		}
	}
	if !newRoutes {
		return !currentAt.IsZero(), wait, nil
	}
	table.SourceText = nil
	update = message.RelayUpdate{Routes: &table}
	setCurrency(&update, currentAt)
	return true, 0, s.call.Send(update)
}

// dueRoutes reports whether a table is to be sent to the relay now, or the time until then.
func (s *relaySubscriber) dueRoutes(now time.Time, table routes.Table, replica *quorum.Replica) (send bool, wait time.Duration) {
	s.routes.Held = *s.held.Load()
	place := 0
	if s.greeted {
		place = s.place(replica)
	}
	return s.routes.Due(now, table.Version, len(table.SourceText), place)
}

// place returns the place of this instance in the order in which control instances send
// large tables to the relay. Those that keep the log on a disk go before the others, since
// they are on the larger machines.
func (s *relaySubscriber) place(replica *quorum.Replica) int {
	self := s.publisher.control.settings.Listen
	var voters []string
	for _, member := range replica.Leadership().Status.Members {
		if member.Voter {
			voters = append(voters, member.Address)
		}
	}
	if !slices.Contains(voters, self) {
		return len(voters)
	}
	return shard.Place(voters, self, s.request.Address)
}

// setCurrency says in an update since when this instance's state is known to be current.
func setCurrency(update *message.RelayUpdate, currentAt time.Time) {
	if !currentAt.IsZero() {
		update.Current, update.Age = true, time.Since(currentAt)
	}
}

// update returns what the relay hasn't been sent yet, apart from routes.
func (s *relaySubscriber) update(now time.Time, repeats bool) message.RelayUpdate {
	c := s.publisher.control
	update := message.RelayUpdate{Servers: s.delivery.Changes(c.serverRegistry.List(now), repeats), Time: c.duties.time(now)}
	if relays := s.publisher.relayAddresses(); !slices.Equal(relays, s.relayAddresses) {
		update.RelayAddresses, s.relayAddresses = relays, relays
	}
	if replica := c.activeReplica(); replica != nil {
		var addresses []string
		for _, member := range replica.Leadership().Status.Members {
			addresses = append(addresses, member.Address)
		}
		if !slices.Equal(addresses, s.controlAddresses) {
			update.ControlAddresses, s.controlAddresses = addresses, addresses
		}
	}
	return update
}
