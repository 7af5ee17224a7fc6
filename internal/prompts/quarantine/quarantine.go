// Package quarantine decides which parts of prompts crash the servers that answer
// them, so that requests with such a part are rejected before they reach a server.
//
// The load pattern that it answers: a few requests have a part in common that ends
// each server which begins the answer, and arrive at any relay. Each end also breaks
// requests that merely ran beside them. The evidence about a part is the set of server
// ends under which a request with it was running, whether its answer had begun or not. An
// answer refutes the ends before it if it is whole, or has got well past the event at which
// they broke requests with the part: a part that crashes servers at some event never
// lets an answer get past that. A part is quarantined for a run of ends that no answer
// refutes, unless another part explains them better or it was present at few of the ends
// of that time and shortly before. Other requests must have been answered meanwhile, or
// the servers may all be ending. Further servers that end at the same moment, as in the
// loss of a rack, count half, and so do ends under answers that had begun, of which a
// server has many at a time.
//
// Relays exchange evidence. A union of sets is idempotent, so messages may arrive
// twice, late or in any order, and all relays come to the same verdict.
//
// The package performs no I/O, and callers pass in the current time.
package quarantine

import (
	"cmp"
	"math/bits"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"endivedeck.example/rank"
)

// States of the parts of a prompt.
const (
	Sound       State = iota // nothing is known against them
	Suspect                  // one of them may crash servers
	Quarantined              // one of them crashes servers
)

const (
	minEnds          = 3               // for a quarantine
	minServers       = 2               // on which the ends have occurred, or
	minEndsOneServer = 5               // of one server
	minMoments       = 2               // at which the ends have occurred
	minOthers        = 3               // whole answers to other requests meanwhile
	minSuspectEnds   = 2               // for a suspicion
	foreignPerEnd    = 2               // ends in the same time under requests without the part that demand one more end
	maxUnrelatedEnds = 1               // of a part whose other ends a deeper part explains
	foreignWindow    = 2 * time.Second // before the first end, in which such ends count too
	sameMoment       = 20 * time.Millisecond

	positionClasses = 8 // of ends: class n has up to 2^n - 1 events, the last one has no upper bound
	classesPast     = 2 // position classes that an answer must be above an end to refute it
	refutingEvents  = 2 // an answer with fewer events refutes no end unless it is whole

	endWeight = 4 // of an end at a moment of its own, under requests that wait

	firstPause = 30 * time.Second // from the last end to the first trial; doubles with each trial that fails
	maxPause   = 10 * time.Minute
	trialRound = 10 * time.Second // in which one relay may try a part; longer than it takes to learn the outcome
	maxTrials  = 16

	evidenceTTL = 10 * time.Minute // after the last end, or after a trial was due

	maxParts      = 1024 // in a table; a server may end under dozens of requests with two or three parts each
	maxEnds       = 32   // of a part; the newest are kept
	maxServerEnds = 256  // in a table, whichever requests they broke
	maxEvidence   = 64   // in a message
	maxDepth      = 1 << 16
	maxOthers     = 1 << 16

	maxTransitions = 64 // kept for Transitions
)

type (
	// State is the state of the parts of a prompt.
	State int

	// Verdict is the state of a prompt's parts.
	Verdict struct {
		State State
		Part  uint64 // that decides the state
		Ends  int    // of servers that Part has caused as far as known

		// Wait is the time until a trial of a quarantined part is due, and
		// otherwise until the end of the round of trials. Round is the number of
		// that round; 0 if no trial is due.
		Wait  time.Duration
		Round int64
	}

	// Table holds the evidence about parts of prompts. Create it with New.
	Table struct {
		size  atomic.Int32  // len(parts), readable without mu
		whole atomic.Uint64 // whole answers at this relay
		mu    rank.Mutex
		parts map[uint64]*part
		ends  map[serverStart]time.Time // of all servers, whichever requests they broke
		seq   uint64                    // of the latest change to send to other relays

		transitions []Transition // not yet returned by Transitions
	}

	// Transition is the beginning or the end of a part's quarantine.
	Transition struct {
		Part   uint64
		Begins bool
		Ends   int // of servers that the part has caused as far as known
		Trials int // that failed
	}

	// part is the evidence about a part.
	part struct {
		id      uint64
		depth   int // greatest index in a prompt
		ends    map[serverStart]endRecord
		others  int // whole answers to other requests at one relay between the first and the last of ends
		lastEnd time.Time
		refuted [positionClasses]time.Time // until when ends at each position are refuted by an answer to a request with the part
		trials  int                        // that failed
		tried   int64                      // round in which this relay has tried the part
		changed uint64                     // Table.seq of the latest change to send; 0 for nothing to send
		state   State
	}

	// endRecord is when a server ended, the position of the answer that had got
	// furthest of the requests with the part that it broke, and the value of
	// Table.whole when this relay learned of it.
	endRecord struct {
		at       time.Time
		position int // class
		whole    uint64
	}

	// serverStart identifies a server from its start to its end.
	serverStart struct {
		server    uint64 // hash of the ID
		startedAt int64
	}
)

