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
	changeStepInterval = 250 * time.Millisecond
	changeCallTimeout  = 3 * time.Second // of calls to the engine and to control
)

// changeRunner executes the newest change of the backend server, in steps that
// can be repeated. Before it sends an order to the engine it reads the engine's
// state, so that it continues correctly after a crash of the sidecar or the
// engine.
type changeRunner struct {
	sidecar       *Sidecar
	wake          chan struct{}
	reportedToken uint64 // fencing token of the newest change reported to control
}

func newChangeRunner(s *Sidecar) *changeRunner {
	return &changeRunner{sidecar: s, wake: make(chan struct{}, 1)}
}

// wakeUp makes run take the next step without delay.
func (c *changeRunner) wakeUp() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// run takes steps at changeStepInterval while a change is pending, and waits
// for wakeUp otherwise.
func (c *changeRunner) run(ctx context.Context) {
	defer c.sidecar.background.Done()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		var nextStep <-chan time.Time
		if c.step(ctx) {
			timer.Reset(changeStepInterval)
			nextStep = timer.C
		}
		select {
		case <-ctx.Done():
			return
		case <-c.wake:
		case <-nextStep:
		}
	}
}

// step takes the next step of the pending change, if there is one, and reports
// whether another step is needed.
func (c *changeRunner) step(ctx context.Context) bool {
	pending, ok := c.pending()
	if !ok {
		return false
	}
	if pending.Announcement.Kind == change.Resume {
		return !c.report(ctx, pending, change.Done, "")
	}
	if err := c.drain(ctx); err != nil {
		return true
	}
	switch pending.Announcement.Kind {
	case change.Drain, change.Withdraw:
		return !c.report(ctx, pending, change.Done, "")
	}
	if c.sidecar.engine == nil {
		return !c.report(ctx, pending, change.Failed, "services support only the changes drain, withdraw and resume")
	}
	return c.apply(ctx, pending)
}

// pending returns the newest change, and whether it remains to be executed.
func (c *changeRunner) pending() (change.Change, bool) {
	s := c.sidecar
	s.mu.Lock()
	defer s.mu.Unlock()
	latest := s.change
	return latest, latest.State == change.Announced && latest.FencingToken > c.reportedToken
}

// drain returns nil once no request is in flight, or an error after
// changeStepInterval.
func (c *changeRunner) drain(ctx context.Context) error {
	if c.sidecar.skipDrain {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, changeStepInterval)
	defer cancel()
	return c.sidecar.awaitIdle(ctx)
}

// apply sends the change to the engine as an order, unless the engine's state
// shows that it is executing an order or has completed this one. It reports
// whether another step is needed.
func (c *changeRunner) apply(ctx context.Context, pending change.Change) bool {
	ctx, cancel := context.WithTimeout(ctx, changeCallTimeout)
	defer cancel()
	state, err := c.sidecar.engine.State(ctx)
	if err != nil || state.Changing {
		return true
	}
	if state.DoneToken >= pending.FencingToken {
		return !c.report(ctx, pending, change.Done, "")
	}
	// This check comes last, because the sidecar may have been paused since the
	// change was read and may have lost its lease or missed a newer change.
	if !c.authorized(pending) {
		return true
	}
	err = c.sidecar.engine.Order(ctx, orderForChange(pending))
	c.sidecar.log.WithField("number", pending.FencingToken).WithField("kind", pending.Announcement.Kind).
		WithField("taken", err == nil).Info("sent order to the engine")
	if fault.KindOf(err) == fault.Stale {
		return !c.report(ctx, pending, change.Failed, err.Error())
	}
	return true
}

// authorized reports whether the sidecar has a valid lease and the change is
// still its newest.
func (c *changeRunner) authorized(pending change.Change) bool {
	if c.sidecar.skipFencing {
		return true
	}
	if !c.sidecar.member.HasLease() {
		return false
	}
	latest, ok := c.pending()
	return ok && latest.FencingToken == pending.FencingToken
}

// report sends the result of a change to control, and returns whether control
// has received it.
func (c *changeRunner) report(ctx context.Context, pending change.Change, state change.State, text string) bool {
	ctx, cancel := context.WithTimeout(ctx, changeCallTimeout)
	defer cancel()
	s := c.sidecar
	report := change.Report{
		BackendServer: s.host.Process.Instance,
		FencingToken:  pending.FencingToken,
		State:         state,
		Text:          text,
	}
	if err := s.member.Call(ctx, message.MethodReport, report, nil); err != nil {
		return false
	}
	c.reportedToken = pending.FencingToken
	s.mu.Lock()
	if s.change.FencingToken == pending.FencingToken {
		s.change.State = state
	}
	s.mu.Unlock()
	s.prober.probeNow()
	s.grantSender.sendNow()
	s.member.RenewNow()
	s.log.WithField("number", pending.FencingToken).WithField("state", state).Info("change reported to control")
	return true
}

// orderForChange returns the order for a change of the model or the role.
func orderForChange(pending change.Change) engine.Order {
	order := engine.Order{FencingToken: pending.FencingToken, Kind: "load", Model: pending.Announcement.Model}
	if pending.Announcement.Kind == change.SwitchRole {
		order = engine.Order{FencingToken: pending.FencingToken, Kind: "role", Role: pending.Announcement.Role}
	}
	return order
}
