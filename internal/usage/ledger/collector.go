package ledger

import (
	"slices"
	"time"

	"endivedeck.example/internal/usage/meter"
	"endivedeck.example/rank"
)

type (
	// Source is one start of a relay. A relay that restarts counts anew.
	Source struct {
		Relay       string
		Incarnation string
	}

	// Collector holds the counts of the windows that aren't closed. Create it with NewCollector.
	Collector struct {
		schedule Schedule
		start    time.Time // since which it has heard of all relays

		mu      rank.Mutex
		sources map[Source]*source
	}

	// source is what one start of a relay has reported.
	source struct {
		heard    time.Time // time of the last report
		complete int64     // number of the first window whose counts may still grow
		windows  map[int64]map[string]uint64
	}

	// Verdict says whether a window can be closed.
	Verdict struct {
		Closable bool
		Missing  []string // relays whose counts may be incomplete, sorted
		Partial  bool     // the collector began within the window, so relays may have ended that it doesn't know
	}
)

// NewCollector returns a collector that begins at a time of day.
func NewCollector(schedule Schedule, at time.Time) *Collector {
	return &Collector{schedule: schedule, start: at, mu: rank.New(rank.Admission), sources: map[Source]*source{}}
}

// Merge adds a report that was received at a time of day. Its counts are totals, so a report may
// be lost, repeated or late. complete is the number of the first window whose counts may
// still grow.
func (c *Collector) Merge(at time.Time, from Source, complete int64, windows []meter.Window) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.sources[from]
	if s == nil {
		s = &source{windows: map[int64]map[string]uint64{}}
		c.sources[from] = s
	}
	s.heard = at
	s.complete = max(s.complete, complete)
	oldest := c.schedule.Oldest(at)
	newest := meter.Number(at, c.schedule.Length) + 1
	for _, w := range windows {
		if w.Number < oldest || w.Number > newest {
			continue
		}
		totals := s.windows[w.Number]
		if totals == nil {
			totals = map[string]uint64{}
			s.windows[w.Number] = totals
		}
		for team, n := range w.Counts {
			totals[team] = max(totals[team], n)
		}
	}
}

// Judge decides whether a window can be closed at a time of day: once all relays that were
// heard since the window before it began have completed it, or when it is due and relays
// have had the time to reach an instance that has started meanwhile. One that hears no
// relay can't tell whether there is usage.
func (c *Collector) Judge(at time.Time, number int64) Verdict {
	c.mu.Lock()
	defer c.mu.Unlock()
	var v Verdict
	start := meter.Start(number, c.schedule.Length)
	heard := 0
	for from, s := range c.sources {
		if s.heard.Before(start.Add(-c.schedule.Length)) {
			continue
		}
		heard++
		if s.complete <= number {
			v.Missing = append(v.Missing, from.Relay)
		}
	}
	slices.Sort(v.Missing)
	settled := c.schedule.Complete(at) > number
	v.Partial = c.start.After(start)
	knowsAll := heard > 0 && len(v.Missing) == 0 && !v.Partial
	due := later(c.schedule.Due(number), c.start.Add(c.schedule.Reconnect()))
	v.Closable = settled && knowsAll || !at.Before(due)
	return v
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Sum returns the counts of a window over all relays.
func (c *Collector) Sum(number int64) meter.Window {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := meter.Window{Number: number, Counts: map[string]uint64{}}
	for _, s := range c.sources {
		for team, n := range s.windows[number] {
			w.Counts[team] += n
		}
	}
	return w
}

// Drop forgets the windows before the one with the given number, and relays that haven't
// been heard of since.
func (c *Collector) Drop(before int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	start := meter.Start(before-1, c.schedule.Length)
	for from, s := range c.sources {
		for number := range s.windows {
			if number < before {
				delete(s.windows, number)
			}
		}
		if len(s.windows) == 0 && s.heard.Before(start) {
			delete(c.sources, from)
		}
	}
}
