package roster

// Delivery is what one subscriber has been sent of a registry, so that each message
// has only what is new. A subscriber whose connection is lost subscribes again and is
// sent everything. The zero value has sent nothing.
type Delivery struct {
	sent map[string]Server // by ID
}

// Changes returns the observations of list to send now, with those of servers that
// leave first, and records them as sent. These are the ones that change what relays
// act on and, if repeats is set, also later announcements that only say that a server
// is still there. list is complete; what it no longer has is forgotten.
func (d *Delivery) Changes(list []Observation, repeats bool) []Observation {
	sent := make(map[string]Server, len(list))
	var leaving, others []Observation
	for _, o := range list {
		last, known := d.sent[o.Server.ID]
		switch {
		case known && (o.Server == last || !repeats && equivalent(o.Server, last)):
			sent[o.Server.ID] = last
			continue
		case o.Server.Draining || o.Server.Departed:
			leaving = append(leaving, o)
		default:
			others = append(others, o)
		}
		sent[o.Server.ID] = o.Server
	}
	d.sent = sent
	return append(leaving, others...)
}
