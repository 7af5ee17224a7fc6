package control

import (
	"context"
	"time"

	"endivedeck.example/fault"
	"endivedeck.example/message"
	"endivedeck.example/roster"
	"endivedeck.example/routes"
)

// API is the control instance's API for route tables and backend server
// announcements, independent of the interface by which requests arrive.
type API struct {
	control *Control
}

// PutRoutes stores a route table. It returns once a majority of the replicas
// has the table on disk, or the stored table is at least as new. After an error
// with Ran MaybeRun the table may or may not have been stored.
func (a *API) PutRoutes(ctx context.Context, t routes.Table) error {
	if err := t.Validate(); err != nil {
		return err
	}
	_, err := a.control.Operate(ctx, message.OperateRequest{Kind: OperatePutRoutes, Routes: &t})
	return err
}

// Routes returns the current route table as a linearizable read. It fails with
// fault.NotFound if none has been stored.
func (a *API) Routes(ctx context.Context) (routes.Table, error) {
	response, err := a.control.Operate(ctx, message.OperateRequest{Kind: OperateGetRoutes})
	if err != nil {
		return routes.Table{}, err
	}
	if response.Routes == nil {
		return routes.Table{}, fault.New(fault.Internal, fault.NotRun, "the leader's response contains no route table")
	}
	return *response.Routes, nil
}

// Status returns the state of the system as known to its leader.
func (a *API) Status(ctx context.Context) (message.OperateResponse, error) {
	return a.control.Operate(ctx, message.OperateRequest{Kind: OperateStatus})
}

// AnnounceServer records a backend server's announcement. An update is sent to
// the relays at once if the announcement changes anything that they act on.
func (a *API) AnnounceServer(s roster.Server) {
	if a.control.serverRegistry.Announce(time.Now(), s) {
		a.control.logServer(s, "backend server announced")
		a.control.publisher.StateChanged()
	}
}

// RemoveServer records that a backend server has left. An update is sent to the
// relays at once if that changes the record.
func (a *API) RemoveServer(s roster.Server) {
	if a.control.serverRegistry.Leave(time.Now(), s) {
		a.control.logServer(s, "backend server left")
		a.control.publisher.StateChanged()
	}
}

func (c *Control) logServer(s roster.Server, text string) {
	c.log.WithField("server", s.ID).WithField("service", s.Service).WithField("address", s.Address).
		WithField("born", s.StartedAt).WithField("seq", s.Seq).WithField("leaving", s.Draining).Info(text)
}

// putRoutes stores a route table at the leader. A table that isn't newer than
// the stored one is acknowledged, after a barrier has confirmed the stored one,
// and adds no log entry.
func (c *Control) putRoutes(ctx context.Context, request message.OperateRequest) (message.OperateResponse, error) {
	var response message.OperateResponse
	if request.Routes == nil {
		return response, fault.New(fault.Malformed, fault.NotRun, "the request contains no route table")
	}
	if err := request.Routes.Validate(); err != nil { // a peer of another version may have accepted it
		return response, err
	}
	replica, _, err := c.leaderReplica(time.Now())
	if err != nil {
		return response, err
	}
	log := c.log.WithField("version", request.Routes.Version).WithField("routes", len(request.Routes.Routes))
	if newest, known := c.state.Routes(); known && newest.Version >= request.Routes.Version {
		ctx, cancel := context.WithTimeout(ctx, readTimeout)
		defer cancel()
		if err := replica.Barrier(ctx); err != nil {
			return response, err
		}
		newest, _ = c.state.Routes()
		log.WithField("newest", newest.Version).Info("route table not stored: its version isn't newer")
		return response, nil
	}
	result, err := c.propose(ctx, Command{Routes: request.Routes})
	if err != nil {
		log.WithField("error", err.Error()).Warn("route table not committed")
		return response, err
	}
	outcome, ok := result.Value.(routes.Outcome)
	if !ok {
		return response, fault.New(fault.Internal, fault.MaybeRun, "unexpected result of the route table command: %v", result.Value)
	}
	log.WithField("stored", outcome.Stored).WithField("newest", outcome.Version).Info("routes changed")
	return response, nil
}
