package lease

import (
	"time"

	"endivedeck.example/rank"
)

// Lease is the holder's view of its own lease.
type Lease struct {
	mu        rank.Mutex
	expiresAt time.Time
}

// New returns a lease that has not been granted yet.
func New() *Lease {
	return &Lease{mu: rank.New(rank.Lease)}
}

// Extend extends the lease by a grant. The lease runs from the time at which the
// grant was requested. A grant that would end earlier than the lease is ignored.
func (h *Lease) Extend(requestedAt time.Time, ttl time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if expiresAt := requestedAt.Add(ttl); expiresAt.After(h.expiresAt) {
		h.expiresAt = expiresAt
	}
}

// TimeLeft returns the remaining time of the lease, or 0 if it has expired.
func (h *Lease) TimeLeft(now time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return max(0, h.expiresAt.Sub(now))
}

// Valid reports whether the lease is valid at now.
func (h *Lease) Valid(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return now.Before(h.expiresAt)
}

// Release ends the lease at once.
func (h *Lease) Release() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.expiresAt = time.Time{}
}
