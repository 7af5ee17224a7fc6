package lease

import (
	"time"

	"endivedeck.example/rank"
)

// Holding is a holder's own lease. Create it with NewHolding.
type Holding struct {
	mu    rank.Mutex
	until time.Time
}

// NewHolding returns a holding without a lease.
func NewHolding() *Holding {
	return &Holding{mu: rank.New(rank.Lease)}
}

// Extend takes in a grant that was asked for at asked.
func (h *Holding) Extend(asked time.Time, length time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if until := asked.Add(length); until.After(h.until) {
		h.until = until
	}
}

// Left returns how long the lease still holds at now.
func (h *Holding) Left(now time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return max(0, h.until.Sub(now))
}

// Held reports whether the lease holds at now.
func (h *Holding) Held(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return now.Before(h.until)
}

// Drop gives the lease up at once.
func (h *Holding) Drop() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.until = time.Time{}
}
