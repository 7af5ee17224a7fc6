package relay

import (
	"time"

	"endivedeck.example/rank"
)

const (
	// patienceSpread is how much the times differ for which callers of one
	// route wait, as a share of the longest.
	patienceSpread = 0.16

	// patienceTime is how long the longest wait counts: many callers come in
	// it, and a route whose callers wait less than before is learnt soon.
	patienceTime = 20 * time.Second
)

type (
	// patience knows for how long the callers of each route wait at most, and
	// so which ones have waited before.
	patience struct {
		mu     rank.Mutex
		routes map[string]*longest // by name
	}

	// longest is the longest wait of a route's callers in this stretch of
	// patienceTime and the one before.
	longest struct {
		since  time.Time
		now    time.Duration
		before time.Duration
	}
)

func newPatience() *patience {
	return &patience{mu: rank.New(rank.Admission), routes: map[string]*longest{}}
}

// cameBack reports whether a caller that still waits for left has used up more
// of its time than callers differ in: it was refused before, and can't be
// answered in time any more.
func (p *patience) cameBack(now time.Time, route string, left time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.routes[route]
	if l == nil {
		l = &longest{since: now}
		p.routes[route] = l
	}
	if age := now.Sub(l.since); age > patienceTime {
		l.before = l.now
		if age > 2*patienceTime {
			l.before = 0
		}
		l.now = 0
		l.since = now
	}
	l.now = max(l.now, left)
	return left < time.Duration((1-patienceSpread)*float64(max(l.now, l.before)))
}

// retain forgets the routes that aren't among the names.
func (p *patience) retain(names map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name := range p.routes {
		if !names[name] {
			delete(p.routes, name)
		}
	}
}
