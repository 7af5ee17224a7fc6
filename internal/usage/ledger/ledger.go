// Package ledger collects the usage that relays have counted, and closes each window of
// time once.
//
// Collector holds the counts of open windows, as received from relays, and decides when a
// window can be closed. Store is replicated state: it has the counts of the closed
// windows, which never change, until they are reported. The load that it answers: many
// relays, of which some end, are cut off or are late, and a holder that changes at any time.
package ledger

import (
	"time"

	"endivedeck.example/internal/usage/meter"
)

// maxRecords bounds the closed windows that aren't reported yet.
const maxRecords = 64

type (
	// Close is a log entry that closes a window.
	Close struct {
		Window  meter.Window `cbor:"1,keyasint"`
		Missing int          `cbor:"2,keyasint,omitempty"` // relays whose counts may be incomplete
		Ended   []int64      `cbor:"3,keyasint,omitempty"` // earlier windows that were reported or given up
	}

	// Record is a window that is closed.
	Record struct {
		Window  meter.Window `cbor:"1,keyasint"`
		Missing int          `cbor:"2,keyasint,omitempty"`
	}

	// Store is the replicated state. Create it with new(Store).
	Store struct {
		Next    int64    `cbor:"1,keyasint,omitempty"` // number of the first window that isn't closed; 0 before any was
		Records []Record `cbor:"2,keyasint,omitempty"` // closed windows that aren't known to be reported, oldest first
	}

	// Outcome is the result of proposing Close.
	Outcome struct {
		Closed bool  // false if the window had been closed before
		Next   int64 // see Store.Next
	}

	// Schedule says when windows are closed and how long their reports are useful.
	Schedule struct {
		Length time.Duration // of a window
		Late   time.Duration // after the end of a window, when its report is due
	}
)

// Apply closes a window, unless it or a later one is closed already: the counts that were
// committed first are those of the window.
func (s *Store) Apply(c Close) Outcome {
	s.end(c.Ended)
	if c.Window.Number < s.Next {
		return Outcome{Next: s.Next}
	}
	s.Records = append(s.Records, Record{Window: c.Window, Missing: c.Missing})
	if n := len(s.Records) - maxRecords; n > 0 {
		s.Records = s.Records[n:]
	}
	s.Next = c.Window.Number + 1
	return Outcome{Closed: true, Next: s.Next}
}

func (s *Store) end(numbers []int64) {
	if len(numbers) == 0 {
		return
	}
	kept := make([]Record, 0, len(s.Records)) // a new slice, since readers may hold the other
	for _, r := range s.Records {
		ended := false
		for _, number := range numbers {
			ended = ended || number == r.Window.Number
		}
		if !ended {
			kept = append(kept, r)
		}
	}
	s.Records = kept
}

// Settle returns the time after the end of a window in which relays complete their counts.
func (s Schedule) Settle() time.Duration { return min(time.Second, s.Late/10) }

// Complete returns the number of the first window whose counts may still grow at a relay.
func (s Schedule) Complete(at time.Time) int64 { return meter.Number(at.Add(-s.Settle()), s.Length) }

// Due returns the time at which a window is closed also without the counts of some relays. It
// leaves most of the time until the report is late for a change of the holder.
func (s Schedule) Due(number int64) time.Time { return s.end(number).Add(s.Late * 4 / 10) }

// Reconnect returns the time in which relays reach a control instance that has started.
func (s Schedule) Reconnect() time.Duration { return s.Late * 3 / 10 }

// LateAt returns the time at which the report of a window is late.
func (s Schedule) LateAt(number int64) time.Time { return s.end(number).Add(s.Late) }

// Useful reports whether a window is still to be reported.
func (s Schedule) Useful(at time.Time, number int64) bool {
	return !at.After(s.end(number).Add(2 * s.Late))
}

// Oldest returns the number of the oldest window that is still to be reported.
func (s Schedule) Oldest(at time.Time) int64 {
	return meter.Number(at.Add(-2*s.Late-time.Nanosecond), s.Length)
}

func (s Schedule) end(number int64) time.Time { return meter.Start(number+1, s.Length) }
