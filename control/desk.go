package control

import (
	"context"
	"time"

	"endivedeck.example/fault"
	"endivedeck.example/message"
	"endivedeck.example/roster"
	"endivedeck.example/routes"
)

// API serves operators and backend servers, whatever interface they came
// through.
type API struct {
	control *Control
}

// PutRoutes stores a table of routes and returns once it is durable at a
// majority, or isn't newer than the one that is. An error with Ran Unknown
// leaves open whether it is stored.
func (d *API) PutRoutes(ctx context.Context, t routes.Table) error {
	if err := t.Validate(); err != nil {
		return err
	}
	_, err := d.control.Operate(ctx, message.Operate{Kind: OperatePutRoutes, Routes: &t})
	return err
}

// Routes returns the newest table, confirmed by a majority.
func (d *API) Routes(ctx context.Context) (routes.Table, error) {
	operated, err := d.control.Operate(ctx, message.Operate{Kind: OperateGetRoutes})
	if err != nil {
		return routes.Table{}, err
	}
	if operated.Routes == nil {
		return routes.Table{}, fault.New(fault.Internal, fault.No, "the leader's answer holds no routes")
	}
	return *operated.Routes, nil
}

// AnnounceServer takes in what a backend server says of itself. Relays are told at
// once what they have to know.
func (d *API) AnnounceServer(s roster.Server) {
	if d.control.heard.Announce(time.Now(), s) {
		d.control.logServer(s, "backend server announced")
		d.control.news.StateChanged()
	}
}

// RemoveServer takes in that a backend server is gone.
func (d *API) RemoveServer(s roster.Server) {
	if d.control.heard.Leave(time.Now(), s) {
		d.control.logServer(s, "backend server left")
		d.control.news.StateChanged()
	}
}

func (c *Control) logServer(s roster.Server, text string) {
	c.log.WithField("server", s.ID).WithField("service", s.Service).WithField("address", s.Address).
		WithField("born", s.StartedAt).WithField("seq", s.Seq).WithField("leaving", s.Draining).Info(text)
}

// putRoutes stores a table at the leader. One that isn't newer than what a
// majority confirms takes no place in the log.
func (c *Control) putRoutes(ctx context.Context, ask message.Operate) (message.Operated, error) {
	var operated message.Operated
	if ask.Routes == nil {
		return operated, fault.New(fault.Malformed, fault.No, "the request holds no routes")
	}
	replica, _, err := c.leading(time.Now())
	if err != nil {
		return operated, err
	}
	entry := c.log.WithField("version", ask.Routes.Version).WithField("routes", len(ask.Routes.Routes))
	if c.state.Routes().Version >= ask.Routes.Version {
		ctx, cancel := context.WithTimeout(ctx, readTime)
		defer cancel()
		if err := replica.Barrier(ctx); err != nil {
			return operated, err
		}
		entry.WithField("newest", c.state.Routes().Version).Info("routes aren't newer")
		return operated, nil
	}
	result, err := c.propose(ctx, Command{Routes: ask.Routes})
	if err != nil {
		entry.WithField("error", err.Error()).Warn("routes weren't confirmed")
		return operated, err
	}
	outcome, ok := result.Value.(routes.Outcome)
	if !ok {
		return operated, fault.New(fault.Internal, fault.Unknown, "the log gave no outcome")
	}
	entry.WithField("stored", outcome.Stored).WithField("newest", outcome.Version).Info("routes changed")
	return operated, nil
}
