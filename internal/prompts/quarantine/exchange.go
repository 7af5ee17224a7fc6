package quarantine

import (
	"cmp"
	"slices"
	"time"
)

type (
	// Evidence is what a relay sends to other relays about a part.
	Evidence struct {
		Part    uint64          `cbor:"1,keyasint"`
		Depth   int             `cbor:"2,keyasint"`           // greatest index in a prompt
		Ends    []End           `cbor:"3,keyasint,omitempty"` // that no answer has refuted
		Whole   time.Duration   `cbor:"4,keyasint,omitempty"` // age of the last whole answer; 0 if there is none
		Trials  int             `cbor:"5,keyasint,omitempty"` // that failed
		Others  int             `cbor:"6,keyasint,omitempty"` // whole answers to other requests between the ends
		Refuted []time.Duration `cbor:"7,keyasint,omitempty"` // age of the last answer that got past each position class; 0 if there is none
	}

	// End is the end of a server under a request.
	End struct {
		Server    uint64        `cbor:"1,keyasint"` // hash of the ID
		StartedAt int64         `cbor:"2,keyasint"` // start of the server, Unix milliseconds
		Age       time.Duration `cbor:"3,keyasint"`
		Position  int           `cbor:"4,keyasint,omitempty"` // class of the furthest answer to a request with the part
	}
)

// Changes returns the evidence that has changed after sequence number since, the
// oldest change first, and the sequence number to pass in the next call.
func (t *Table) Changes(now time.Time, since uint64) ([]Evidence, uint64) {
	if t.size.Load() == 0 {
		return nil, since
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var changed []*part
	for _, p := range t.parts {
		if p.changed > since {
			changed = append(changed, p)
		}
	}
	if len(changed) == 0 {
		return nil, t.seq
	}
	slices.SortFunc(changed, func(a, b *part) int { return cmp.Compare(a.changed, b.changed) })
	next := t.seq
	if len(changed) > maxEvidence {
		changed = changed[:maxEvidence]
		next = changed[maxEvidence-1].changed
	}
	list := make([]Evidence, 0, len(changed))
	for _, p := range changed {
		list = append(list, p.evidence(now))
	}
	return list, next
}

// Snapshot returns the evidence for a relay that has just started or was out of reach:
// against all quarantined parts, what this relay has sent to others, and the selected rest.
// It also returns the sequence number to pass to Changes.
func (t *Table) Snapshot(now time.Time, selected func(part uint64) bool) ([]Evidence, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Evidence
	for id, p := range t.parts {
		if p.state == Quarantined || p.changed > 0 || len(p.ends) > 0 && selected(id) {
			list = append(list, p.evidence(now))
		}
	}
	slices.SortFunc(list, func(a, b Evidence) int {
		return cmp.Or(cmp.Compare(len(b.Ends), len(a.Ends)), cmp.Compare(a.Part, b.Part))
	})
	return list[:min(len(list), maxEvidence)], t.seq
}

func (p *part) evidence(now time.Time) Evidence {
	e := Evidence{Part: p.id, Depth: p.depth, Trials: p.trials, Others: p.others}
	whole := p.refuted[positionClasses-1]
	if !whole.IsZero() {
		e.Whole = max(now.Sub(whole), 1)
	}
	for _, at := range p.refuted {
		if !at.After(whole) {
			break // later classes have no later times
		}
		e.Refuted = append(e.Refuted, max(now.Sub(at), 1))
	}
	for end, record := range p.ends {
		e.Ends = append(e.Ends, End{Server: end.server, StartedAt: end.startedAt, Age: max(now.Sub(record.at), 0), Position: record.position})
	}
	slices.SortFunc(e.Ends, func(a, b End) int {
		return cmp.Or(cmp.Compare(b.Age, a.Age), cmp.Compare(a.Server, b.Server))
	})
	return e
}

// Merge adds the evidence of another relay and reports whether other relays are to
// be sent something. Lists and values that no relay sends are cut or left out.
func (t *Table) Merge(now time.Time, list []Evidence) bool {
	if len(list) == 0 {
		return false
	}
	list = list[:min(len(list), maxEvidence)]
	t.mu.Lock()
	defer t.mu.Unlock()
	before := t.seq
	for _, e := range list {
		t.merge(now, e)
	}
	t.judge()
	for _, e := range list {
		// A verdict needs no message if the sender knows all that it rests on.
		if p := t.parts[e.Part]; p != nil && p.changed > before && p.state == Quarantined && len(e.Ends) >= len(p.ends) && e.Others >= minOthers {
			p.changed = 0
		}
	}
	return slices.ContainsFunc(list, func(e Evidence) bool {
		p := t.parts[e.Part]
		return p != nil && p.changed > before
	})
}

func (t *Table) merge(now time.Time, e Evidence) {
	p := t.parts[e.Part]
	if p == nil {
		if len(e.Ends) == 0 {
			return
		}
		p = t.add(e.Part)
	}
	if e.Depth >= 0 && e.Depth <= maxDepth {
		p.depth = max(p.depth, e.Depth)
	}
	if e.Whole > 0 && e.Whole <= evidenceTTL {
		t.refute(p, now.Add(-e.Whole), positionClasses-1)
	}
	for position, age := range e.Refuted[:min(len(e.Refuted), positionClasses-1)] {
		if age > 0 && age <= evidenceTTL {
			t.refute(p, now.Add(-age), position)
		}
	}
	outdated := 0
	for _, end := range e.Ends[:min(len(e.Ends), maxEnds)] {
		if end.Age < 0 || end.Age > evidenceTTL+maxPause || end.Position < 0 || end.Position >= positionClasses {
			continue
		}
		record := endRecord{at: now.Add(-end.Age), position: end.Position, whole: t.whole.Load()}
		started := serverStart{server: end.Server, startedAt: end.StartedAt}
		t.addServerEnd(started, record.at)
		if p.refutes(record) {
			outdated++
			continue
		}
		p.addEnd(started, record)
	}
	if outdated > 0 && len(e.Ends) >= minSuspectEnds {
		t.markChanged(p) // the sender doesn't know of the answer that refutes an end
	}
	if len(p.ends) > 0 {
		p.trials = max(p.trials, min(max(e.Trials, 0), maxTrials))
		p.others = max(p.others, min(max(e.Others, 0), maxOthers))
	}
}
