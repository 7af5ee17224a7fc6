package ramp

import (
	"maps"
	"math"
	"slices"
	"sync/atomic"
	"time"

	"endivedeck.example/internal/fleet/shard"
	"endivedeck.example/rank"
)

const (
	learnTime  = 2 * time.Second // after the first list of servers, in which servers that are new to this relay aren't new to others
	maxChanges = 256             // kept until Changes is called
	maxEnded   = 256             // servers whose ramps have ended lately, for reports
)

type (
	// Fleet holds the ramps of all servers that a relay knows. Create it with New.
	Fleet struct {
		relay string // name of this relay

		mu      rank.Mutex
		relays  []string         // all, including this one
		places  map[string]int   // of this relay in the order for each server; computed when needed
		ramps   map[string]*Ramp // by server ID, ended ones included
		firstAt time.Time        // of the first list of servers
		changed uint64           // sequence number of the latest change of a ramp; from 1 on
		ended   []string         // servers whose ramps have ended by what this relay has seen, oldest first
		changes []Change
		dropped uint64 // changes that weren't kept

		paced atomic.Pointer[map[string]bool] // servers whose ramps haven't ended
	}

	// Server is one start of a server.
	Server struct {
		ID    string
		Start int64
	}

	// Report is what a relay tells others about a server's pace.
	Report struct {
		Server string  `cbor:"1,keyasint"` // ID
		Start  int64   `cbor:"2,keyasint"`
		Round  int     `cbor:"3,keyasint"` // as Ramp.Round
		Epoch  int     `cbor:"4,keyasint"`
		Base   int     `cbor:"5,keyasint"` // limit at the begin of the epoch
		Held   int     `cbor:"6,keyasint"` // answers of the sender that held in it
		Floor  float64 `cbor:"7,keyasint"` // as Ramp.Floor
		Last   float64 `cbor:"8,keyasint"` // latest ratio that the sender has measured
		Seen   int     `cbor:"9,keyasint"` // ratios that it has measured
		Ended  bool    `cbor:"10,keyasint,omitempty"`
	}

	// Change is a change of a server's pace.
	Change struct {
		Server string
		Kind   ChangeKind
		Limit  int // requests
		Round  int
		Epoch  int
		Floor  float64
		Ratio  float64
		Sample Sample // that decided it; empty if none did
		Relay  string // whose report decided it; empty if none did
	}

	// ChangeKind is what a change does to the pace.
	ChangeKind string
)

// Kinds of changes.
const (
	none    ChangeKind = ""
	Begun   ChangeKind = "begun"
	Reduced ChangeKind = "reduced"
	Slow    ChangeKind = "slow"    // the server is slow by nature
	Adopted ChangeKind = "adopted" // from another relay's report
	Ended   ChangeKind = "ended"
)

// New returns the ramps of a relay that knows no servers yet.
func New(relay string) *Fleet {
	f := &Fleet{relay: relay, mu: rank.New(rank.Backend), changed: 1, relays: []string{relay}, places: map[string]int{}, ramps: map[string]*Ramp{}}
	f.paced.Store(&map[string]bool{})
	return f
}

// SetRelays sets the relays that share the limits. The list needn't hold this one.
func (f *Fleet) SetRelays(relays []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	next := slices.Clone(relays)
	if !slices.Contains(next, f.relay) {
		next = append(next, f.relay)
	}
	slices.Sort(next)
	if !slices.Equal(next, f.relays) {
		f.relays, f.places = next, map[string]int{}
	}
}

// SetServers sets the servers in use. One that is new, or has started anew, is paced,
// unless the relay is just learning which servers there are.
func (f *Fleet) SetServers(now time.Time, list []Server) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.firstAt.IsZero() && len(list) > 0 {
		f.firstAt = now
	}
	learned := now.Sub(f.firstAt) >= learnTime
	ramps := make(map[string]*Ramp, len(list))
	for _, s := range list {
		r := f.ramps[s.ID]
		if r == nil || r.Start != s.Start {
			r = &Ramp{Start: s.Start, Floor: 1, Ended: true, Seen: map[string]int{}}
			if learned {
				r.begin(now, 1)
				f.changed++
				r.changed = f.changed
				f.record(Change{Server: s.ID, Kind: Begun}, r)
			}
		}
		ramps[s.ID] = r
	}
	f.ramps = ramps
	maps.DeleteFunc(f.places, func(server string, _ int) bool { return ramps[server] == nil })
	f.update()
}

