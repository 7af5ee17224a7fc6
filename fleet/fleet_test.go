package fleet

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"endivedeck.example/golden"
	"endivedeck.example/message"
)

// TestTable plays what an entry hears and does, and writes down what it then
// believes of each candidate.
func TestTable(t *testing.T) {
	var seen strings.Builder
	start := time.Unix(1_800_000_000, 0)
	now := start
	table := New()
	ask := Selector{Model: "m", BlockHashes: func(int) []uint64 { return []uint64{1, 2, 3} }}
	show := func(what string) {
		fmt.Fprintf(&seen, "%5.1fs %s:", now.Sub(start).Seconds(), what)
		for _, c := range table.Candidates(now, ask, nil) {
			fmt.Fprintf(&seen, " [%s running %d own %d since %d hit %d failures %d]", c.Name, c.Running, c.InFlight, c.InFlightGrowth, c.CachedTokens, c.ConsecutiveFailures)
		}
		seen.WriteString("\n")
	}
	after := func(d time.Duration) { now = now.Add(d) }
	grant := message.Grant{Incarnation: "1", For: 2 * time.Second, Models: []string{"m"}, Load: message.Load{Capacity: 32}, PieceTokens: 16}

	table.SetBackends(now, []message.Backend{{Name: "a", Address: "a:1"}})
	show("announced, no grant yet")
	table.ApplyGrant(now, "a", grant)
	show("granted")
	for range 40 {
		ticket := table.RecordSent(now, "a", ask, 10)
		table.RecordFirstToken(now.Add(time.Millisecond), &ticket)
		table.RecordEnd(now.Add(time.Millisecond), &ticket, 1, false)
	}
	show("after 40 requests one after another")
	first := table.RecordSent(now, "a", ask, 10)
	table.RecordSent(now, "a", ask, 10)
	show("two in flight")
	grant.Load.Running = 2
	table.ApplyGrant(now, "a", grant)
	show("both in the report")
	table.RecordEnd(now, &first, 1, false)
	show("one of them done")
	after(1500 * time.Millisecond)
	table.SetBackends(now, nil)
	show("a new leader doesn't name it, its grant holds")
	after(time.Second)
	show("the grant has run out")
	table.ApplyGrant(now, "a", grant)
	failed := table.RecordSent(now, "a", ask, 10)
	table.RecordEnd(now, &failed, 0, true)
	show("rests after a failure")
	after(1100 * time.Millisecond)
	show("tried again")
	grant.Evicted = []uint64{2}
	table.ApplyGrant(now, "a", grant)
	show("the second piece evicted")
	grant.Evicted = []uint64{1, 2, 3}
	table.ApplyGrant(now, "a", grant)
	show("all pieces evicted")
	grant.For = 0
	table.ApplyGrant(now, "a", grant)
	show("leaves")
	golden.Check(t, "table.golden", seen.String())
}

// TestSubset checks that subsets of 100 keep the use of 2,000 backend servers
// by 400 entries within bounds, and that one that goes changes little.
func TestSubset(t *testing.T) {
	var backends []message.Backend
	for i := range 2000 {
		backends = append(backends, message.Backend{Name: fmt.Sprint("backend-", i), Models: []string{"m"}})
	}
	uses := map[string]int{}
	for e := range 400 {
		entry := fmt.Sprint("entry-", e)
		subset := Subset(entry, backends, 100)
		for _, b := range subset {
			uses[b.Name]++
		}
		less := Subset(entry, backends[1:], 100)
		same := map[string]bool{}
		for _, b := range subset {
			same[b.Name] = true
		}
		changed := 0
		for _, b := range less {
			if !same[b.Name] {
				changed++
			}
		}
		if changed > 1 {
			t.Fatalf("%s: got %d changes for one backend server that is gone, want 1 at most", entry, changed)
		}
	}
	for _, b := range backends {
		if got := uses[b.Name]; got < 5 || got > 45 {
			t.Errorf("%s is used by %d entries, want about 20", b.Name, got)
		}
	}
}

// BenchmarkPrefixes measures the memory of what is believed to be cached, by
// the number of backend servers, with 4,096 pieces each.
func BenchmarkPrefixes(b *testing.B) {
	for _, count := range []int{10, 30, 100} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			table := New()
			now := time.Unix(1_800_000_000, 0)
			var backends []message.Backend
			for i := range count {
				backends = append(backends, message.Backend{Name: fmt.Sprint("b", i), Address: "a"})
			}
			table.SetBackends(now, backends)
			for i := range count {
				grant := message.Grant{For: time.Hour, PieceTokens: 64}
				for piece := range uint64(4096) {
					grant.Cached = append(grant.Cached, piece*0x9E3779B97F4A7C15)
				}
				table.ApplyGrant(now, fmt.Sprint("b", i), grant)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(count)/4096, "B/piece")
			b.ReportMetric(0, "ns/op")
			runtime.KeepAlive(table)
		})
	}
}
