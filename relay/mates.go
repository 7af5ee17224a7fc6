package relay

import (
	"context"
	"slices"
	"time"

	"endivedeck.example/interval"
	"endivedeck.example/message"
	"endivedeck.example/wire"
)

const (
	// tellTime is the least time between two messages of loads to one relay:
	// a long prompt is read in about as much.
	tellTime = 20 * time.Millisecond

	// tellRate bounds the messages of loads that a relay sends in a second to
	// all others; with more relays each is told less often.
	tellRate = 500

	matePause = 500 * time.Millisecond // before a relay that can't be reached is tried again
)

// mate is another relay, which is told what this one has given to each server,
// and which prompts it has had read.
type mate struct {
	relay   *Relay
	address string
	cancel  context.CancelFunc
}

// tell has the relays at the given addresses be told loads, and no others.
func (r *Relay) tell(addresses []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ctx.Err() != nil {
		return
	}
	for address, m := range r.mates {
		if !slices.Contains(addresses, address) {
			m.cancel()
			delete(r.mates, address)
		}
	}
	for _, address := range addresses {
		if address == r.settings.PeerListen || address == "" || r.mates[address] != nil {
			continue
		}
		ctx, cancel := context.WithCancel(r.ctx)
		m := &mate{relay: r, address: address, cancel: cancel}
		r.mates[address] = m
		r.running.Add(1)
		go m.run(ctx)
	}
}

// run tells one relay until ctx is done.
func (m *mate) run(ctx context.Context) {
	defer m.relay.running.Done()
	for ctx.Err() == nil {
		if err := m.tell(ctx); err != nil && ctx.Err() == nil {
			m.relay.log.WithField("relay", m.address).WithField("error", err.Error()).Debug("no way to a relay")
		}
		interval.Wait(ctx, matePause)
	}
}

// tell tells loads until the call is lost.
func (m *mate) tell(ctx context.Context) error {
	call, err := m.relay.client.Open(ctx, m.address, message.MethodLoads, message.Nothing{})
	if err != nil {
		return err
	}
	defer call.Cancel()
	stop := context.AfterFunc(ctx, call.Cancel)
	defer stop()
	empty := true
	var next uint64 // place in the order of readings
	for {
		loads := message.Loads{Relay: m.relay.settings.PeerListen, List: m.relay.places.Loads()}
		loads.Readings, next = m.relay.places.CacheInserts(next)
		if len(loads.List)+len(loads.Readings) > 0 || !empty {
			if err := call.Send(loads); err != nil {
				return err
			}
		}
		empty = len(loads.List) == 0
		if !interval.Wait(ctx, m.relay.tellPause()) {
			return nil
		}
	}
}

// tellPause returns the time between two messages to one relay.
func (r *Relay) tellPause() time.Duration {
	return max(tellTime, time.Duration(r.relays.Load())*time.Second/tellRate)
}

// hearLoads serves message.MethodLoads until the call ends.
func (r *Relay) hearLoads(x *wire.Exchange) {
	defer x.End()
	for {
		var loads message.Loads
		if err := x.Receive(&loads); err != nil {
			return
		}
		r.places.UpdatePeer(time.Now(), loads.Relay, loads.List, loads.Readings)
	}
}
