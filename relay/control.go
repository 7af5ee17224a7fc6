package relay

import (
	"context"
	"time"

	"endivedeck.example/interval"
	"endivedeck.example/message"
)

const (
	controlRetryDelay = 200 * time.Millisecond // before the next attempt to subscribe
	maxControls       = 64                     // subscriptions at most; DEVELOPERS.md allows 34 control instances
)

// controlFollower is a subscription to the updates of one control instance.
type controlFollower struct {
	relay      *Relay
	address    string
	lossLogged bool // the loss of the instance was logged
}

// followControls subscribes to the control instances at the given addresses,
// except those that the relay is subscribed to already.
func (r *Relay) followControls(addresses []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ctx.Err() != nil {
		return
	}
	for _, address := range addresses {
		if r.controls[address] != nil || len(r.controls) >= maxControls {
			continue
		}
		f := &controlFollower{relay: r, address: address}
		r.controls[address] = f
		r.tasks.Add(1)
		go f.run(r.ctx)
	}
}

// run keeps the subscription open until ctx is done.
func (f *controlFollower) run(ctx context.Context) {
	defer f.relay.tasks.Done()
	for ctx.Err() == nil {
		err := f.receiveUpdates(ctx)
		f.relay.roster.Disconnected(f.address)
		if err != nil && !f.lossLogged && ctx.Err() == nil {
			f.lossLogged = true
			f.relay.log.WithField("control", f.address).WithField("error", err.Error()).Warn("lost connection to control instance")
		}
		interval.Sleep(ctx, controlRetryDelay)
	}
}

// receiveUpdates opens the subscription and applies updates until it fails.
func (f *controlFollower) receiveUpdates(ctx context.Context) error {
	version, _ := f.relay.routeView.Version()
	request := message.SubscribeRequest{Relay: f.relay.host.Process.Instance, RoutesVersion: version, Address: f.relay.settings.PeerListen}
	call, err := f.relay.client.OpenCall(ctx, f.address, message.MethodUpdates, request)
	if err != nil {
		return err
	}
	defer call.Cancel()
	stopCancel := context.AfterFunc(ctx, call.Cancel)
	defer stopCancel()
	for {
		var update message.RelayUpdate
		if err := call.Receive(&update); err != nil {
			return err
		}
		if f.lossLogged {
			f.lossLogged = false
			f.relay.log.WithField("control", f.address).Info("reconnected to control instance")
		}
		f.relay.applyUpdate(time.Now(), f.address, update)
	}
}

// applyUpdate applies an update from the control instance at address from.
func (r *Relay) applyUpdate(now time.Time, from string, update message.RelayUpdate) {
	if update.Routes != nil && r.routeView.Install(*update.Routes) {
		names := r.routeView.RouteNames()
		r.placement.Configure(r.routeView.Engines(), names)
		r.retryDetector.retain(names)
		r.log.WithField("version", update.Routes.Version).WithField("routes", len(update.Routes.Routes)).
			WithField("control", from).Info("routes in force")
	}
	if r.roster.Merge(now, from, update.Servers) {
		servers := r.roster.Servers(now)
		r.placement.SetServers(servers)
		r.log.WithField("servers", len(servers)).WithField("control", from).Info("backend servers changed")
	}
	if n := len(update.RelayAddresses); n > 0 {
		r.relayCount.Store(int64(n))
		r.setPeers(update.RelayAddresses)
	}
	r.followControls(update.ControlAddresses)
}
