// Package replicas decides how many backend servers of a service run in each failure domain.
//
// The load that it answers: demand that rises within seconds, for which new servers are
// ready only after the time that they take to start; demand that swings, for which servers
// must not come and go; and a failure domain that is lost, whose share the others take.
// More servers are ordered as soon as the demand needs them, fewer once it has not needed
// them for a while.
package replicas

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// MaxOrdersPerHour bounds the orders for one failure domain of a service. Orders for fewer
	// servers leave some of them for a rise.
	MaxOrdersPerHour = 12

	maxReductionsPerHour = 6 // orders after which there is no reduction within the hour

	targetUse    = 0.6              // share of the servers' slots that is in use
	quickAverage = 2 * time.Second  // time constant of the average that is followed upwards
	minHold      = time.Minute      // for which fewer servers must suffice before they are ordered
	holdStarts   = 6                // the same in times that a server takes to start
	maxReduction = 0.25             // share of the servers that one order takes away
	lostMargin   = 10 * time.Second // beyond the time to start, after which a domain without servers is lost
	hour         = time.Hour
)

type (
	// Bounds are those of a service in each failure domain.
	Bounds struct {
		Min  int           `cbor:"1,keyasint"`
		Max  int           `cbor:"2,keyasint"`
		Boot time.Duration `cbor:"3,keyasint"` // until a new server takes requests
	}

	// Domain is a failure domain in which a service runs.
	Domain struct {
		Name    string
		Servers int // that take requests
	}

	// State is what is known of a service.
	State struct {
		Service string
		Bounds  Bounds
		Slots   int     // of a server
		Active  float64 // requests at its servers, in all domains
		Domains []Domain
	}

	// Order is an order to run a number of servers. It is a log entry as well.
	Order struct {
		Service string    `cbor:"1,keyasint"`
		Domain  string    `cbor:"2,keyasint"`
		Servers int       `cbor:"3,keyasint"`
		At      time.Time `cbor:"4,keyasint"` // set by the leader
	}

	// Subject is what orders are about.
	Subject struct {
		Service string `cbor:"1,keyasint"`
		Domain  string `cbor:"2,keyasint"`
	}

	// Record has the latest orders about a subject.
	Record struct {
		Subject Subject     `cbor:"1,keyasint"`
		Servers int         `cbor:"2,keyasint"` // ordered last
		Times   []time.Time `cbor:"3,keyasint"` // of the orders within the last hour, oldest first
	}

	// Store is the replicated state. Create it with new(Store).
	Store struct {
		Records []Record `cbor:"1,keyasint,omitempty"` // ordered by subject
	}

	// Policy follows the demand for one service. Create it with New.
	Policy struct {
		average  float64 // of the requests at the servers
		at       time.Time
		needs    []need               // of the hold time, oldest first
		lastSeen map[string]time.Time // of servers in a domain
	}

	// need is the number of servers that the demand needed at a time.
	need struct {
		at      time.Time
		servers int
	}
)

// Apply records an order.
func (s *Store) Apply(o Order) {
	subject := Subject{Service: o.Service, Domain: o.Domain}
	i, found := slices.BinarySearchFunc(s.Records, subject, func(r Record, subject Subject) int { return compareSubjects(r.Subject, subject) })
	records := slices.Clone(s.Records) // readers may hold the other
	if !found {
		records = slices.Insert(records, i, Record{Subject: subject})
	}
	r := Record{Subject: subject, Servers: o.Servers}
	for _, at := range records[i].Times {
		if o.At.Sub(at) < hour {
			r.Times = append(r.Times, at)
		}
	}
	r.Times = append(r.Times, o.At)
	records[i] = r
	s.Records = records
}

// Find returns the record of a subject, and false if nothing was ordered.
func (s *Store) Find(service, domain string) (Record, bool) {
	subject := Subject{Service: service, Domain: domain}
	i, found := slices.BinarySearchFunc(s.Records, subject, func(r Record, subject Subject) int { return compareSubjects(r.Subject, subject) })
	if !found {
		return Record{}, false
	}
	return s.Records[i], true
}

