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
func (l *Lease) Extend(requestedAt time.Time, ttl time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if expiresAt := requestedAt.Add(ttl); expiresAt.After(l.expiresAt) {
		l.expiresAt = expiresAt
	}
}

// TimeLeft returns the remaining time of the lease, or 0 if it has expired.
func (l *Lease) TimeLeft(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(0, l.expiresAt.Sub(now))
}

// Valid reports whether the lease is valid at now.
func (l *Lease) Valid(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Before(l.expiresAt)
}

// Release ends the lease at once.
func (l *Lease) Release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expiresAt = time.Time{}
}
