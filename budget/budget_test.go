package budget

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestSum has eight relays ask for more than there is: in each window the
// extras of all together keep to the bound.
func TestSum(t *testing.T) {
	const relays = 8
	bound := Limit{Ratio: 0.2, Slack: 60, Window: 10 * time.Second}
	random := rand.New(rand.NewPCG(1, 2))
	var all [relays]*Budget
	for i := range all {
		all[i] = New(bound)
	}
	now := time.Unix(1_800_000_000, 0)
	var firsts, extras []time.Time
	for range 60_000 { // a minute, a millisecond at a time
		now = now.Add(time.Millisecond)
		b := all[random.IntN(relays)]
		if random.Float64() < 0.1 {
			b.CountRequest(now, "assist")
			firsts = append(firsts, now)
		}
		if b.TryRetry(now, "assist", relays) {
			extras = append(extras, now)
		}
	}
	if len(extras) == 0 {
		t.Fatal("got no extra arrival, want some")
	}
	for _, from := range extras {
		got := within(extras, from, bound.Window)
		want := bound.Ratio*float64(within(firsts, from, bound.Window)) + bound.Slack
		if from.Add(bound.Window).Before(now) && float64(got) > want {
			t.Fatalf("got %d extras in the window from %v, want at most %v", got, from, want)
		}
	}
}

func within(times []time.Time, from time.Time, length time.Duration) int {
	count := 0
	for _, at := range times {
		if !at.Before(from) && at.Before(from.Add(length)) {
			count++
		}
	}
	return count
}

// TestApart shows that services don't share a budget, and that it comes back.
func TestApart(t *testing.T) {
	b := New(Limit{Ratio: 0.2, Slack: 10, Window: 10 * time.Second})
	now := time.Unix(1_800_000_000, 0)
	spend := func(service string) int {
		count := 0
		for b.TryRetry(now, service, 1) {
			count++
		}
		return count
	}
	first, other := spend("assist"), spend("ledger")
	now = now.Add(11 * time.Second)
	later := spend("assist")
	if first != 7 || other != 7 || later != 7 {
		t.Errorf("got %d, %d and %d extras, want 7 each: the safe part of 10", first, other, later)
	}
}
