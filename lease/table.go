// Package lease decides when a configuration is in force everywhere.
//
// Every process that serves by the configuration is a holder: it may go on
// only while it holds a lease, and each renewal says which revision it has in
// force. The leader's Table knows, for every revision, whether each holder
// has it or has lost its lease: that is when a change is in force everywhere.
// A new leader doesn't know the leases that its predecessor granted, so it
// waits until they must have run out.
//
// A holder counts its lease from the moment at which it asked, the leader
// from the moment at which it answered, and the leader adds a margin for
// clocks that run at different speeds: the holder's lease always ends first.
package lease

import (
	"slices"
	"time"

	"endivedeck.example/rank"
)

const (
	// TTL is how long a holder may serve without a renewal.
	TTL = 6 * time.Second

	marginPart = 10 // the leader waits a tenth longer than the holder
	sweepTime  = 50 * time.Millisecond
)

type (
	// Holder is a process that serves by the configuration.
	Holder struct {
		ID          string
		Incarnation string // tells two processes of one name apart
		Kind        string // the role of the process
		Revision    uint64 // in force there
		ExpiresAt   time.Time
	}

	// Table is the leader's knowledge of the holders. Create it with
	// NewTable.
	Table struct {
		mu      rank.Mutex
		length  time.Duration
		holders map[string]Holder
		counts  map[uint64]int // holders by revision
		kinds   map[string]int // holders by kind
		settled time.Time      // when all leases of earlier leaders have run out
		leading bool
		swept   time.Time                 // when holders whose lease ran out were last removed
		places  map[string]map[string]int // by kind and ID; nil where it has to be made
	}
)

// NewTable returns a table for leases of the given length. It grants nothing
// before Lead.
func NewTable(length time.Duration) *Table {
	t := &Table{mu: rank.New(rank.Lease), length: length}
	t.clear()
	return t
}

// BecomeLeader starts the table for a new leader. An earlier leader may have granted
// leases up to the given time after its authority ended.
func (t *Table) BecomeLeader(now time.Time, after time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.clear()
	t.leading = true
	t.settled = now.Add(after + t.longest())
}

// BecomeFirstLeader starts the table for the first leader that the group ever had:
// there are no earlier leases.
func (t *Table) BecomeFirstLeader(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.clear()
	t.leading = true
	t.settled = now
}

// StepDown ends the table's authority.
func (t *Table) StepDown() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.clear()
	t.leading = false
}

// Renew grants or renews the lease of a holder that has the given revision
// in force, and reports whether it could.
func (t *Table) Renew(now time.Time, h Holder) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.leading {
		return false
	}
	old, known := t.holders[h.ID]
	if known && old.Incarnation != h.Incarnation {
		// Two processes under one name are two holders until the older lease runs out.
		old.ID = h.ID + "/" + old.Incarnation
		t.remove(h.ID)
		t.add(old)
		t.places = nil
	}
	if known && old.Incarnation == h.Incarnation {
		t.remove(h.ID)
	}
	h.ExpiresAt = now.Add(t.longest())
	t.add(h)
	if !known {
		t.places = nil
	}
	return true
}

// KeepAlive renews the lease of a holder that is known and hasn't lost it, and
// reports whether it could. What the holder has in force is as it said last.
func (t *Table) KeepAlive(now time.Time, id, incarnation string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	h, known := t.holders[id]
	if !t.leading || !known || h.Incarnation != incarnation || now.After(h.ExpiresAt) {
		return false
	}
	h.ExpiresAt = now.Add(t.longest())
	t.holders[id] = h
	return true
}

// Ordinal returns the place of a holder among those of its kind, by name, and
// how many there are.
func (t *Table) Ordinal(now time.Time, id, kind string) (place, count int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	if t.places[kind] == nil {
		t.number(kind)
	}
	return t.places[kind][id], t.kinds[kind]
}

func (t *Table) number(kind string) {
	var ids []string
	for id, h := range t.holders {
		if h.Kind == kind {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	places := map[string]int{}
	for i, id := range ids {
		places[id] = i
	}
	if t.places == nil {
		t.places = map[string]map[string]int{}
	}
	t.places[kind] = places
}

// Release ends the lease of a holder that has ceased to serve.
func (t *Table) Release(id, incarnation string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.holders[id].Incarnation == incarnation {
		t.remove(id)
		t.places = nil
	}
}

// InForce reports whether every holder has the revision in force or has lost
// its lease at now.
func (t *Table) InForce(now time.Time, revision uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.leading || now.Before(t.settled) {
		return false
	}
	if !t.behind(revision) {
		return true
	}
	t.expire(now)
	return !t.behind(revision)
}

// Count returns the number of holders of a kind at now.
func (t *Table) Count(now time.Time, kind string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	return t.kinds[kind]
}

// Outdated returns the holders that don't have the revision in force at now.
func (t *Table) Outdated(now time.Time, revision uint64) []Holder {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	var behind []Holder
	for _, h := range t.holders {
		if h.Revision < revision {
			behind = append(behind, h)
		}
	}
	return behind
}

func (t *Table) behind(revision uint64) bool {
	for r := range t.counts {
		if r < revision {
			return true
		}
	}
	return false
}

func (t *Table) expire(now time.Time) {
	if now.Before(t.swept.Add(sweepTime)) {
		return
	}
	t.swept = now
	for id, h := range t.holders {
		if now.After(h.ExpiresAt) {
			t.remove(id)
			t.places = nil
		}
	}
}

func (t *Table) add(h Holder) {
	t.holders[h.ID] = h
	t.counts[h.Revision]++
	t.kinds[h.Kind]++
}

func (t *Table) remove(id string) {
	h := t.holders[id]
	delete(t.holders, id)
	t.kinds[h.Kind]--
	t.counts[h.Revision]--
	if t.counts[h.Revision] == 0 {
		delete(t.counts, h.Revision)
	}
}

func (t *Table) clear() {
	t.holders = map[string]Holder{}
	t.counts = map[uint64]int{}
	t.kinds = map[string]int{}
	t.places = nil
}

func (t *Table) longest() time.Duration {
	return t.length + t.length/marginPart
}
