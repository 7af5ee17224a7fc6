package relay

import (
	"context"
	"time"

	"endivedeck.example/interval"
	"endivedeck.example/message"
)

const (
	followPause = 200 * time.Millisecond // before a control instance is asked again
	sourceMost  = 64                     // control instances that are followed; DEVELOPERS.md allows 34
)

// source is a control instance that the relay follows.
type source struct {
	relay   *Relay
	address string
	lost    bool // it was reported as lost
}

// follow follows control instances that aren't yet.
func (r *Relay) follow(addresses []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ctx.Err() != nil {
		return
	}
	for _, address := range addresses {
		if r.sources[address] != nil || len(r.sources) >= sourceMost {
			continue
		}
		s := &source{relay: r, address: address}
		r.sources[address] = s
		r.running.Add(1)
		go s.run(r.ctx)
	}
}

// run follows one control instance until the relay stops.
func (s *source) run(ctx context.Context) {
	defer s.relay.running.Done()
	for ctx.Err() == nil {
		err := s.listen(ctx)
		s.relay.roster.Disconnected(s.address)
		if err != nil && !s.lost && ctx.Err() == nil {
			s.lost = true
			s.relay.log.WithField("control", s.address).WithField("error", err.Error()).Warn("control instance lost")
		}
		interval.Wait(ctx, followPause)
	}
}

// listen takes in what the instance tells until the call ends.
func (s *source) listen(ctx context.Context) error {
	version, _ := s.relay.view.Version()
	ask := message.Follow{Relay: s.relay.host.Process.Instance, Version: version, Address: s.relay.settings.PeerListen}
	call, err := s.relay.client.Open(ctx, s.address, message.MethodNews, ask)
	if err != nil {
		return err
	}
	defer call.Cancel()
	stop := context.AfterFunc(ctx, call.Cancel)
	defer stop()
	for {
		var news message.News
		if err := call.Receive(&news); err != nil {
			return err
		}
		if s.lost {
			s.lost = false
			s.relay.log.WithField("control", s.address).Info("control instance is back")
		}
		s.relay.take(time.Now(), s.address, news)
	}
}

// take takes in what a control instance tells.
func (r *Relay) take(now time.Time, from string, news message.News) {
	if news.Routes != nil && r.view.Install(*news.Routes) {
		names := r.view.RouteNames()
		r.places.Configure(r.view.Engines(), names)
		r.patience.retain(names)
		r.log.WithField("version", news.Routes.Version).WithField("routes", len(news.Routes.Routes)).
			WithField("control", from).Info("routes in force")
	}
	if r.roster.Merge(now, from, news.Servers) {
		servers := r.roster.Servers(now)
		r.places.SetServers(servers)
		r.log.WithField("servers", len(servers)).WithField("control", from).Info("backend servers changed")
	}
	if n := len(news.Relays); n > 0 {
		r.relays.Store(int64(n))
		r.tell(news.Relays)
	}
	r.follow(news.Members)
}
