package relay

import (
	"context"
	"slices"
	"time"

	"endivedeck.example/internal/fleet/shard"
	"endivedeck.example/internal/teams/share"
	"endivedeck.example/interval"
	"endivedeck.example/message"
	"endivedeck.example/placement"
	"endivedeck.example/wire"
)

const (
	// minLoadsInterval is the shortest interval between load messages to one
	// relay. The prefill of a long prompt takes about as long.
	minLoadsInterval = 20 * time.Millisecond

	// maxLoadsPerSecond limits the load messages that a relay sends to all others
	// together. With more relays, each one gets them less often.
	maxLoadsPerSecond = 500

	// maxLoadsLinkShare limits the share of the machine's link that load messages take,
	// where Settings.LinkRate is known. Requests and what control sends need the rest.
	maxLoadsLinkShare = 0.15

	// Sizes from which the size of a load message is estimated, in bytes.
	loadsOverheadBytes  = 90 // headers of the packet and of the message
	loadBytes           = 30 // load on one server
	cacheInsertBytes    = 45
	messageBytesWeight  = 0.1 // of a new message in the average size
	initialMessageBytes = 300

	peerRetryDelay = 500 * time.Millisecond // before the next attempt to reach a relay
)

// peer is another relay. It is sent the load that this relay has placed on each
// backend server, the cache insertions that it has caused there, and which servers
// leave.
type peer struct {
	relay   *Relay
	address string
	cancel  context.CancelFunc
}

// setPeers makes the relays at the given addresses the ones that are sent this
// relay's load. Its own address is ignored.
func (r *Relay) setPeers(addresses []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ctx.Err() != nil {
		return
	}
	if r.ramps != nil {
		r.ramps.SetRelays(addresses)
	}
	for address, p := range r.peers {
		if !slices.Contains(addresses, address) {
			p.cancel()
			delete(r.peers, address)
			r.placement.RemovePeer(address)
		}
	}
	for _, address := range addresses {
		if address == r.settings.PeerListen || address == "" || r.peers[address] != nil {
			continue
		}
		ctx, cancel := context.WithCancel(r.ctx)
		p := &peer{relay: r, address: address, cancel: cancel}
		r.peers[address] = p
		r.tasks.Add(1)
		go p.run(ctx)
	}
}

// run sends load messages to the peer until ctx is done.
func (p *peer) run(ctx context.Context) {
	defer p.relay.tasks.Done()
	for ctx.Err() == nil {
		if err := p.sendLoads(ctx); err != nil && ctx.Err() == nil {
			p.relay.log.WithField("relay", p.address).WithField("error", err.Error()).Debug("sending load to a relay failed")
		}
		interval.Sleep(ctx, peerRetryDelay)
	}
}

