package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// datedEnd is a server's end and the time at which it was noticed.
type datedEnd struct {
	serverStart
	at       time.Time
	position int // class, as in endRecord
}

// judge determines the state of all parts. The part whose ends weigh most comes first,
// and of several with as much the one that is deepest in its prompts, which fewer
// requests share; a part that a deeper one explains comes after that one. What a
// quarantined part explains isn't held against the others.
func (t *Table) judge() {
	t.size.Store(int32(len(t.parts)))
	list := t.suspects()
	if len(list) == 0 {
		return
	}
	unexplained := maps.Clone(t.ends)
	for _, p := range list {
		for end, record := range p.ends {
			if at, known := unexplained[end]; !known || record.at.Before(at) {
				unexplained[end] = record.at
			}
		}
	}
	order := sortByEvidence(list, unexplained)
	times := sortedTimes(unexplained)
	for len(order) > 0 {
		p := order[0]
		ends := p.endsAmong(unexplained)
		state := p.stateFor(ends, times)
		if state == Quarantined {
			i, wait := deeperCause(order, ends, unexplained, times)
			if i > 0 {
				q := order[i]
				order = slices.Insert(slices.Delete(order, i, i+1), 0, q)
				continue
			}
			if wait && p.state != Quarantined {
				state = Suspect
			}
		}
		order = order[1:]
		before := p.state
		t.setState(p, state)
		if state != Quarantined {
			continue
		}
		if before != Quarantined {
			t.markChanged(p)
		}
		for _, end := range ends {
			delete(unexplained, end.serverStart)
		}
		times = sortedTimes(unexplained)
	}
}

// deeperCause looks for a deeper part that explains the ends of the first part in order,
// so that what is left of them doesn't suffice. It returns the index of such a part whose
// own ends suffice, which is to be judged first, or 0. If there is only one whose ends
// don't suffice yet, it returns that the verdict has to wait.
func deeperCause(order []*part, ends []datedEnd, unexplained map[serverStart]time.Time, times []time.Time) (index int, wait bool) {
	for i, q := range order[1:] {
		if q.depth <= order[0].depth || len(q.ends) < minSuspectEnds {
			continue
		}
		own := q.endsAmong(unexplained)
		rest := slices.DeleteFunc(slices.Clone(ends), func(e datedEnd) bool { return slices.ContainsFunc(own, e.sameStart) })
		if len(rest) != len(ends)-len(own) || len(rest) > maxUnrelatedEnds && order[0].stateFor(rest, times) == Quarantined {
			continue
		}
		if q.stateFor(own, times) == Quarantined {
			return i + 1, false
		}
		wait = wait || len(rest) <= maxUnrelatedEnds
	}
	return 0, wait
}

func (e datedEnd) sameStart(other datedEnd) bool { return e.serverStart == other.serverStart }

// suspects returns the parts with enough ends for a suspicion. The others are sound.
func (t *Table) suspects() []*part {
	var list []*part
	for _, p := range t.parts {
		if len(p.ends) < minSuspectEnds {
			t.setState(p, Sound)
			continue
		}
		list = append(list, p)
	}
	return list
}

// sortByEvidence returns the parts in the order in which they are judged.
func sortByEvidence(list []*part, unexplained map[serverStart]time.Time) []*part {
	weights := make(map[*part]int, len(list))
	for _, p := range list {
		weights[p], _ = weigh(p.endsAmong(unexplained))
	}
	slices.SortFunc(list, func(a, b *part) int {
		return cmp.Or(cmp.Compare(weights[b], weights[a]), cmp.Compare(len(b.ends), len(a.ends)), cmp.Compare(b.depth, a.depth), cmp.Compare(a.id, b.id))
	})
	return list
}

func sortedTimes(ends map[serverStart]time.Time) []time.Time {
	return slices.SortedFunc(maps.Values(ends), time.Time.Compare)
}

// endsAmong returns those ends of the part that are in unexplained, oldest first.
func (p *part) endsAmong(unexplained map[serverStart]time.Time) []datedEnd {
	var ends []datedEnd
	for end, record := range p.ends {
		if _, ok := unexplained[end]; ok {
			ends = append(ends, datedEnd{end, record.at, record.position})
		}
	}
	slices.SortFunc(ends, func(a, b datedEnd) int { return a.at.Compare(b.at) })
	return ends
}

// stateFor returns the state of the part with the given ends, oldest first, where
// times holds the times of all ends that no quarantined part explains. The evidence
// suffices if it did for any run of the ends: those before and after it may have other
// causes.
func (p *part) stateFor(ends []datedEnd, times []time.Time) State {
	if weight, _ := weigh(ends); weight < minSuspectEnds*endWeight {
		return Sound
	}
	if p.others < minOthers {
		return Suspect
	}
	for first := range ends {
		for after := first + minEnds; after <= len(ends); after++ {
			if suffices(ends[first:after], times) {
				return Quarantined
			}
		}
	}
	return Suspect
}

// suffices reports whether a run of ends shows that the part causes them.
func suffices(run []datedEnd, times []time.Time) bool {
	servers := map[uint64]bool{}
	for _, end := range run {
		servers[end.server] = true
	}
	weight, moments := weigh(run)
	if moments < minMoments {
		return false
	}
	if len(servers) < minServers && weight < minEndsOneServer*endWeight {
		return false
	}
	from, _ := slices.BinarySearchFunc(times, run[0].at.Add(-foreignWindow), time.Time.Compare)
	until, _ := slices.BinarySearchFunc(times, run[len(run)-1].at.Add(1), time.Time.Compare)
	foreign := max(until-from-len(run), 0)
	return weight >= (minEnds+(foreign+foreignPerEnd-1)/foreignPerEnd)*endWeight
}

// weigh returns how much the given ends, oldest first, weigh, endWeight for each at most,
// and the number of moments at which they occurred. Each further end at the same moment
// weighs half, since it may have the same cause, and so does one under an answer that had
// begun, since a server runs more answers than it has requests that wait.
func weigh(ends []datedEnd) (weight, moments int) {
	var counted time.Time
	for _, end := range ends {
		own := endWeight
		if moments == 0 || end.at.Sub(counted) >= sameMoment {
			moments++
			counted = end.at
		} else {
			own /= 2
		}
		if end.position > 0 {
			own /= 2
		}
		weight += own
	}
	return weight, moments
}
