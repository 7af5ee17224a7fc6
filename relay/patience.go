package relay

import (
	"time"

	"endivedeck.example/rank"
)

// patienceSpread is how much the times differ for which callers of one route
// wait, as a share of the longest.
const patienceSpread = 0.16

// patience knows for how long the callers of each route wait at most, and so
// which ones have waited before.
type patience struct {
	mu      rank.Mutex
	longest map[string]time.Duration // by route
}

func newPatience() *patience {
	return &patience{mu: rank.New(rank.Admission), longest: map[string]time.Duration{}}
}

// cameBack reports whether a caller that still waits for left has used up more
// of its time than callers differ in: it was refused before, and can't be
// answered in time any more. It is false for one that doesn't say.
func (p *patience) cameBack(route string, left time.Duration) bool {
	if left <= 0 {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	longest := max(p.longest[route], left)
	p.longest[route] = longest
	return left < time.Duration((1-patienceSpread)*float64(longest))
}
