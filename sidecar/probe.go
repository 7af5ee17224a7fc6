package sidecar

import (
	"context"
	"time"

	"endivedeck.example/engine"
	"endivedeck.example/message"
)

const (
	busyProbeInterval = 250 * time.Millisecond // while requests are in flight
	idleProbeInterval = time.Second            // otherwise
	probeTimeout      = 4 * time.Second
)

// prober polls the state and the cache events of the backend server.
type prober struct {
	sidecar   *Sidecar
	wake      chan struct{}
	lastEvent uint64 // sequence number of the newest cache event received
}

func newProber(s *Sidecar) *prober {
	return &prober{sidecar: s, wake: make(chan struct{}, 1)}
}

// probeNow makes run probe without waiting for the next interval.
func (p *prober) probeNow() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// run probes every busyProbeInterval or idleProbeInterval, and after each call
// of probeNow.
func (p *prober) run(ctx context.Context) {
	defer p.sidecar.background.Done()
	timer := time.NewTimer(busyProbeInterval)
	defer timer.Stop()
	for {
		timer.Reset(busyProbeInterval)
		if !p.sidecar.hasRequests() {
			timer.Reset(idleProbeInterval)
		}
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-p.wake:
		}
		p.probe(ctx)
	}
}

// probe updates the state and health of the backend server, and notifies the
// grant sender and the change runner if they need to act on a difference.
func (p *prober) probe(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	s := p.sidecar
	state, err := p.readState(ctx)
	if err != nil {
		state, err = p.readState(ctx) // over a new connection, in case only the previous one was dead
	}
	s.mu.Lock()
	wasHealthy := s.healthy
	stateChanged := s.state.Changing != state.Changing || s.state.Role != state.Role
	loadChanged := s.state.Load.Running != state.Load.Running || s.state.Load.Queued != state.Load.Queued
	s.healthy = err == nil
	if err == nil {
		s.state = state
	}
	s.mu.Unlock()
	if wasHealthy != (err == nil) {
		s.log.WithField("healthy", err == nil).Warn("the backend server's health changed")
		p.lastEvent = 0 // a restarted engine numbers its events from the start
	}
	if wasHealthy != (err == nil) || stateChanged || loadChanged {
		s.grantSender.sendNow()
	}
	if wasHealthy != (err == nil) || stateChanged {
		s.changeRunner.wakeUp()
	}
	if source, ok := s.engine.(engine.CacheEventSource); ok && err == nil {
		p.readEvents(ctx, source)
	}
}

// readState returns the state of the backend server. For a service, which does
// not report its load, it is the number of requests in flight.
func (p *prober) readState(ctx context.Context) (engine.State, error) {
	s := p.sidecar
	if s.engine != nil {
		return s.engine.State(ctx)
	}
	s.mu.Lock()
	inFlight := s.inFlight
	s.mu.Unlock()
	state := engine.State{Load: message.Load{Running: inFlight, Capacity: s.settings.Service.Slots}}
	return state, s.service.Healthy(ctx)
}

// readEvents passes new cache events on to the grant sender.
func (p *prober) readEvents(ctx context.Context, source engine.CacheEventSource) {
	events, err := source.Events(ctx, p.lastEvent)
	if err != nil || len(events) == 0 {
		return
	}
	p.lastEvent = events[len(events)-1].Seq
	p.sidecar.grantSender.addEvents(events)
}
