package meter

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"endivedeck.example/golden"
	"endivedeck.example/rank"
)

// TestChanges checks what is reported after each count: totals, and only of the teams that
// have changed since the report before.
func TestChanges(t *testing.T) {
	var seen strings.Builder
	m := New(5 * time.Second)
	start := time.Unix(1000, 0)
	report := func(what string, since uint64) uint64 {
		windows, next := m.Changes(since)
		slices.SortFunc(windows, func(a, b Window) int { return cmp.Compare(a.Number, b.Number) })
		fmt.Fprintf(&seen, "%s: %v\n", what, windows)
		return next
	}
	m.Count(start, "north")
	m.Count(start.Add(4999*time.Millisecond), "north")
	m.Count(start.Add(5*time.Second), "south")
	next := report("three requests in two windows", 0)
	next = report("nothing since", next)
	m.Count(start.Add(time.Second), "north")
	report("a late one", next)
	m.Drop(Number(start.Add(5*time.Second), 5*time.Second))
	report("all of the windows that are kept", 0)
	golden.Check(t, "changes.golden", seen.String())
}

func TestNumber(t *testing.T) {
	for _, c := range []struct {
		at   time.Time
		want int64
	}{
		{time.Unix(0, 0), 0},
		{time.Unix(4, 999_999_999), 0},
		{time.Unix(5, 0), 1},
		{time.Unix(1_767_225_600, 0), 353_445_120},
		{time.Unix(-1, 0), -1},
	} {
		if got := Number(c.at, 5*time.Second); got != c.want {
			t.Errorf("%v: got window %d, want %d", c.at.UTC(), got, c.want)
		}
		if got := Start(c.want, 5*time.Second); got.After(c.at) {
			t.Errorf("window %d: got start %v, want one not after %v", c.want, got.UTC(), c.at.UTC())
		}
	}
}

func TestCountAllocates(t *testing.T) {
	rank.DisableChecks() // which allocate
	m := New(time.Hour)
	at := time.Unix(1000, 0)
	m.Count(at, "north")
	if got := testing.AllocsPerRun(100, func() { m.Count(at, "north") }); got != 0 {
		t.Errorf("allocations of a count: got %v, want 0", got)
	}
}

func BenchmarkCount(b *testing.B) {
	rank.DisableChecks()
	m := New(time.Hour)
	teams := make([]string, 2500)
	for i := range teams {
		teams[i] = fmt.Sprintf("team-%d", i)
	}
	at := time.Unix(1000, 0)
	b.RunParallel(func(pb *testing.PB) {
		for i := 0; pb.Next(); i++ {
			m.Count(at, teams[i%len(teams)])
		}
	})
}
