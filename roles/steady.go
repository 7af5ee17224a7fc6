package roles

import (
	"fmt"
	"math"
	"time"

	"endivedeck.example/change"
)

const (
	fastWeight   = 0.3              // of the newest second in the quick average
	slowWeight   = 0.05             // of the newest second in the slow average
	target       = 0.7              // of an engine's time that is planned with
	leastRest    = 60 * time.Second // between two changes of one engine
	calmRest     = 60 * time.Second // added to that at full calm
	leastHold    = 4 * time.Second  // that a need must have lasted
	calmHold     = 20 * time.Second // added to that at full calm
	mostChanging = 1                // changes at once in a failure domain
	lateWeight   = 0.1              // of the newest second in the average of late answers
	leastLate    = 0.03             // of the answers, from which a change of roles may pay
	calmLate     = 0.05             // added to that at full calm
)

var _ Policy = (*Hysteresis)(nil)

// Hysteresis changes roles when the need for it has lasted, is seen by a quick and
// a slow average of the mix alike, and is worth the time that an engine is
// away. The calmer the contracts want it, the longer it waits.
type Hysteresis struct {
	quick   Demand
	slow    Demand
	late    float64   // part of the answers that miss their limits, averaged
	since   time.Time // when the wanted number began to differ
	wanted  int
	changed map[string]time.Time // engine -> its last change
}

func init() {
	Policies.Register("steady", func() Policy {
		return &Hysteresis{changed: map[string]time.Time{}}
	})
}

// Decide implements Policy.
func (p *Hysteresis) Decide(now time.Time, s State) []Change {
	p.observe(s.Demand)
	p.late += lateWeight * (s.MissedFraction - p.late)
	have, _ := p.count(s)
	want := p.want(s)
	if want == have {
		p.since = time.Time{}
		return nil
	}
	if p.since.IsZero() || (want > have) != (p.wanted > have) {
		p.since = now
	}
	p.wanted = want
	hold := leastHold + time.Duration(s.RoleStability*float64(calmHold))
	if now.Sub(p.since) < hold || !p.worth(s, want-have) {
		return nil
	}
	return p.pick(now, s, want, have)
}

func (p *Hysteresis) observe(d Demand) {
	if p.quick == (Demand{}) {
		p.quick, p.slow = d, d
	}
	p.quick = mix(p.quick, d, fastWeight)
	p.slow = mix(p.slow, d, slowWeight)
}

// count returns the prefill engines and all that are there.
func (p *Hysteresis) count(s State) (have, all int) {
	for _, e := range s.Engines {
		if e.Withdrawing {
			continue
		}
		all++
		if e.Role == change.RolePrefill {
			have++
		}
	}
	return have, all
}

// want returns how many engines should work through long prompts: as many as
// their work fills, but no more than the rest of the work leaves.
func (p *Hysteresis) want(s State) int {
	_, all := p.count(s)
	quick := int(math.Floor(p.quick.LongPrompts / target))
	slow := int(math.Floor(p.slow.LongPrompts / target))
	want := min(quick, slow)
	if have, _ := p.count(s); have > max(quick, slow) {
		want = max(quick, slow)
	} else if have > want {
		want = have
	}
	spare := all - int(math.Ceil(p.slow.Other/target))
	return max(0, min(want, spare, all-1))
}

// worth reports whether a change is worth the time that an engine is away.
// Routing alone keeps long prompts and the rest apart; only when answers miss
// their limits all the same is there something to gain.
func (p *Hysteresis) worth(s State, difference int) bool {
	if p.late < leastLate+s.RoleStability*calmLate {
		return false
	}
	lasts := leastRest.Seconds()
	gain := p.late * float64(len(s.Engines)) * lasts
	return gain > s.ChangeDuration.Seconds()*float64(abs(difference))
}

// pick takes an engine that hasn't changed for long, in the failure domain
// that has the most of the kind, within the limits of its domain.
func (p *Hysteresis) pick(now time.Time, s State, want, have int) []Change {
	to := change.RolePrefill
	if want < have {
		to = change.RoleBoth
	}
	rest := leastRest + time.Duration(s.RoleStability*float64(calmRest))
	takers, changing := perDomain(s)
	best := -1
	for i, e := range s.Engines {
		isPrefill := e.Role == change.RolePrefill
		if e.ChangePending || e.Withdrawing || isPrefill == (to == change.RolePrefill) {
			continue
		}
		if at, ok := p.changed[e.Name]; ok && now.Sub(at) < rest {
			continue
		}
		if changing[e.FailureDomain] >= mostChanging || to == change.RolePrefill && takers[e.FailureDomain] <= s.MinNonPrefill {
			continue
		}
		if best < 0 || takers[e.FailureDomain] > takers[s.Engines[best].FailureDomain] {
			best = i
		}
	}
	if best < 0 {
		return nil
	}
	e := s.Engines[best]
	p.changed[e.Name] = now
	p.since = time.Time{}
	reason := fmt.Sprintf("long prompts take %.1f engines now, %.1f over a while; %d of %d wanted", p.quick.LongPrompts, p.slow.LongPrompts, want, len(s.Engines))
	return []Change{{Engine: e.Name, Role: to, Reason: reason}}
}

// perDomain counts, by failure domain, the engines that take chats and those
// that change.
func perDomain(s State) (takers, changing map[string]int) {
	takers = map[string]int{}
	changing = map[string]int{}
	for _, e := range s.Engines {
		if e.ChangePending {
			changing[e.FailureDomain]++
		}
		if e.Role != change.RolePrefill && !e.Withdrawing && !e.ChangePending {
			takers[e.FailureDomain]++
		}
	}
	return takers, changing
}

func mix(old, newest Demand, weight float64) Demand {
	return Demand{
		LongPrompts: old.LongPrompts + weight*(newest.LongPrompts-old.LongPrompts),
		Other:       old.Other + weight*(newest.Other-old.Other),
	}
}

func abs(n int) int {
	if n < 0 {
		return -n
	}
	return n
}
