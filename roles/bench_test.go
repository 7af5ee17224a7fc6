package roles

import (
	"fmt"
	"testing"
	"time"

	"endivedeck.example/change"
)

// BenchmarkDecide measures one role decision by the number of engines.
func BenchmarkDecide(b *testing.B) {
	for _, count := range []int{100, 1000, 10_000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			newPolicy, err := Policies.Lookup("steady")
			if err != nil {
				b.Fatal(err)
			}
			p := newPolicy()
			s := State{MissedFraction: 0.2, ChangeDuration: 4 * time.Second, MinNonPrefill: 1}
			for i := range count {
				s.Engines = append(s.Engines, Engine{Name: fmt.Sprint("engine-", i), FailureDomain: fmt.Sprint(i % 9), Role: change.RoleBoth})
			}
			s.Demand = Demand{LongPrompts: float64(count) * 0.3, Other: float64(count) * 0.3}
			now := time.Unix(1_800_000_000, 0)
			for b.Loop() {
				now = now.Add(time.Second)
				p.Decide(now, s)
			}
		})
	}
}
