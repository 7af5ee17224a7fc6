// Package share divides the time of a service's engines among teams while there is
// less of it than they ask for.
//
// The load patterns that it answers are a team that floods the service, and mixes that
// turn, so that a team needs at one moment what it has left to others before. As long as
// each request can be served in time nothing is limited. Under pressure the time that
// the engines give is shared max-min fairly by weight: no team gets less than it asks
// for while another gets more than its share. Requests beyond a share aren't refused
// for it; they yield to the others, so whatever those leave is used.
//
// Each relay sees a part of the traffic, and relays tell each other what they have seen.
// Shares follow from the sums, and each relay lets the same fraction of a team's requests
// through, so that these add up to the share wherever the requests come in. A team is
// never further from its share than by what was asked in averagingTime plus the age of
// the reports (ReportInterval, PeerTTL at most while a relay can't be reached), and by
// one request for each relay; what it has left to others it gets back in that time.
//
// The package performs no I/O, has no goroutines and takes the time as a parameter. A
// Table is not safe for concurrent use.
package share

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strings"
	"time"
)

const (
	// ReportInterval is the interval between the reports of a relay to another one.
	ReportInterval = 100 * time.Millisecond

	// PeerTTL is how long the report of another relay is used.
	PeerTTL = time.Second

	// PressedWait is the part of the usual wait from which there is pressure.
	PressedWait = 0.5

	averagingTime    = 400 * time.Millisecond // time constant of the rates
	pressureDuration = time.Second            // after the last request that would have waited for long
	divideInterval   = 50 * time.Millisecond  // for which the fractions are kept
	minRate          = 1e-4                   // engine seconds per second; a team with less is forgotten
	minLowerFraction = 0.25                   // of the engines' time, that teams of lower ranks keep together
	quietInterval    = 10 * averagingTime     // after which a rate is nearly 0
	initialCredit    = 0.5                    // so that a team's first request beyond its share waits as long on average as later ones
	defaultWeight    = 1.0
	// Parts of the usual wait that requests may have under pressure: those of teams that
	// get what they ask for, and those within the share of teams that ask for more. The
	// difference is room that the queue keeps for the former.
	roomyWait = 1.3
	tightWait = 1.0
)

type (
	// Weights tells how much of a service a team is due, relative to the others.
	Weights interface {
		// Weight returns the weight of a team; 0 or less stands for the usual one.
		Weight(team string) float64
	}

	// Ask is a request for the time of engines.
	Ask struct {
		Service string
		Team    string
		Rank    int           // 0 is the highest
		Work    time.Duration // engine time that the request takes
	}

	// Report tells other relays what one has seen of a service under pressure.
	Report struct {
		Service string  `cbor:"1,keyasint"`
		Given   float32 `cbor:"2,keyasint"` // engine seconds per second of the requests that were placed
		Teams   []Claim `cbor:"3,keyasint"`
		Pressed bool    `cbor:"4,keyasint"` // the relay itself has requests that would wait for long
	}

	// Claim is what the requests of a team and rank ask for.
	Claim struct {
		Team  string  `cbor:"1,keyasint"`
		Rank  int     `cbor:"2,keyasint"`
		Asked float32 `cbor:"3,keyasint"` // engine seconds per second
	}

	// Table divides the engines of all services. Create it with New.
	Table struct {
		weights  Weights
		services map[string]*service
		peers    map[string]peer // by relay
	}

	peer struct {
		receivedAt time.Time
		reports    []Report
	}

	service struct {
		given     rate
		claims    map[claimant]*claim
		pressedAt time.Time // latest request that would have waited for long; zero if there was none
		heardAt   time.Time // latest report of such requests at another relay
		dividedAt time.Time
	}

	claimant struct {
		team string
		rank int
	}

	claim struct {
		asked    rate
		fraction float64 // of the requests that are within the share
		credit   float64 // a request is within the share once this is 1
	}

	// rate is a decaying average of engine seconds per second.
	rate struct {
		value float64
		at    time.Time
	}

	// part is what one claimant asks of all relays.
	part struct {
		claimant
		weight float64
		asked  float64
		due    float64
	}
)

