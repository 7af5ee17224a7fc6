// Package budget bounds how often requests are sent once more.
//
// The bound holds for all relays together: within any window, a service may
// get extra arrivals up to a ratio of the requests for it and a fixed slack.
// Each relay keeps to the ratio of its own requests and an equal part of the
// slack, so that the sum keeps to the bound without a word between them.
package budget

import (
	"time"

	"endivedeck.example/rank"
)

const (
	slices = 20 // parts of a window in which arrivals are counted

	// safety is the part of the bound that is used: relays that come and go
	// know late how many share the slack.
	safety = 0.7
)

type (
	// Limit is the bound for one service over all relays.
	Limit struct {
		Ratio  float64       // extra arrivals for each request
		Slack  float64       // extra arrivals besides
		Window time.Duration // any span of this length counts
	}

	// Budget counts the arrivals at each service. Create it with New.
	Budget struct {
		bound    Limit
		mu       rank.Mutex
		services map[string]*window
	}

	window struct {
		at     int64 // the newest slice
		firsts [slices + 1]int
		extras [slices + 1]int
	}
)

// New returns a budget that keeps to bound.
func New(bound Limit) *Budget {
	return &Budget{bound: bound, mu: rank.New(rank.Admission), services: map[string]*window{}}
}

// CountRequest counts a request that is sent for the first time.
func (b *Budget) CountRequest(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(now, service)
	w.firsts[w.at%(slices+1)]++
}

// TryRetry counts one more arrival of a request and returns true, or returns
// false if the part of the bound that one of relays has doesn't allow it.
func (b *Budget) TryRetry(now time.Time, service string, relays int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(now, service)
	firsts, extras := 0, 0
	for i := range w.firsts {
		firsts += w.firsts[i]
		extras += w.extras[i]
	}
	allowed := safety * (b.bound.Ratio*float64(firsts) + b.bound.Slack/float64(max(relays, 1)))
	if float64(extras+1) > allowed {
		return false
	}
	w.extras[w.at%(slices+1)]++
	return true
}

// window returns the counts of a service, with the slices that are over
// cleared.
func (b *Budget) window(now time.Time, service string) *window {
	at := now.UnixNano() / int64(b.bound.Window/slices)
	w := b.services[service]
	if w == nil {
		w = &window{at: at}
		b.services[service] = w
	}
	if at-w.at > slices {
		*w = window{at: at}
	}
	for w.at < at {
		w.at++
		w.firsts[w.at%(slices+1)] = 0
		w.extras[w.at%(slices+1)] = 0
	}
	return w
}
