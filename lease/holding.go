package lease

import (
	"time"

	"endivedeck.example/rank"
)

// Lease is a holder's own lease. Create it with NewHolding.
type Lease struct {
	mu    rank.Mutex
	until time.Time
}

// New returns a holding without a lease.
func New() *Lease {
	return &Lease{mu: rank.New(rank.Lease)}
}

// Extend takes in a grant that was asked for at asked.
func (h *Lease) Extend(asked time.Time, length time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if until := asked.Add(length); until.After(h.until) {
		h.until = until
	}
}

// TimeLeft returns how long the lease still holds at now.
func (h *Lease) TimeLeft(now time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return max(0, h.until.Sub(now))
}

// Valid reports whether the lease holds at now.
func (h *Lease) Valid(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return now.Before(h.until)
}

// Release gives the lease up at once.
func (h *Lease) Release() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.until = time.Time{}
}
