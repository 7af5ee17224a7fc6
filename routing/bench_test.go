package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// BenchmarkChoose measures one routing decision by the number of candidates.
func BenchmarkChoose(b *testing.B) {
	for _, policy := range []string{"parted", "expected"} {
		for _, count := range []int{100, 1000, 10_000} {
			b.Run(fmt.Sprintf("%s/%d", policy, count), func(b *testing.B) {
				newPolicy, err := Policies.Lookup(policy)
				if err != nil {
					b.Fatal(err)
				}
				random := rand.New(rand.NewPCG(1, 1))
				p := newPolicy(random)
				candidates := make([]Candidate, count)
				for i := range candidates {
					candidates[i] = Candidate{
						Name: fmt.Sprint("backend-", i), FailureDomain: fmt.Sprint(i % 9), Role: "both",
						Running: random.IntN(30), Slots: 32, PromptRate: 20_000, CachedTokens: 64 * (i % 50 / 49),
					}
				}
				now := time.Unix(1_800_000_000, 0)
				r := Request{PromptTokens: 800, AnswerTokens: 100, TTFTLimit: time.Second, EntryCount: 1800}
				b.ReportAllocs()
				for b.Loop() {
					now = now.Add(time.Millisecond)
					r.At = now
					p.Choose(r, candidates)
				}
			})
		}
	}
}
