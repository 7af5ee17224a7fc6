package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"endivedeck.example/admission"
	"endivedeck.example/contract"
	"endivedeck.example/fleet"
	"endivedeck.example/message"
	"endivedeck.example/rank"
	"endivedeck.example/routing"
	"endivedeck.example/settings"
)

// BenchmarkDecision measures one decision, from admission to routing, by the
// number of backend servers. The entry process uses a subset of 100 of them.
func BenchmarkDecision(b *testing.B) {
	rank.DisableChecks()
	for _, count := range []int{100, 1000, 10_000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			newPolicy, err := routing.Policies.Lookup("parted")
			if err != nil {
				b.Fatal(err)
			}
			now := time.Unix(1_800_000_000, 0)
			d := New(fleet.New(), admission.New(), newPolicy(rand.New(rand.NewPCG(1, 1))))
			d.Admission.SetSplit(admission.Split{Entries: 1})
			var backends []message.Backend
			for i := range count {
				backends = append(backends, message.Backend{Name: fmt.Sprint("backend-", i), Address: "a", FailureDomain: fmt.Sprint(i % 9), Models: []string{"m"}})
			}
			subset := fleet.Subset("entry-1", backends, 100)
			d.Fleet.SetBackends(now, subset)
			for _, backend := range subset {
				d.Fleet.ApplyGrant(now, backend.Name, message.Grant{Duration: time.Hour, Models: []string{"m"}, Load: message.Load{Capacity: 32}, BlockTokens: 64})
			}
			class := contract.Class{WholeAnswer: settings.Duration(time.Minute), Rate: 1e6, Burst: 1e6, Concurrency: 1e6, Priority: 5}
			accepted := contract.Accepted{Contract: contract.Contract{Customer: "crews", Share: 1, Classes: map[string]contract.Class{"chat": class}}}
			prefix := make([]uint64, 12)
			selector := fleet.Selector{Model: "m", BlockHashes: func(int) []uint64 { return prefix }}
			request := routing.Request{PromptTokens: 800, AnswerTokens: 100, TTFTLimit: time.Second}
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(10 * time.Millisecond)
				reservation, err := d.Admit(now, accepted, "chat", 800, selector)
				if err != nil {
					b.Fatal(err)
				}
				decision, err := d.Choose(now, request, selector)
				if err != nil {
					b.Fatal(err)
				}
				d.Fleet.RecordFirstToken(now, &decision.Ticket)
				d.Fleet.RecordEnd(now, &decision.Ticket, 100, false)
				d.Admission.Release(reservation, 100)
			}
		})
	}
}
