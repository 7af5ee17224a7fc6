// Package meter counts the requests of teams that backend servers began, by windows of
// time. It answers many requests of few teams at each of many relays: a count is one
// short critical section, and only what has changed is reported.
package meter

import (
	"time"

	"endivedeck.example/rank"
)

type (
	// Window has the requests of each team in one window of time.
	Window struct {
		Number int64             `cbor:"1,keyasint" json:"window"` // see Number
		Counts map[string]uint64 `cbor:"2,keyasint,omitempty" json:"counts"`
	}

	// Meter counts requests. Create it with New.
	Meter struct {
		length time.Duration

		mu      rank.Mutex
		windows map[int64]*counts
		seq     uint64 // of the newest count
	}

	// counts are the counts of a window.
	counts struct {
		changed uint64 // sequence number of the newest count
		teams   map[string]*count
	}

	count struct {
		requests uint64
		changed  uint64 // sequence number of the newest count
	}
)

// New returns a meter with windows of the given length.
func New(length time.Duration) *Meter {
	return &Meter{length: length, mu: rank.New(rank.Admission), windows: map[int64]*counts{}}
}

// Number returns the number of the window of the given length that contains a time.
// Window 0 begins with the Unix epoch.
func Number(at time.Time, length time.Duration) int64 {
	n := at.UnixNano() / int64(length)
	if at.UnixNano()%int64(length) < 0 {
		n--
	}
	return n
}

// Start returns the time at which a window begins.
func Start(number int64, length time.Duration) time.Time {
	return time.Unix(0, number*int64(length))
}

// Count counts a request of a team at a time of day.
func (m *Meter) Count(at time.Time, team string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	number := Number(at, m.length)
	w := m.windows[number]
	if w == nil {
		w = &counts{teams: map[string]*count{}}
		m.windows[number] = w
	}
	c := w.teams[team]
	if c == nil {
		c = &count{}
		w.teams[team] = c
	}
	m.seq++
	c.requests++
	c.changed, w.changed = m.seq, m.seq
}

// Changes returns the total counts that have changed after sequence number since, and the
// sequence number to pass in the next call.
func (m *Meter) Changes(since uint64) ([]Window, uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var changed []Window
	for number, w := range m.windows {
		if w.changed <= since {
			continue
		}
		part := Window{Number: number, Counts: map[string]uint64{}}
		for team, c := range w.teams {
			if c.changed > since {
				part.Counts[team] = c.requests
			}
		}
		changed = append(changed, part)
	}
	return changed, m.seq
}

// Drop forgets the windows before the one with the given number.
func (m *Meter) Drop(before int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for number := range m.windows {
		if number < before {
			delete(m.windows, number)
		}
	}
}