// New returns an empty table.
func New() *Table {
	return &Table{mu: rank.New(rank.Admission), parts: map[uint64]*part{}, ends: map[serverStart]time.Time{}}
}

// Len returns the number of parts that there is evidence about.
func (t *Table) Len() int { return int(t.size.Load()) }

// Check returns the state of a prompt with the given parts.
func (t *Table) Check(now time.Time, parts []uint64) Verdict {
	if t.size.Load() == 0 {
		return Verdict{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var verdict Verdict
	for _, id := range parts {
		if p := t.parts[id]; p != nil && p.state >= verdict.State && p.state != Sound {
			verdict = stricter(verdict, p.verdict(now))
		}
	}
	return verdict
}

func (p *part) verdict(now time.Time) Verdict {
	v := Verdict{State: p.state, Part: p.id, Ends: len(p.ends)}
	if p.state == Quarantined {
		v.Wait, v.Round = p.nextTrial(now)
	}
	return v
}

// stricter returns the verdict that lasts longer for a prompt with both parts. A part
// whose trial is due doesn't open the way for one whose trial isn't.
func stricter(a, b Verdict) Verdict {
	due := func(v Verdict) int { return int(min(v.Round, 1)) }
	if cmp.Or(cmp.Compare(a.State, b.State), cmp.Compare(due(b), due(a)), cmp.Compare(a.Wait, b.Wait)) >= 0 {
		return a
	}
	return b
}

// BeginTrial reports whether this relay may send one request with a quarantined part
// in a round of trials, and if so, reserves the round for it.
func (t *Table) BeginTrial(now time.Time, id uint64, round int64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.parts[id]
	if p == nil || p.state != Quarantined || p.tried >= round {
		return false
	}
	if _, current := p.nextTrial(now); current != round {
		return false
	}
	p.tried = round
	return true
}

// RecordEnd records that a server broke the connection to a request with the given
// parts after it had sent a number of events of the answer, and reports whether other
// relays are to be sent evidence.
func (t *Table) RecordEnd(now time.Time, parts []uint64, events int, serverID string, startedAt int64) bool {
	end := serverStart{server: xxhash.Sum64String(serverID), startedAt: startedAt}
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := t.addServerEnd(end, now)
	known := t.anyQuarantined(parts)
	tell := false
	for depth, id := range parts {
		p := t.parts[id]
		if known && (p == nil || p.state != Quarantined) {
			continue // the quarantined part explains the end
		}
		if p == nil {
			p = t.add(id)
		}
		p.depth = max(p.depth, depth)
		if p.addEnd(end, endRecord{at: now, position: positionClass(events), whole: t.whole.Load()}) {
			t.markChanged(p)
			tell = true
		}
	}
	if changed || tell {
		t.judge()
	}
	return tell
}

// RecordProgress records that a number of events of the answer to a request with the
// given parts have been received, and reports whether other relays are to be sent
// evidence.
func (t *Table) RecordProgress(now time.Time, parts []uint64, events int) bool {
	if events < refutingEvents || t.size.Load() == 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.refuteEnds(now, parts, min(bits.Len(uint(events))-classesPast, positionClasses-2))
}

// RecordWhole records that the answer to a request with the given parts is whole, and
// reports whether other relays are to be sent evidence.
func (t *Table) RecordWhole(now time.Time, parts []uint64) bool {
	t.whole.Add(1)
	if t.size.Load() == 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.refuteEnds(now, parts, positionClasses-1)
}

// refuteEnds refutes the ends of the parts before now at positions up to the given class.
func (t *Table) refuteEnds(now time.Time, parts []uint64, position int) bool {
	before := t.seq
	changed := false
	for _, id := range parts {
		p := t.parts[id]
		if p == nil {
			continue
		}
		relevant := p.state != Sound
		refuted := t.refute(p, now, position)
		changed = changed || refuted
		if relevant && (refuted || position == positionClasses-1) {
			t.markChanged(p)
		}
	}
	if changed {
		t.judge()
	}
	return t.seq > before
}

// positionClass returns the class of the position of an answer of which a number of
// events have been received.
func positionClass(events int) int {
	return min(bits.Len(uint(max(events, 0))), positionClasses-1)
}

// Expire removes evidence that is no longer used.
func (t *Table) Expire(now time.Time) {
	if t.size.Load() == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for end, at := range t.ends {
		if now.Sub(at) > evidenceTTL {
			delete(t.ends, end)
		}
	}
	removed := false
	for id, p := range t.parts {
		if now.Sub(p.keptFrom()) > evidenceTTL {
			t.setState(p, Sound)
			delete(t.parts, id)
			removed = true
		}
	}
	if removed {
		t.judge()
	}
}

// Count returns how many parts are in a state.
func (t *Table) Count(state State) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, p := range t.parts {
		if p.state == state {
			n++
		}
	}
	return n
}

// Transitions returns the transitions since the previous call.
func (t *Table) Transitions() []Transition {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := t.transitions
	t.transitions = nil
	return list
}

func (t *Table) setState(p *part, s State) {
	if (p.state == Quarantined) != (s == Quarantined) && len(t.transitions) < maxTransitions {
		t.transitions = append(t.transitions, Transition{Part: p.id, Begins: s == Quarantined, Ends: len(p.ends), Trials: p.trials})
	}
	p.state = s
}

func (t *Table) anyQuarantined(parts []uint64) bool {
	return slices.ContainsFunc(parts, func(id uint64) bool {
		p := t.parts[id]
		return p != nil && p.state == Quarantined
	})
}

// add adds a part without evidence. If the table is full, it removes the part with
// the least evidence, the oldest first.
func (t *Table) add(id uint64) *part {
	if len(t.parts) >= maxParts {
		var least *part
		for _, p := range t.parts {
			if least == nil || p.weakerThan(least) {
				least = p
			}
		}
		delete(t.parts, least.id)
	}
	p := &part{id: id, ends: map[serverStart]endRecord{}}
	t.parts[id] = p
	t.size.Store(int32(len(t.parts)))
	return p
}

// markChanged marks the evidence about a part as something to send to other relays.
func (t *Table) markChanged(p *part) {
	t.seq++
	p.changed = t.seq
}

// refute removes the ends until at that broke requests with the part at positions up to
// the given class, since an answer to such a request has got past them, and reports
// whether there were any. After a trial whose answer is whole, the ends that the part
// explained aren't held against other parts either.
func (t *Table) refute(p *part, at time.Time, position int) bool {
	if !at.After(p.refuted[position]) {
		return false
	}
	for i := range position + 1 {
		if at.After(p.refuted[i]) {
			p.refuted[i] = at
		}
	}
	changed := false
	trialSucceeded := position == positionClasses-1 && p.state == Quarantined && !at.Before(p.trialDue())
	for end, record := range p.ends {
		if !p.refutes(record) {
			continue
		}
		changed = true
		delete(p.ends, end)
		if trialSucceeded {
			delete(t.ends, end)
			for _, other := range t.parts {
				delete(other.ends, end)
			}
		}
	}
	if len(p.ends) == 0 {
		p.trials = 0
		p.changed = 0
	}
	if changed {
		p.others = 0
	}
	return changed
}

// refutes reports whether an answer has refuted an end.
func (p *part) refutes(end endRecord) bool { return !end.at.After(p.refuted[end.position]) }

// addServerEnd adds the end of a server and reports whether that changes anything.
func (t *Table) addServerEnd(end serverStart, at time.Time) bool {
	if known, ok := t.ends[end]; ok && !at.Before(known) {
		return false
	}
	t.ends[end] = at
	if len(t.ends) > maxServerEnds {
		delete(t.ends, oldest(t.ends))
	}
	return true
}

// addEnd adds an end and reports whether it is new, or was further into an answer than
// known. An end after a trial was due is a trial that failed.
func (p *part) addEnd(end serverStart, record endRecord) bool {
	if known, ok := p.ends[end]; ok {
		further := record.position > known.position
		known.position = max(known.position, record.position)
		if record.at.Before(known.at) {
			known.at = record.at
		}
		p.ends[end] = known
		return further
	}
	if p.refutes(record) {
		return false
	}
	if p.state == Quarantined && !record.at.Before(p.trialDue()) {
		p.trials = min(p.trials+1, maxTrials)
	}
	p.ends[end] = record
	if record.at.After(p.lastEnd) {
		p.lastEnd = record.at
		p.tried = 0 // rounds count from the last end
	}
	least := record.whole
	for _, r := range p.ends {
		least = min(least, r.whole)
	}
	p.others = max(p.others, int(min(record.whole-least, maxOthers)))
	if len(p.ends) > maxEnds {
		times := map[serverStart]time.Time{}
		for end, record := range p.ends {
			times[end] = record.at
		}
		delete(p.ends, oldest(times))
	}
	return true
}

// oldest returns the end of the earliest time.
func oldest(ends map[serverStart]time.Time) serverStart {
	var first serverStart
	var firstAt time.Time
	for end, at := range ends {
		if firstAt.IsZero() || at.Before(firstAt) {
			first, firstAt = end, at
		}
	}
	return first
}

// trialDue returns when the next trial of a quarantined part is due.
func (p *part) trialDue() time.Time {
	return p.lastEnd.Add(min(firstPause<<p.trials, maxPause))
}

// nextTrial returns the time until a trial is due and 0, or the time left of the
// round of trials and its number.
func (p *part) nextTrial(now time.Time) (wait time.Duration, round int64) {
	since := now.Sub(p.trialDue())
	if since < 0 {
		return -since, 0
	}
	return trialRound - since%trialRound, 1 + int64(since/trialRound)
}

// keptFrom returns the time from which evidenceTTL counts.
func (p *part) keptFrom() time.Time {
	if p.state == Quarantined {
		return p.trialDue()
	}
	return p.lastEnd
}

// weakerThan orders parts by what the table removes first.
func (p *part) weakerThan(other *part) bool {
	return cmp.Or(cmp.Compare(p.state, other.state), cmp.Compare(min(len(p.ends), 1), min(len(other.ends), 1)), p.keptFrom().Compare(other.keptFrom())) < 0
}
