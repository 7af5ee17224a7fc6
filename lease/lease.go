package lease

import (
	"time"

	"endivedeck.example/rank"
)

// Holding is the holder's view of its own lease.
type Holding struct {
	mu        rank.Mutex
	expiresAt time.Time
}

// NewHolding returns a lease that has not been granted yet.
func NewHolding() *Holding {
	return &Holding{mu: rank.New(rank.Lease)}
}

// Extend extends the lease by a grant. The lease runs from the time at which the
// grant was requested. A grant that would end earlier than the lease is ignored.
func (h *Holding) Extend(requestedAt time.Time, ttl time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if expiresAt := requestedAt.Add(ttl); expiresAt.After(h.expiresAt) {
		h.expiresAt = expiresAt
	}
}

// Left returns the remaining time of the lease, or 0 if it has expired.
func (h *Holding) Left(now time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return max(0, h.expiresAt.Sub(now))
}

// Held reports whether the lease is valid at now.
func (h *Holding) Held(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return now.Before(h.expiresAt)
}

// Drop ends the lease at once.
func (h *Holding) Drop() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.expiresAt = time.Time{}
}
