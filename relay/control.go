package relay

import (
	"context"
	"time"

	"endivedeck.example/internal/fleet/spread"
	"endivedeck.example/interval"
	"endivedeck.example/message"
	"endivedeck.example/routes"
	"endivedeck.example/wire"
)

const (
	controlRetryDelay = 200 * time.Millisecond // before the next attempt to subscribe
	maxSubscriptions  = 64                     // DEVELOPERS.md allows 34 control instances
)

// controlSubscription is a subscription to the updates of one control instance.
type controlSubscription struct {
	relay      *Relay
	address    string
	lossLogged bool // the loss of the connection was logged
}

// subscribeToControls subscribes to the control instances at the given addresses,
// except those that the relay is subscribed to already.
func (r *Relay) subscribeToControls(addresses []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ctx.Err() != nil {
		return
	}
	for _, address := range addresses {
		if r.subscriptions[address] != nil || len(r.subscriptions) >= maxSubscriptions {
			continue
		}
		s := &controlSubscription{relay: r, address: address}
		r.subscriptions[address] = s
		r.tasks.Add(1)
		go s.run(r.ctx)
	}
}

// run keeps the subscription open until ctx is done.
func (s *controlSubscription) run(ctx context.Context) {
	defer s.relay.tasks.Done()
	for ctx.Err() == nil {
		err := s.receiveUpdates(ctx)
		s.relay.roster.Disconnected(s.address)
		if err != nil && !s.lossLogged && ctx.Err() == nil {
			s.lossLogged = true
			s.relay.log.WithField("control", s.address).WithField("error", err.Error()).Warn("lost connection to control instance")
		}
		interval.Sleep(ctx, controlRetryDelay)
	}
}

// loop tells the control instance which routes are in force, so that it doesn't send them,
// until ctx is done or the call fails. told is what it knows of.
func (s *controlSubscription) loop(ctx context.Context, call *wire.Call, told spread.Holding) {
	defer s.relay.tasks.Done()
	for {
		changed := s.relay.routeView.Changed() // before the version is read, so that none is missed
		if version, known := s.relay.routeView.Version(); known && told.Lacks(version) {
			if err := call.Send(message.RoutesInForce{Version: version}); err != nil {
				return // receiveUpdates sees that as well
			}
			told = spread.Holding{Version: version, Known: true}
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// receiveUpdates opens the subscription and applies updates until it fails.
func (s *controlSubscription) receiveUpdates(ctx context.Context) error {
	version, known := s.relay.routeView.Version()
	request := message.SubscribeRequest{
		Relay: s.relay.host.Process.Instance, Address: s.relay.settings.PeerListen,
		HasRoutes: known, RoutesVersion: version,
	}
	call, err := s.relay.client.OpenCall(ctx, s.address, message.MethodUpdates, request)
	if err != nil {
		return err
	}
	defer call.Cancel()
	stopCancel := context.AfterFunc(ctx, call.Cancel)
	defer stopCancel()
	toldCtx, stopTelling := context.WithCancel(ctx)
	defer stopTelling()
	s.relay.tasks.Add(1)
	go s.loop(toldCtx, call, spread.Holding{Version: version, Known: known})
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.relay.usage.start(ctx, s.address)
	for {
		var update message.RelayUpdate
		if err := call.Receive(&update); err != nil {
			return err
		}
		if s.lossLogged {
			s.lossLogged = false
			s.relay.log.WithField("control", s.address).Info("reconnected to control instance")
		}
		now := time.Now()
		s.relay.usage.observe(now, s.address, update.Time)
		s.relay.applyUpdate(now, s.address, update)
	}
}

func (r *Relay) closeRoutesKnown() { close(r.routesKnown) }

// applyUpdate applies an update from the control instance at address from.
func (r *Relay) applyUpdate(now time.Time, from string, update message.RelayUpdate) {
	if r.roster.Merge(now, from, update.Servers) { // first, so that a server that leaves gets nothing more
		r.applyServers(now, from)
	}
	if update.Routes != nil {
		r.applyRoutes(from, *update.Routes)
	}
	r.currency.confirm(now, update) // after its routes are in force
	if _, known := r.routeView.Version(); known {
		r.routesOnce.Do(r.closeRoutesKnown) // after the servers of the same update
	}
	if len(r.placement.CachingServers()) > 0 {
		r.cacheSurvey.begin()
	}
	if n := len(update.RelayAddresses); n > 0 {
		r.relayCount.Store(int64(n))
		r.setPeers(update.RelayAddresses)
	}
	r.subscribeToControls(update.ControlAddresses)
}

// applyRoutes puts a table from the instance at address from in force, if it is newer.
func (r *Relay) applyRoutes(from string, t routes.Table) {
	installed, shadowed := r.routeView.Install(t)
	if !installed {
		return
	}
	r.applyLimits()
	names := r.routeView.RouteNames()
	r.placement.Configure(r.routeView.Engines(), names)
	r.retryDetector.retain(names)
	r.returns.retain(services(t))
	log := r.log.WithField("version", t.Version).WithField("routes", len(t.Routes)).WithField("control", from)
	log.Info("routes in force")
	if shadowed > 0 {
		log.WithField("shadowed", shadowed).Warn("routes are never matched: later ones have the same host and prefix")
	}
}

// applyServers makes placement use the servers of the roster, which has changed by what
// the instance at address from has sent.
func (r *Relay) applyServers(now time.Time, from string) {
	servers := r.roster.Servers(now)
	r.setServers(now, servers)
	r.log.WithField("servers", len(servers)).WithField("control", from).Info("backend servers changed")
}