// New returns a table without claims.
func New(weights Weights) *Table {
	return &Table{weights: weights, services: map[string]*service{}, peers: map[string]peer{}}
}

// Allow counts what a request asks for, and returns the part of the usual wait that the
// request may have: all of it if there is no pressure; roomyWait if the team gets what it
// asks for; tightWait if the request is within the share of a team that asks for more; and
// 0 if it is beyond the share.
func (t *Table) Allow(now time.Time, ask Ask) float64 {
	s := t.service(ask.Service)
	key := claimant{ask.Team, ask.Rank}
	c := s.claims[key]
	if c == nil {
		c = &claim{fraction: 1, credit: initialCredit}
		s.claims[key] = c
	}
	c.asked.add(now, ask.Work)
	if !s.pressed(now) {
		c.fraction, c.credit = 1, initialCredit
		return 1
	}
	if now.Sub(s.dividedAt) >= divideInterval {
		s.dividedAt = now
		t.divide(now, ask.Service, s)
	}
	wait, credit := c.wait()
	c.credit = credit
	return wait
}

// Expect returns what Allow would return by what is known now, and records nothing.
func (t *Table) Expect(now time.Time, ask Ask) float64 {
	s := t.services[ask.Service]
	if s == nil || !s.pressed(now) || s.claims[claimant{ask.Team, ask.Rank}] == nil {
		return 1
	}
	wait, _ := s.claims[claimant{ask.Team, ask.Rank}].wait()
	return wait
}

// wait returns what Allow returns while there is too little room, and the credit that is
// left after that.
func (c *claim) wait() (wait, credit float64) {
	if c.fraction >= 1 {
		return roomyWait, c.credit
	}
	credit = c.credit + c.fraction
	if credit < 1 {
		return 0, credit
	}
	return tightWait, credit - 1
}

// Given counts a request that was placed.
func (t *Table) Given(now time.Time, service string, work time.Duration) {
	t.service(service).given.add(now, work)
}

// Press records that a request to a service would have waited longer than PressedWait.
func (t *Table) Press(now time.Time, service string) { t.service(service).pressedAt = now }

// Pressed reports whether a service is under pressure, as far as this relay has seen.
func (t *Table) Pressed(now time.Time, service string) bool {
	s := t.services[service]
	return s != nil && s.pressed(now)
}

// Fraction returns the part of a team's requests that is within its share.
func (t *Table) Fraction(now time.Time, service, team string, rank int) float64 {
	s := t.services[service]
	if s == nil || !s.pressed(now) || s.claims[claimant{team, rank}] == nil {
		return 1
	}
	return s.claims[claimant{team, rank}].fraction
}

// Reports returns what the other relays need to know: nothing of services that aren't
// under pressure here.
func (t *Table) Reports(now time.Time) []Report {
	var list []Report
	for name, s := range t.services {
		if !s.pressed(now) {
			continue
		}
		r := Report{Service: name, Given: float32(s.given.now(now)), Pressed: recent(now, s.pressedAt)}
		for key, c := range s.claims {
			if asked := c.asked.now(now); asked >= minRate {
				r.Teams = append(r.Teams, Claim{Team: key.team, Rank: key.rank, Asked: float32(asked)})
			} else {
				delete(s.claims, key)
			}
		}
		slices.SortFunc(r.Teams, func(a, b Claim) int { return compare(claimant{a.Team, a.Rank}, claimant{b.Team, b.Rank}) })
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b Report) int { return strings.Compare(a.Service, b.Service) })
	return list
}

// UpdatePeer records the reports of another relay. They replace those that it sent
// before.
func (t *Table) UpdatePeer(now time.Time, relay string, reports []Report) {
	t.peers[relay] = peer{receivedAt: now, reports: reports}
	for _, r := range reports {
		if r.Pressed {
			t.service(r.Service).heardAt = now
		}
	}
}

