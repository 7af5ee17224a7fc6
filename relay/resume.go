package relay

import "strconv"

// streamPosition is how far a stream has been forwarded to the caller.
type streamPosition struct {
	lastID       string // ID of the last event; empty before the first one
	number       uint64 // lastID as a number, if numbered
	numbered     bool   // lastID is a number
	events       int    // events that have been forwarded
	unidentified bool   // the last of these has no ID
	irregular    bool   // the numbers of these are not consecutive
}

// newStreamPosition returns the position of a stream that starts after the event with
// the given ID, or at its first event if that is empty.
func newStreamPosition(lastID string) streamPosition {
	number, numbered := eventNumber(lastID)
	return streamPosition{lastID: lastID, number: number, numbered: numbered}
}

// advance records events that are forwarded.
func (p *streamPosition) advance(ids []string) {
	for _, id := range ids {
		p.events++
		p.unidentified = id == ""
		if p.unidentified {
			p.irregular = true
			continue
		}
		number, numbered := eventNumber(id)
		p.irregular = p.irregular || !numbered || !p.precedes(number)
		p.lastID, p.number, p.numbered = id, number, numbered
	}
}

// precedes reports whether the event with the given number is the next one if numbers are
// consecutive. They begin with 0 or 1.
func (p *streamPosition) precedes(number uint64) bool {
	if !p.numbered {
		return number <= 1
	}
	return number > 0 && number-1 == p.number
}

// resumable reports whether another server can be told after which event to go on.
func (p *streamPosition) resumable() bool { return !p.unidentified }

// continuedBy reports whether an event with the given ID can be the next one: it has a
// higher number than the last one, and the next number if they were consecutive so far.
// IDs that aren't numbers must only differ.
func (p *streamPosition) continuedBy(id string) bool {
	if id == "" || id == p.lastID {
		return false
	}
	if p.events == 0 || !p.numbered {
		return true
	}
	number, numbered := eventNumber(id)
	if p.irregular {
		return numbered && number > p.number
	}
	return numbered && p.precedes(number)
}

// eventNumber returns an event ID as a number, or false if it isn't one.
func eventNumber(id string) (number uint64, numbered bool) {
	number, err := strconv.ParseUint(id, 10, 64)
	return number, err == nil
}
