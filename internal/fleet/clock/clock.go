// Package clock estimates the time of day from the clocks of several instances, of which
// some may be wrong.
//
// An instance compares its own clock and those that others show in their messages with
// its steady clock, and takes the median. Between two observations time passes by the
// steady clock, so a jump of the own clock has no effect before the next one, and little
// after it.
package clock

import (
	"slices"
	"sync/atomic"
	"time"

	"endivedeck.example/rank"
)

// maxAge is the time after which an observation no longer counts.
const maxAge = 10 * time.Second

type (
	// Clock is an estimate of the time of day. Create it with New.
	Clock struct {
		origin   time.Time    // of the steady clock
		estimate atomic.Int64 // the time of day at origin, Unix nanoseconds

		mu      rank.Mutex
		sources map[string]observation
	}

	// observation is what the clock of another instance showed.
	observation struct {
		at       time.Time // when it was observed
		atOrigin int64     // what the clock would have shown at Clock.origin, Unix nanoseconds
	}
)

// New returns a clock that shows the time of this instance until others are observed.
func New(now time.Time) *Clock {
	c := &Clock{origin: now, mu: rank.New(rank.Fleet), sources: map[string]observation{}}
	c.estimate.Store(now.UnixNano())
	return c
}

// Observe records that the clock of another instance showed the time shown at about now.
func (c *Clock) Observe(now time.Time, source string, shown time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sources[source] = observation{at: now, atOrigin: c.atOrigin(now, shown)}
	times := []int64{c.atOrigin(now, now)}
	for name, o := range c.sources {
		if now.Sub(o.at) > maxAge {
			delete(c.sources, name)
			continue
		}
		times = append(times, o.atOrigin)
	}
	slices.Sort(times)
	c.estimate.Store(times[len(times)/2])
}

// Time returns the estimated time of day at the time now of this instance's steady clock.
func (c *Clock) Time(now time.Time) time.Time {
	return time.Unix(0, c.estimate.Load()).Add(now.Sub(c.origin))
}

// atOrigin returns what a clock that shows the time shown at now would have shown at the origin.
func (c *Clock) atOrigin(now, shown time.Time) int64 {
	return shown.UnixNano() - int64(now.Sub(c.origin))
}
