// Package lease determines when a configuration revision is in force on all
// processes.
//
// Every process that uses the configuration is a lease holder. It may serve only
// while its lease is valid, and reports its current revision with each renewal. A
// revision is in force everywhere as soon as each holder has either reported it
// or lost its lease; the leader's Table keeps track of that. A new leader doesn't
// know the leases that its predecessor granted, so it waits until all of them must
// have expired.
//
// A holder measures its lease from the time at which it sent the request, the
// leader from the time at which it grants it. The leader adds a margin for clocks
// that run at different speeds, so the lease always expires at the holder first.
package lease

import (
	"slices"
	"time"

	"endivedeck.example/rank"
)

const (
	// TTL is the time for which a holder may serve without a renewal.
	TTL = 6 * time.Second

	marginDivisor = 10 // the leader's leases are 1/10 longer than the holder's
	sweepInterval = 50 * time.Millisecond
)

type (
	// Holder is a process that uses the configuration.
	Holder struct {
		ID          string
		Incarnation string    // distinguishes processes with the same ID
		Kind        string    // role of the process
		Revision    uint64    // in force at the holder
		ExpiresAt   time.Time // expiry of the lease at the leader, set by Table
	}

	// Table tracks all leases at the leader. Create it with NewTable.
	Table struct {
		mu              rank.Mutex
		ttl             time.Duration
		holders         map[string]Holder
		byRevision      map[uint64]int // number of holders by revision
		byKind          map[string]int // number of holders by kind
		earlierExpireAt time.Time      // when all leases of earlier leaders have expired
		leading         bool
		sweptAt         time.Time                 // when expired leases were last removed
		ordinals        map[string]map[string]int // by kind and ID; nil if they must be recomputed
	}
)

// NewTable returns a table for leases of the given duration. It grants no leases
// before it is initialized for a leader.
func NewTable(ttl time.Duration) *Table {
	t := &Table{mu: rank.New(rank.Lease), ttl: ttl}
	t.reset()
	return t
}

// BecomeLeader initializes the table for a new leader. The previous leader may not
// know yet that it was deposed, and may still grant leases for the time overlap.
// InForce returns false until all of them must have expired.
func (t *Table) BecomeLeader(now time.Time, overlap time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reset()
	t.leading = true
	t.earlierExpireAt = now.Add(overlap + t.grantDuration())
}

// BecomeFirstLeader initializes the table for the first leader of a new group,
// which has no earlier leases to wait for.
func (t *Table) BecomeFirstLeader(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reset()
	t.leading = true
	t.earlierExpireAt = now
}

// StepDown clears the table when the leader loses its leadership. The table then
// grants no leases until it is initialized again.
func (t *Table) StepDown() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reset()
	t.leading = false
}

// Renew grants or renews the lease of a holder and records the holder's revision.
// It returns false if this process doesn't lead.
func (t *Table) Renew(now time.Time, h Holder) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.leading {
		return false
	}
	previous, known := t.holders[h.ID]
	if known && previous.Incarnation != h.Incarnation {
		// Two processes with one ID count as two holders until the lease of the older one expires.
		previous.ID = h.ID + "/" + previous.Incarnation
		t.remove(h.ID)
		t.add(previous)
		t.ordinals = nil
	}
	if known && previous.Incarnation == h.Incarnation {
		t.remove(h.ID)
	}
	h.ExpiresAt = now.Add(t.grantDuration())
	t.add(h)
	if !known {
		t.ordinals = nil
	}
	return true
}

// KeepAlive renews a lease that hasn't expired, and keeps the last reported
// revision of the holder. It returns false if there is no such lease or this
// process doesn't lead.
func (t *Table) KeepAlive(now time.Time, id, incarnation string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	h, known := t.holders[id]
	if !t.leading || !known || h.Incarnation != incarnation || now.After(h.ExpiresAt) {
		return false
	}
	h.ExpiresAt = now.Add(t.grantDuration())
	t.holders[id] = h
	return true
}

// Ordinal returns the position, from 0, of a holder among the holders of its kind,
// sorted by ID, and the number of these holders.
func (t *Table) Ordinal(now time.Time, id, kind string) (ordinal, count int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeExpired(now)
	if t.ordinals[kind] == nil {
		t.assignOrdinals(kind)
	}
	return t.ordinals[kind][id], t.byKind[kind]
}

func (t *Table) assignOrdinals(kind string) {
	var ids []string
	for id, h := range t.holders {
		if h.Kind == kind {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	ordinals := map[string]int{}
	for i, id := range ids {
		ordinals[id] = i
	}
	if t.ordinals == nil {
		t.ordinals = map[string]map[string]int{}
	}
	t.ordinals[kind] = ordinals
}

// Release ends the lease of a holder that has stopped serving, unless a process
// with another incarnation has taken over the ID.
func (t *Table) Release(id, incarnation string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.holders[id].Incarnation == incarnation {
		t.remove(id)
		t.ordinals = nil
	}
}

// InForce reports whether the revision is in force everywhere: each holder has
// reported it or a later one, or its lease has expired at now.
func (t *Table) InForce(now time.Time, revision uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.leading || now.Before(t.earlierExpireAt) {
		return false
	}
	if !t.hasOutdated(revision) {
		return true
	}
	t.removeExpired(now)
	return !t.hasOutdated(revision)
}

// Count returns the number of holders of a kind whose leases are valid at now.
func (t *Table) Count(now time.Time, kind string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeExpired(now)
	return t.byKind[kind]
}

// Outdated returns the holders whose leases are valid at now and that have an
// earlier revision in force.
func (t *Table) Outdated(now time.Time, revision uint64) []Holder {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeExpired(now)
	var outdated []Holder
	for _, h := range t.holders {
		if h.Revision < revision {
			outdated = append(outdated, h)
		}
	}
	return outdated
}

func (t *Table) hasOutdated(revision uint64) bool {
	for r := range t.byRevision {
		if r < revision {
			return true
		}
	}
	return false
}

// removeExpired removes expired leases, at most once per sweepInterval.
func (t *Table) removeExpired(now time.Time) {
	if now.Before(t.sweptAt.Add(sweepInterval)) {
		return
	}
	t.sweptAt = now
	for id, h := range t.holders {
		if now.After(h.ExpiresAt) {
			t.remove(id)
			t.ordinals = nil
		}
	}
}

func (t *Table) add(h Holder) {
	t.holders[h.ID] = h
	t.byRevision[h.Revision]++
	t.byKind[h.Kind]++
}

func (t *Table) remove(id string) {
	h := t.holders[id]
	delete(t.holders, id)
	t.byKind[h.Kind]--
	t.byRevision[h.Revision]--
	if t.byRevision[h.Revision] == 0 {
		delete(t.byRevision, h.Revision)
	}
}

func (t *Table) reset() {
	t.holders = map[string]Holder{}
	t.byRevision = map[uint64]int{}
	t.byKind = map[string]int{}
	t.ordinals = nil
}

// grantDuration returns the duration of a lease at the leader, with the margin.
func (t *Table) grantDuration() time.Duration {
	return t.ttl + t.ttl/marginDivisor
}
