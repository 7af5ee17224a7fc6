package budget

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestLimitAcrossRelays has eight relays request more retries than the limit
// allows. The retries of all relays together must stay within the limit in
// every window.
func TestLimitAcrossRelays(t *testing.T) {
	const relays = 8
	limit := Limit{Ratio: 0.2, Slack: 60, Window: 10 * time.Second}
	random := rand.New(rand.NewPCG(1, 2))
	var budgets [relays]*Budget
	for i := range budgets {
		budgets[i] = New(limit)
	}
	now := time.Unix(1_800_000_000, 0)
	var firstAttempts, retries []time.Time
	for range 60_000 { // one minute in steps of 1 ms
		now = now.Add(time.Millisecond)
		b := budgets[random.IntN(relays)]
		if random.Float64() < 0.1 {
			b.CountRequest(now, "assist")
			firstAttempts = append(firstAttempts, now)
		}
		if b.TryRetry(now, "assist", relays) {
			retries = append(retries, now)
		}
	}
	if len(retries) == 0 {
		t.Fatal("got no retries, want some")
	}
	for _, start := range retries {
		got := countWithin(retries, start, limit.Window)
		want := limit.Ratio*float64(countWithin(firstAttempts, start, limit.Window)) + limit.Slack
		if start.Add(limit.Window).Before(now) && float64(got) > want {
			t.Fatalf("got %d retries in the window from %v, want at most %v", got, start, want)
		}
	}
}

// countWithin returns how many of times lie in the window of the given length
// that begins at start.
func countWithin(times []time.Time, start time.Time, length time.Duration) int {
	count := 0
	for _, at := range times {
		if !at.Before(start) && at.Before(start.Add(length)) {
			count++
		}
	}
	return count
}

// TestSeparateServices checks that services don't share a budget, and that a
// budget is available again once its window has passed.
func TestSeparateServices(t *testing.T) {
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
		t.Errorf("got %d, %d and %d retries, want 7 each: a slack of 10 times the safety factor 0.7", first, other, later)
	}
}