// Paced returns the servers that are paced. The map must not be changed.
func (f *Fleet) Paced() map[string]bool { return *f.paced.Load() }

// Pace returns what this relay may do at a server. Where the limit is less than the
// number of relays, only some have a share.
func (f *Fleet) Pace(server string, peers Peers) Pace {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.ramps[server]
	if r == nil || r.Ended {
		return Pace{Share: math.MaxInt, Ratio: 1}
	}
	pace := Pace{Share: math.MaxInt, Trials: f.portion(server, firstLimit), Ratio: max(r.Ratio, 1)}
	if limit := r.Limit(peers); limit < peers.end() {
		pace.Share = f.portion(server, limit)
		pace.Trials = pace.Share
	}
	return pace
}

// portion returns this relay's part of a number of requests.
func (f *Fleet) portion(server string, requests int) int {
	portion := requests / len(f.relays)
	if f.position(server) < requests%len(f.relays) {
		portion++
	}
	return portion
}

// position returns the place of this relay in an order of all that differs by server.
func (f *Fleet) position(server string) int {
	place, known := f.places[server]
	if known {
		return place
	}
	place = shard.Place(f.relays, f.relay, server)
	f.places[server] = place
	return place
}

// Observe takes account of what a request has shown about a server.
func (f *Fleet) Observe(now time.Time, server string, s Sample) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.ramps[server]
	if r == nil {
		return
	}
	kind := r.observe(now, f.relay, s)
	if !r.Ended || kind == Ended {
		f.changed++
		r.changed = f.changed
	}
	if kind == none {
		return
	}
	if kind == Ended {
		f.ended = append(f.ended[max(len(f.ended)-maxEnded+1, 0):], server)
	}
	f.record(Change{Server: server, Kind: kind, Sample: s}, r)
	f.update()
}

// Reports returns what this relay has seen of paced servers since sequence number since,
// and the sequence number to go on with. With 0 it returns all that it knows of them, for
// a relay that has just started.
func (f *Fleet) Reports(since uint64) (list []Report, next uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id := range *f.paced.Load() {
		if r := f.ramps[id]; since == 0 || r.changed > since {
			list = append(list, f.report(id, r))
		}
	}
	for _, id := range f.ended {
		if r := f.ramps[id]; r != nil && r.Ended && r.changed > since {
			list = append(list, f.report(id, r))
		}
	}
	return list, f.changed
}

func (f *Fleet) report(id string, r *Ramp) Report {
	return Report{
		Server: id, Start: r.Start, Round: r.Round, Epoch: r.Epoch, Base: r.Base, Held: r.Held[f.relay],
		Floor: r.Floor, Last: r.Last, Seen: r.Seen[f.relay], Ended: r.Ended,
	}
}

// Merge takes account of the reports of another relay.
func (f *Fleet) Merge(now time.Time, relay string, reports []Report) {
	if len(reports) == 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	changed := false
	for _, p := range reports {
		r := f.ramps[p.Server]
		if r == nil {
			continue
		}
		if kind := r.merge(now, relay, p); kind != none {
			f.record(Change{Server: p.Server, Kind: kind, Relay: relay}, r)
			changed = true
		}
	}
	if changed {
		f.update()
	}
}

// Changes returns the changes since the last call, and how many of them weren't kept.
func (f *Fleet) Changes() (changes []Change, dropped uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	changes, dropped = f.changes, f.dropped
	f.changes, f.dropped = nil, 0
	return changes, dropped
}

// record keeps a change, with the state after it.
func (f *Fleet) record(c Change, r *Ramp) {
	if len(f.changes) >= maxChanges {
		f.dropped++
		return
	}
	c.Limit, c.Round, c.Epoch, c.Floor, c.Ratio = r.found(), r.Round, r.Epoch, r.Floor, r.Ratio
	f.changes = append(f.changes, c)
}

// update renews the set of servers that are paced.
func (f *Fleet) update() {
	paced := map[string]bool{}
	for id, r := range f.ramps {
		if !r.Ended {
			paced[id] = true
		}
	}
	if !maps.Equal(paced, *f.paced.Load()) {
		f.paced.Store(&paced)
	}
}
