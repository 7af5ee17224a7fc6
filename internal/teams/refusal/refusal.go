// Package refusal decides when a caller that is refused may come back.
//
// The load pattern that it answers is a burst of more requests than can be served, all of
// which are refused within a moment. Callers that are told the same time come back at once,
// find a queue that has no room for more than a few of them, and may not come back a second
// time. Each is told the time at which the queue that stands now has room for it, behind
// those that were refused before it.
//
// The package performs no I/O and takes the time as a parameter. A Calendar is not safe
// for concurrent use.
package refusal

import (
	"maps"
	"math"
	"time"
)

const (
	// MaxPart is the largest part of the caller's time left that it is asked to wait.
	// Callers wait no longer, and need the rest for the answer.
	MaxPart = 1.0 / 3

	// FirstPart is the part of the usual wait that a first attempt may have once it is too
	// late for its objective. Callers that come back have that part of their time left, so
	// they find as much room as those that come for the first time.
	FirstPart = 1 - MaxPart

	// leastPart is the least part of the longest wait that a caller is asked for. One that
	// comes back sooner can't be told from one that comes for the first time, since the
	// timeouts of callers differ.
	leastPart = 0.5

	goldenRatio = 0.6180339887498949 // multiples of it, less their whole part, are spread evenly
)

type (
	// Refusal is a request that is refused.
	Refusal struct {
		Service  string
		Rank     int           // 0 is the highest
		Room     time.Duration // until the queue has room for one more request if nothing else arrives; less than 0 if that isn't known
		Spacing  time.Duration // from then on, in which the queue has room for one more of this relay's
		Waited   time.Duration // since the caller's first attempt
		TimeLeft time.Duration // of the caller
	}

	// Calendar holds the times at which refused callers come back to one relay. Create it
	// with New.
	Calendar struct {
		services map[string]*service
	}

	service struct {
		next  map[int]time.Time // the first time that is free for requests of a rank
		spare int               // callers for which the queue has no room in time
	}
)

// New returns an empty calendar.
func New() *Calendar { return &Calendar{services: map[string]*service{}} }

// ReturnAfter returns how long the caller should wait until it comes back, which is at
// most MaxPart of its time left. Of callers that are refused at a time, those of higher
// ranks and those that have tried for longer come back earlier.
func (c *Calendar) ReturnAfter(now time.Time, r Refusal) time.Duration {
	limit := time.Duration(MaxPart * float64(max(r.TimeLeft, 0)))
	s := c.services[r.Service]
	if s == nil {
		s = &service{next: map[int]time.Time{}}
		c.services[r.Service] = s
	}
	if r.Room < 0 {
		return s.spread(limit)
	}
	room := max(r.Room, time.Duration(leastPart*float64(limit)))
	at := now.Add(room)
	for rank, next := range s.next {
		switch {
		case !next.After(now):
			delete(s.next, rank)
		case rank <= r.Rank && next.After(at):
			at = next
		}
	}
	queued := at.Sub(now) - room
	wait := room + time.Duration(float64(queued)*float64(r.TimeLeft)/float64(max(r.TimeLeft+r.Waited, 1)))
	if wait > limit {
		return s.spread(limit)
	}
	s.next[r.Rank] = at.Add(r.Spacing)
	return wait
}

// Expect returns what ReturnAfter would return, and keeps no time for the caller.
func (c *Calendar) Expect(now time.Time, r Refusal) time.Duration {
	kept := New()
	if s := c.services[r.Service]; s != nil {
		kept.services[r.Service] = &service{next: maps.Clone(s.next), spare: s.spare}
	}
	return kept.ReturnAfter(now, r)
}

// spread returns a wait between the least and the longest one.
func (s *service) spread(limit time.Duration) time.Duration {
	s.spare++
	_, draw := math.Modf(float64(s.spare) * goldenRatio)
	return time.Duration(float64(limit) * (1 - (1-leastPart)*draw))
}

// Retain forgets the services that aren't among names.
func (c *Calendar) Retain(names map[string]bool) {
	for name := range c.services {
		if !names[name] {
			delete(c.services, name)
		}
	}
}
