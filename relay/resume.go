package relay

import "strconv"

// streamPosition is how far a stream has been forwarded to the caller.
type streamPosition struct {
	lastID       string // ID of the last event; empty before the first one
	number       uint64 // lastID as a number; 0 if it isn't one
	events       int    // events that have been forwarded
	unidentified bool   // the last of these has no ID
	irregular    bool   // the numbers of these are not consecutive
}

// newStreamPosition returns the position of a stream that starts after the event with
// the given ID, or at its first event if that is empty.
func newStreamPosition(lastID string) streamPosition {
	return streamPosition{lastID: lastID, number: eventNumber(lastID)}
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
		number := eventNumber(id)
		p.irregular = p.irregular || number != p.number+1
		p.lastID, p.number = id, number
	}
}

// resumable reports whether another server can be told after which event to go on.
func (p *streamPosition) resumable() bool { return !p.unidentified }

// continuedBy reports whether an event with the given ID can be the next one: it has a
// higher number than the last one, and the next number if they were consecutive so far.
// IDs that aren't numbers must only differ.
func (p *streamPosition) continuedBy(id string) bool {
	switch {
	case id == "" || id == p.lastID:
		return false
	case p.events == 0 || p.number == 0:
		return true
	case p.irregular:
		return eventNumber(id) > p.number
	}
	return eventNumber(id) == p.number+1
}

// eventNumber returns an event ID as a number, or 0 if it isn't one.
func eventNumber(id string) uint64 {
	number, err := strconv.ParseUint(id, 10, 64)
	if err != nil {
		return 0
	}
	return number
}
