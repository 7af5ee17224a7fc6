package sidecar

import (
	"context"
	"time"

	"endivedeck.example/change"
	"endivedeck.example/engine"
	"endivedeck.example/fault"
	"endivedeck.example/message"
)

const (
	changePause = 250 * time.Millisecond
	reportTime  = 3 * time.Second
)

// changes carries out the newest change of the backend server, one step at a
// time, looking at the engine's own state before each: what a killed sidecar
// or a crashed engine left behind is read back, never assumed.
type changes struct {
	sidecar  *Sidecar
	wake     chan struct{}
	reported uint64
}

func newChanges(s *Sidecar) *changes {
	return &changes{sidecar: s, wake: make(chan struct{}, 1)}
}

func (c *changes) kick() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// run takes steps while a change is to be carried out, and waits otherwise.
func (c *changes) run(ctx context.Context) {
	defer c.sidecar.running.Done()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		var again <-chan time.Time
		if c.step(ctx) {
			timer.Reset(changePause)
			again = timer.C
		}
		select {
		case <-ctx.Done():
			return
		case <-c.wake:
		case <-again:
		}
	}
}

// step takes one step and reports whether another is needed.
func (c *changes) step(ctx context.Context) bool {
	wanted, ok := c.wanted()
	if !ok {
		return false
	}
	if wanted.Announcement.Kind == change.Resume {
		return !c.report(ctx, wanted, change.Done, "")
	}
	if err := c.drain(ctx); err != nil {
		return true
	}
	switch wanted.Announcement.Kind {
	case change.Drain, change.Withdraw:
		return !c.report(ctx, wanted, change.Done, "")
	}
	if c.sidecar.engine == nil {
		return !c.report(ctx, wanted, change.Failed, "a plain service takes no such change")
	}
	return c.order(ctx, wanted)
}

// wanted returns the change that is to be carried out now.
func (c *changes) wanted() (change.Change, bool) {
	s := c.sidecar
	s.mu.Lock()
	defer s.mu.Unlock()
	wanted := s.change
	return wanted, wanted.State == change.Announced && wanted.FencingToken > c.reported
}

func (c *changes) drain(ctx context.Context) error {
	if c.sidecar.hasty {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, changePause)
	defer cancel()
	return c.sidecar.awaitIdle(ctx)
}

// order has the engine change, unless its state shows that it does or did.
func (c *changes) order(ctx context.Context, wanted change.Change) bool {
	ctx, cancel := context.WithTimeout(ctx, reportTime)
	defer cancel()
	state, err := c.sidecar.engine.State(ctx)
	if err != nil || state.Changing {
		return true
	}
	if state.Done >= wanted.FencingToken {
		return !c.report(ctx, wanted, change.Done, "")
	}
	// The look at authority comes last: a sidecar that was paused since must not act on what it held.
	if !c.mayOrder(wanted) {
		return true
	}
	err = c.sidecar.engine.Order(ctx, orderFor(wanted))
	c.sidecar.log.WithField("number", wanted.FencingToken).WithField("kind", wanted.Announcement.Kind).
		WithField("taken", err == nil).Info("order to the engine")
	if fault.Of(err) == fault.Stale {
		return !c.report(ctx, wanted, change.Failed, err.Error())
	}
	return true
}

func (c *changes) mayOrder(wanted change.Change) bool {
	if c.sidecar.unfenced {
		return true
	}
	if !c.sidecar.member.HasLease() {
		return false
	}
	current, ok := c.wanted()
	return ok && current.FencingToken == wanted.FencingToken
}

// report tells control what became of a change, and reports whether it knows.
func (c *changes) report(ctx context.Context, wanted change.Change, state change.State, text string) bool {
	ctx, cancel := context.WithTimeout(ctx, reportTime)
	defer cancel()
	s := c.sidecar
	report := change.Report{
		BackendServer: s.host.Process.Instance,
		FencingToken:  wanted.FencingToken,
		State:         state,
		Text:          text,
	}
	if err := s.member.Call(ctx, message.MethodReport, report, nil); err != nil {
		return false
	}
	c.reported = wanted.FencingToken
	s.mu.Lock()
	if s.change.FencingToken == wanted.FencingToken {
		s.change.State = state
	}
	s.mu.Unlock()
	s.probe.kick()
	s.grants.push()
	s.member.RenewNow()
	s.log.WithField("number", wanted.FencingToken).WithField("state", state).Info("change carried out")
	return true
}

func orderFor(wanted change.Change) engine.Order {
	order := engine.Order{Number: wanted.FencingToken, Kind: "load", Model: wanted.Announcement.Model}
	if wanted.Announcement.Kind == change.SwitchRole {
		order = engine.Order{Number: wanted.FencingToken, Kind: "role", Role: wanted.Announcement.Role}
	}
	return order
}
