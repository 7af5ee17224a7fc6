package roles

import (
	"fmt"
	"math"
	"time"

	"endivedeck.example/change"
)

var (
	_ Policy = Fixed{}
	_ Policy = Greedy{}
)

type (
	// Fixed never changes a role.
	Fixed struct{}

	// Greedy follows the mix of the moment at once.
	Greedy struct{}
)

func init() {
	Policies.Register("fixed", func() Policy { return Fixed{} })
	Policies.Register("greedy", func() Policy { return Greedy{} })
}

// Decide implements Policy.
func (Fixed) Decide(time.Time, State) []Change { return nil }

// Decide implements Policy.
func (Greedy) Decide(_ time.Time, s State) []Change {
	total := s.Demand.LongPrompts + s.Demand.Other
	if total == 0 {
		return nil
	}
	want := int(math.Round(float64(len(s.Engines)) * s.Demand.LongPrompts / total))
	have := 0
	for _, e := range s.Engines {
		if e.Role == change.RolePrefill {
			have++
		}
	}
	from, to := change.RoleBoth, change.RolePrefill
	if have > want {
		from, to = change.RolePrefill, change.RoleBoth
	}
	for _, e := range s.Engines {
		if have != want && e.Role == from && !e.ChangePending && !e.Withdrawing {
			return []Change{{Engine: e.Name, Role: to, Reason: fmt.Sprintf("%d of %d wanted now", want, len(s.Engines))}}
		}
	}
	return nil
}
