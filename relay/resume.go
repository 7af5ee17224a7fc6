package relay

// streamPosition is how far a stream has been forwarded to the caller.
type streamPosition struct {
	lastID string // ID of the last event; empty before the first one
}

// advance records events that are forwarded.
func (p *streamPosition) advance(ids []string) {
	for _, id := range ids {
		if id != "" {
			p.lastID = id
		}
	}
}

// continuedBy reports whether an event with the given ID can be the next one.
func (p *streamPosition) continuedBy(id string) bool { return id != "" }