func compareSubjects(a, b Subject) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Domain, b.Domain))
}

// New returns a policy that knows nothing of the past.
func New() *Policy { return &Policy{lastSeen: map[string]time.Time{}} }

// Decide returns the orders that the state calls for at the time of day now, given those
// before. It is called every second or so.
func (p *Policy) Decide(now time.Time, s State, before *Store) []Order {
	if s.Bounds.Max <= 0 || s.Slots <= 0 || len(s.Domains) == 0 {
		return nil
	}
	up, down := p.follow(now, s)
	alive := p.alive(now, s)
	var orders []Order
	for _, d := range alive {
		more := s.Bounds.clamp(share(up, len(alive)))
		fewer := s.Bounds.clamp(share(down, len(alive)))
		record, ordered := before.Find(s.Service, d.Name)
		current := record.Servers
		if !ordered {
			current = d.Servers
		}
		recent := record.recent(now)
		wanted := current
		switch {
		case more > current && len(recent) < MaxOrdersPerHour && settled(recent, now, s.Bounds.Boot/2):
			wanted = more
		case fewer < current && len(recent) < maxReductionsPerHour && settled(recent, now, s.Bounds.hold()):
			wanted = max(fewer, current-max(1, int(float64(current)*maxReduction)))
		}
		if wanted != current {
			orders = append(orders, Order{Service: s.Service, Domain: d.Name, Servers: wanted})
		}
	}
	return orders
}

// follow updates the averages, and returns the numbers of servers that the demand needs now and
// the greatest that it needed within the hold time. The second is without a value, as many as
// there may be, until that time has been seen.
func (p *Policy) follow(now time.Time, s State) (up, down int) {
	if p.at.IsZero() {
		p.average = s.Active
	} else {
		weight := 1 - math.Exp(-now.Sub(p.at).Seconds()/quickAverage.Seconds())
		p.average += (s.Active - p.average) * max(weight, 0)
	}
	p.at = now
	up = int(math.Ceil(p.average / (float64(s.Slots) * targetUse)))
	p.needs = append(p.needs, need{at: now, servers: up})
	hold := s.Bounds.hold()
	seen := now.Sub(p.needs[0].at) >= hold
	p.needs = slices.DeleteFunc(p.needs, func(n need) bool { return now.Sub(n.at) > hold })
	if !seen {
		return up, math.MaxInt
	}
	for _, n := range p.needs {
		down = max(down, n.servers)
	}
	return up, down
}

// alive returns the domains that aren't lost. If all are, nothing is known, and all are returned.
func (p *Policy) alive(now time.Time, s State) []Domain {
	var alive []Domain
	for _, d := range s.Domains {
		seen, known := p.lastSeen[d.Name]
		if d.Servers > 0 || !known {
			p.lastSeen[d.Name] = now
			seen = now
		}
		if now.Sub(seen) <= s.Bounds.Boot+lostMargin {
			alive = append(alive, d)
		}
	}
	if len(alive) == 0 {
		return s.Domains
	}
	return alive
}

// recent returns the times of the orders within the last hour.
func (r Record) recent(now time.Time) []time.Time {
	i := slices.IndexFunc(r.Times, func(at time.Time) bool { return now.Sub(at) < hour })
	if i < 0 {
		return nil
	}
	return r.Times[i:]
}

// settled reports whether the latest order is at least some time ago.
func settled(recent []time.Time, now time.Time, since time.Duration) bool {
	return len(recent) == 0 || now.Sub(recent[len(recent)-1]) >= since
}

func (b Bounds) clamp(servers int) int { return min(max(servers, b.Min), b.Max) }

// hold returns the time for which fewer servers must suffice before they are ordered.
func (b Bounds) hold() time.Duration { return max(minHold, holdStarts*b.Boot) }

// share returns the number of servers in each of some domains.
func share(servers, domains int) int { return servers/domains + min(servers%domains, 1) }
