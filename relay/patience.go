package relay

import (
	"time"

	"endivedeck.example/rank"
)

// patience knows for how long the callers of each route wait at most, and so
// how long one that tries again has waited before.
type patience struct {
	mu      rank.Mutex
	longest map[string]time.Duration // by route
}

func newPatience() *patience {
	return &patience{mu: rank.New(rank.Admission), longest: map[string]time.Duration{}}
}

// waited returns for how long a caller that still waits for left, or 0 if it
// doesn't say, has waited already. It is 0 for a route's most patient callers.
func (p *patience) waited(route string, left time.Duration) time.Duration {
	if left <= 0 {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	longest := max(p.longest[route], left)
	p.longest[route] = longest
	return longest - left
}