// RemovePeer removes the reports of a relay that has left.
func (t *Table) RemovePeer(relay string) { delete(t.peers, relay) }

// Retain forgets the services that aren't among names.
func (t *Table) Retain(names map[string]bool) {
	for name := range t.services {
		if !names[name] {
			delete(t.services, name)
		}
	}
}

func (t *Table) service(name string) *service {
	s := t.services[name]
	if s == nil {
		s = &service{claims: map[claimant]*claim{}}
		t.services[name] = s
	}
	return s
}

func (s *service) pressed(now time.Time) bool {
	return recent(now, s.pressedAt) || recent(now, s.heardAt)
}

func recent(now, pressedAt time.Time) bool {
	return !pressedAt.IsZero() && now.Sub(pressedAt) < pressureDuration
}

// divide sets the fractions of the claims of this relay.
func (t *Table) divide(now time.Time, name string, s *service) {
	given := s.given.now(now)
	asked := map[claimant]float64{}
	for key, c := range s.claims {
		asked[key] = c.asked.now(now)
	}
	for _, relay := range slices.Sorted(maps.Keys(t.peers)) { // sums are the same in each run
		p := t.peers[relay]
		if now.Sub(p.receivedAt) > PeerTTL {
			continue
		}
		for _, r := range p.reports {
			if r.Service != name {
				continue
			}
			given += float64(r.Given)
			for _, c := range r.Teams {
				asked[claimant{c.Team, c.Rank}] += float64(c.Asked)
			}
		}
	}
	parts := make([]*part, 0, len(asked))
	for key, rate := range asked {
		weight := t.weights.Weight(key.team)
		if weight <= 0 {
			weight = defaultWeight
		}
		parts = append(parts, &part{claimant: key, weight: weight, asked: rate})
	}
	divideByRank(given, parts)
	for _, p := range parts {
		if c := s.claims[p.claimant]; c != nil {
			c.fraction = 1
			if p.asked > p.due {
				c.fraction = p.due / p.asked
			}
		}
	}
}

// divideByRank sets what is due to each part of an amount. Higher ranks go first, but for
// minLowerFraction of the amount, which the ranks below keep if they ask for it.
func divideByRank(amount float64, parts []*part) {
	slices.SortFunc(parts, func(a, b *part) int { return compare(a.claimant, b.claimant) })
	for len(parts) > 0 {
		n := 0
		for n < len(parts) && parts[n].rank == parts[0].rank {
			n++
		}
		below := 0.0
		for _, p := range parts[n:] {
			below += p.asked
		}
		amount -= divideFairly(amount-min(below, minLowerFraction*amount), parts[:n])
		parts = parts[n:]
	}
}

// divideFairly sets what is due to each part so that nobody gets more than it asks for,
// and who gets less has as much for its weight as anyone. It returns the sum.
func divideFairly(amount float64, parts []*part) float64 {
	slices.SortStableFunc(parts, func(a, b *part) int { return cmp.Compare(a.asked/a.weight, b.asked/b.weight) })
	weight, sum := 0.0, 0.0
	for _, p := range parts {
		weight += p.weight
	}
	for _, p := range parts {
		p.due = min(p.asked, max(amount-sum, 0)*p.weight/weight)
		sum += p.due
		weight -= p.weight
	}
	return sum
}

// compare orders claimants by rank and name.
func compare(a, b claimant) int {
	return cmp.Or(a.rank-b.rank, strings.Compare(a.team, b.team))
}

func (r *rate) add(now time.Time, work time.Duration) {
	r.value = r.now(now) + work.Seconds()/averagingTime.Seconds()
	r.at = now
}

func (r *rate) now(now time.Time) float64 {
	age := now.Sub(r.at)
	if r.value == 0 || age > quietInterval {
		return 0
	}
	return r.value * math.Exp(-age.Seconds()/averagingTime.Seconds())
}
