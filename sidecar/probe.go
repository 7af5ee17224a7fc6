package sidecar

import (
	"context"
	"time"

	"endivedeck.example/engine"
	"endivedeck.example/message"
)

const (
	probePause = 250 * time.Millisecond // while requests run
	idlePause  = time.Second            // while none do
	probeTime  = 4 * time.Second
)

// probe reads the backend server's state and cache events again and again.
type probe struct {
	sidecar *Sidecar
	now     chan struct{}
	after   uint64 // the newest cache event seen
}

func newProbe(s *Sidecar) *probe {
	return &probe{sidecar: s, now: make(chan struct{}, 1)}
}

// kick has the next look at once.
func (p *probe) kick() {
	select {
	case p.now <- struct{}{}:
	default:
	}
}

func (p *probe) run(ctx context.Context) {
	defer p.sidecar.running.Done()
	timer := time.NewTimer(probePause)
	defer timer.Stop()
	for {
		timer.Reset(probePause)
		if !p.sidecar.working() {
			timer.Reset(idlePause)
		}
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-p.now:
		}
		p.look(ctx)
	}
}

func (p *probe) look(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, probeTime)
	defer cancel()
	s := p.sidecar
	state, err := p.state(ctx)
	if err != nil {
		state, err = p.state(ctx) // over a new connection; the old one may only have gone silent
	}
	s.mu.Lock()
	was := s.healthy
	moved := s.state.Changing != state.Changing || s.state.Role != state.Role
	busier := s.state.Load.Running != state.Load.Running || s.state.Load.Queued != state.Load.Queued
	s.healthy = err == nil
	if err == nil {
		s.state = state
	}
	s.mu.Unlock()
	if was != (err == nil) {
		s.log.WithField("healthy", err == nil).Warn("the backend server's health changed")
		p.after = 0 // an engine that comes back counts its events anew
	}
	if was != (err == nil) || moved || busier {
		s.grants.push()
	}
	if was != (err == nil) || moved {
		s.changes.kick()
	}
	if caching, ok := s.engine.(engine.Caching); ok && err == nil {
		p.events(ctx, caching)
	}
}

func (p *probe) state(ctx context.Context) (engine.State, error) {
	s := p.sidecar
	if s.engine != nil {
		return s.engine.State(ctx)
	}
	s.mu.Lock()
	busy := s.busy
	s.mu.Unlock()
	state := engine.State{Load: message.Load{Running: busy, Capacity: s.settings.Service.Slots}}
	return state, s.service.Healthy(ctx)
}

func (p *probe) events(ctx context.Context, caching engine.Caching) {
	events, err := caching.Events(ctx, p.after)
	if err != nil || len(events) == 0 {
		return
	}
	p.after = events[len(events)-1].Seq
	p.sidecar.grants.addEvents(events)
}
