package roles

import (
	"fmt"
	"math"
	"time"

	"endivedeck.example/change"
)

const (
	fastAverageWeight   = 0.3              // of the newest sample in the fast average of the demand
	slowAverageWeight   = 0.05             // of the newest sample in the slow average of the demand
	targetUtilization   = 0.7              // planned utilization of an engine
	minChangeInterval   = 60 * time.Second // between two changes of one engine
	extraChangeInterval = 60 * time.Second // added to it, scaled by State.RoleStability
	minHoldTime         = 4 * time.Second  // for which a different number of prefill engines must have been wanted
	extraHoldTime       = 20 * time.Second // added to it, scaled by State.RoleStability
	maxChangesPerDomain = 1                // at the same time
	missedAverageWeight = 0.1              // of the newest sample in the average of missed limits
	minMissedFraction   = 0.03             // of the answers that must miss their limits before a change can pay
	extraMissedFraction = 0.05             // added to it, scaled by State.RoleStability
)

var _ Policy = (*Hysteresis)(nil)

// Hysteresis changes a role only when the need has lasted, a fast and a slow
// average of the demand agree on it, and the expected gain exceeds the cost of
// an engine being unavailable. The higher State.RoleStability is, the longer it
// waits.
type Hysteresis struct {
	fastAverage    Demand
	slowAverage    Demand
	missedFraction float64              // of the answers, averaged
	differsSince   time.Time            // when the wanted number began to differ; zero if it does not
	wanted         int                  // prefill engines, at the previous call of Decide
	changedAt      map[string]time.Time // by engine
}

func init() {
	Policies.Register("steady", func() Policy {
		return &Hysteresis{changedAt: map[string]time.Time{}}
	})
}

// Decide implements Policy.
func (p *Hysteresis) Decide(now time.Time, s State) []Change {
	p.updateAverages(s.Demand)
	p.missedFraction += missedAverageWeight * (s.MissedFraction - p.missedFraction)
	current, _ := p.countPrefill(s)
	wanted := p.wantedPrefill(s)
	if wanted == current {
		p.differsSince = time.Time{}
		return nil
	}
	if p.differsSince.IsZero() || (wanted > current) != (p.wanted > current) {
		p.differsSince = now
	}
	p.wanted = wanted
	hold := minHoldTime + time.Duration(s.RoleStability*float64(extraHoldTime))
	if now.Sub(p.differsSince) < hold || !p.isWorthwhile(s, wanted-current) {
		return nil
	}
	return p.pickEngine(now, s, wanted, current)
}

func (p *Hysteresis) updateAverages(d Demand) {
	if p.fastAverage == (Demand{}) {
		p.fastAverage, p.slowAverage = d, d
	}
	p.fastAverage = weightedAverage(p.fastAverage, d, fastAverageWeight)
	p.slowAverage = weightedAverage(p.slowAverage, d, slowAverageWeight)
}

// countPrefill returns the number of prefill engines and of all engines,
// without those that are being withdrawn.
func (p *Hysteresis) countPrefill(s State) (prefill, all int) {
	for _, e := range s.Engines {
		if e.Withdrawing {
			continue
		}
		all++
		if e.Role == change.RolePrefill {
			prefill++
		}
	}
	return prefill, all
}

// wantedPrefill returns how many engines should have the prefill role: as many
// as the long prompts need at targetUtilization, but no more than the other
// work leaves free. While the current number lies between those of the two
// averages, it stays.
func (p *Hysteresis) wantedPrefill(s State) int {
	_, all := p.countPrefill(s)
	fast := int(math.Floor(p.fastAverage.LongPrompts / targetUtilization))
	slow := int(math.Floor(p.slowAverage.LongPrompts / targetUtilization))
	wanted := min(fast, slow)
	if current, _ := p.countPrefill(s); current > max(fast, slow) {
		wanted = max(fast, slow)
	} else if current > wanted {
		wanted = current
	}
	free := all - int(math.Ceil(p.slowAverage.Other/targetUtilization))
	return max(0, min(wanted, free, all-1))
}

// isWorthwhile reports whether the expected gain of role changes exceeds the
// engine time that they cost. Routing already keeps long prompts apart from
// other requests, so there is something to gain only while answers miss their
// limits.
func (p *Hysteresis) isWorthwhile(s State, difference int) bool {
	if p.missedFraction < minMissedFraction+s.RoleStability*extraMissedFraction {
		return false
	}
	seconds := minChangeInterval.Seconds()
	gain := p.missedFraction * float64(len(s.Engines)) * seconds
	return gain > s.ChangeDuration.Seconds()*float64(abs(difference))
}

// pickEngine returns the change of one engine that has not changed recently,
// in the failure domain with the most engines of other roles than prefill. It
// returns nil if the limits of the failure domains allow no change.
func (p *Hysteresis) pickEngine(now time.Time, s State, wanted, current int) []Change {
	to := change.RolePrefill
	if wanted < current {
		to = change.RoleBoth
	}
	interval := minChangeInterval + time.Duration(s.RoleStability*float64(extraChangeInterval))
	nonPrefill, changing := countByDomain(s)
	best := -1
	for i, e := range s.Engines {
		isPrefill := e.Role == change.RolePrefill
		if e.ChangePending || e.Withdrawing || isPrefill == (to == change.RolePrefill) {
			continue
		}
		if at, ok := p.changedAt[e.Name]; ok && now.Sub(at) < interval {
			continue
		}
		if changing[e.FailureDomain] >= maxChangesPerDomain || to == change.RolePrefill && nonPrefill[e.FailureDomain] <= s.MinNonPrefill {
			continue
		}
		if best < 0 || nonPrefill[e.FailureDomain] > nonPrefill[s.Engines[best].FailureDomain] {
			best = i
		}
	}
	if best < 0 {
		return nil
	}
	e := s.Engines[best]
	p.changedAt[e.Name] = now
	p.differsSince = time.Time{}
	reason := fmt.Sprintf("long prompts load %.1f engines by the fast average, %.1f by the slow one; %d of %d engines wanted in the prefill role", p.fastAverage.LongPrompts, p.slowAverage.LongPrompts, wanted, len(s.Engines))
	return []Change{{Engine: e.Name, Role: to, Reason: reason}}
}

// countByDomain counts, by failure domain, the engines of other roles than
// prefill that are available and the engines whose role is changing.
func countByDomain(s State) (nonPrefill, changing map[string]int) {
	nonPrefill = map[string]int{}
	changing = map[string]int{}
	for _, e := range s.Engines {
		if e.ChangePending {
			changing[e.FailureDomain]++
		}
		if e.Role != change.RolePrefill && !e.Withdrawing && !e.ChangePending {
			nonPrefill[e.FailureDomain]++
		}
	}
	return nonPrefill, changing
}

func weightedAverage(old, newest Demand, weight float64) Demand {
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