// sendLoads sends load messages over one call until it fails or ctx is done. A
// message without content is sent only after one that listed loads, to clear them.
func (p *peer) sendLoads(ctx context.Context) error {
	call, err := p.relay.client.OpenCall(ctx, p.address, message.MethodLoads, message.Empty{})
	if err != nil {
		return err
	}
	defer call.Cancel()
	stopCancel := context.AfterFunc(ctx, call.Cancel)
	defer stopCancel()
	// The peer may have just started, so it is first sent what this relay's share
	// of the backend servers have cached.
	inserts, listings := p.relay.placement.CacheSnapshot(p.relay.share())
	lastEmpty := true
	var next, nextRamp uint64 // sequence numbers of the next cache insertion and change of a ramp to report
	evidence, nextEvidence := p.relay.quarantine.Snapshot(time.Now(), p.relay.sharesPart())
	_, nextListing := p.relay.cacheSurvey.since(0)
	var nextDeparture uint64
	sent := map[string]placement.Load{}
	size := float64(initialMessageBytes) // average
	var sharesSentAt time.Time
	for {
		woken := p.relay.evidence.woken() // before the evidence is read, so that none is missed
		loads := message.RelayLoads{Relay: p.relay.settings.PeerListen, Servers: placement.LoadChanges(sent, p.relay.placement.Loads(time.Now()))}
		loads.CacheInserts, next = p.relay.placement.CacheInserts(next)
		loads.CacheListings, nextListing = p.relay.cacheSurvey.since(nextListing)
		loads.CacheInserts = append(inserts, loads.CacheInserts...)
		loads.CacheListings = append(listings, loads.CacheListings...)
		loads.Evidence, nextEvidence = p.relay.quarantine.Changes(time.Now(), nextEvidence)
		loads.Evidence = append(evidence, loads.Evidence...)
		loads.Departures, nextDeparture = p.relay.roster.Departures(time.Now(), nextDeparture)
		inserts, listings, evidence = nil, nil, nil
		if now := time.Now(); now.Sub(sharesSentAt) >= share.ReportInterval {
			loads.Shares, sharesSentAt = p.relay.placement.ShareReports(now), now
		}
		if p.relay.ramps != nil {
			loads.Ramps, nextRamp = p.relay.ramps.Reports(nextRamp)
		}
		if len(loads.Servers)+len(loads.CacheInserts)+len(loads.CacheListings)+len(loads.Evidence)+len(loads.Departures)+len(loads.Shares)+len(loads.Ramps) > 0 || !lastEmpty { // also without changes, to keep the loads in use
			if err := call.Send(loads); err != nil {
				return err
			}
		}
		lastEmpty = len(sent) == 0
		bytes := loadsOverheadBytes + loadBytes*len(loads.Servers) + cacheInsertBytes*len(loads.CacheInserts)
		p.relay.link.add(time.Now(), bytes)
		size += messageBytesWeight * (float64(bytes) - size)
		if !interval.SleepUntil(ctx, p.relay.loadsInterval(size), woken) {
			return nil
		}
	}
}

// share returns a function that reports whether a backend server is in this
// relay's share of them.
func (r *Relay) share() func(serverID string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	relays := []string{r.settings.PeerListen}
	for address := range r.peers {
		relays = append(relays, address)
	}
	return func(serverID string) bool { return shard.Owner(relays, serverID) == r.settings.PeerListen }
}

// sharesPart returns a function that reports whether a part of prompts is in this
// relay's share of them.
func (r *Relay) sharesPart() func(part uint64) bool {
	shares := r.share()
	return func(part uint64) bool { return shares(partKey(part)) }
}

// loadsInterval returns the interval between load messages of the given average size, in
// bytes, to one relay.
func (r *Relay) loadsInterval(size float64) time.Duration {
	relays := r.relayCount.Load()
	wait := max(minLoadsInterval, time.Duration(relays)*time.Second/maxLoadsPerSecond)
	if r.settings.LinkRate > 0 {
		wait = max(wait, time.Duration(float64(relays)*size/(maxLoadsLinkShare*r.settings.LinkRate)*float64(time.Second)))
	}
	return wait
}

// receiveLoads serves message.MethodLoads: it records the load of another relay
// until the call ends.
func (r *Relay) receiveLoads(call *wire.ServerCall) {
	defer call.End()
	for first := true; ; first = false {
		var loads message.RelayLoads
		if err := call.Receive(&loads); err != nil {
			return
		}
		now := time.Now()
		if r.roster.MergeDepartures(now, loads.Departures) {
			r.applyServers(now, loads.Relay)
		}
		if first {
			r.placement.UpdatePeer(now, loads.Relay, loads.Servers, loads.CacheInserts)
		} else {
			r.placement.ChangePeer(now, loads.Relay, loads.Servers, loads.CacheInserts)
		}
		if len(loads.Shares) > 0 {
			r.placement.UpdateShares(now, loads.Relay, loads.Shares)
		}
		for _, listing := range loads.CacheListings {
			r.placement.RecordListing(listing)
		}
		if r.ramps != nil {
			r.ramps.Merge(time.Now(), loads.Relay, loads.Ramps)
		}
		if len(loads.Evidence) > 0 {
			r.evidence.notify(r.quarantine.Merge(time.Now(), loads.Evidence))
			r.logTransitions()
		}
	}
}
