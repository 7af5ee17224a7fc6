package relay

import (
	"sync/atomic"
	"time"

	"endivedeck.example/message"
)

// currency tells how old the routes in force may be: the newest time at which a control
// instance that sends updates was known to have the current ones.
type currency struct {
	at atomic.Pointer[time.Time] // nil before the first
}

// confirm records an update that was received at now.
func (c *currency) confirm(now time.Time, update message.RelayUpdate) {
	if !update.Current {
		return
	}
	at := now.Add(-update.Age)
	for {
		old := c.at.Load()
		if old != nil && !at.After(*old) || c.at.CompareAndSwap(old, &at) {
			return
		}
	}
}

// within reports whether the routes were current at most limit before now.
func (c *currency) within(now time.Time, limit time.Duration) bool {
	at := c.at.Load()
	return at != nil && now.Sub(*at) <= limit
}

// keysMayBeWithdrawn reports whether a key that the routes in force have may have been
// withdrawn for longer than Settings.RevocationLimit.
func (r *Relay) keysMayBeWithdrawn(now time.Time) bool {
	limit := r.settings.RevocationLimit.Std()
	return limit > 0 && !r.currency.within(now, limit)
}
