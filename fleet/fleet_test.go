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

// TestTable checks the candidates after announcements, grants and requests. It
// guards against requests to a backend server without a valid grant or within
// the backoff after a failure, and against requests that are counted twice
// because they are both in flight and in the report.
func TestTable(t *testing.T) {
	var got strings.Builder
	start := time.Unix(1_800_000_000, 0)
	now := start
	table := New()
	selector := Selector{Model: "m", BlockHashes: func(int) []uint64 { return []uint64{1, 2, 3} }}
	show := func(step string) {
		fmt.Fprintf(&got, "%5.1fs %s:", now.Sub(start).Seconds(), step)
		for _, c := range table.Candidates(now, selector, nil) {
			fmt.Fprintf(&got, " [%s running %d in flight %d (%+d since report) cached %d failures %d]", c.Name, c.Running, c.InFlight, c.InFlightGrowth, c.CachedTokens, c.ConsecutiveFailures)
		}
		got.WriteString("\n")
	}
	advance := func(d time.Duration) { now = now.Add(d) }
	grant := message.Grant{Incarnation: "1", Duration: 2 * time.Second, Models: []string{"m"}, Load: message.Load{Capacity: 32}, BlockTokens: 16}

	table.SetBackends(now, []message.Backend{{Name: "a", Address: "a:1"}})
	show("announced, no grant yet")
	table.ApplyGrant(now, "a", grant)
	show("granted")
	for range 40 {
		ticket := table.RecordSent(now, "a", selector, 10)
		table.RecordFirstToken(now.Add(time.Millisecond), &ticket)
		table.RecordEnd(now.Add(time.Millisecond), &ticket, 1, false)
	}
	show("after 40 requests, one at a time")
	first := table.RecordSent(now, "a", selector, 10)
	table.RecordSent(now, "a", selector, 10)
	show("two in flight")
	grant.Load.Running = 2
	table.ApplyGrant(now, "a", grant)
	show("both are in the report")
	table.RecordEnd(now, &first, 1, false)
	show("one of them is done")
	advance(1500 * time.Millisecond)
	table.SetBackends(now, nil)
	show("not announced by a new leader, its grant is valid")
	advance(time.Second)
	show("the grant has expired")
	table.ApplyGrant(now, "a", grant)
	failed := table.RecordSent(now, "a", selector, 10)
	table.RecordEnd(now, &failed, 0, true)
	show("backoff after a failure")
	advance(1100 * time.Millisecond)
	show("the backoff has ended")
	grant.EvictedBlocks = []uint64{2}
	table.ApplyGrant(now, "a", grant)
	show("the second block evicted")
	grant.EvictedBlocks = []uint64{1, 2, 3}
	table.ApplyGrant(now, "a", grant)
	show("all blocks evicted")
	grant.Duration = 0
	table.ApplyGrant(now, "a", grant)
	show("grants no more work")
	golden.Check(t, "table.golden", got.String())
}

// TestSubset checks that with subsets of 100, 400 entry processes use 2,000
// backend servers evenly, and that the removal of a backend server changes at
// most one element of each subset.
func TestSubset(t *testing.T) {
	var backends []message.Backend
	for i := range 2000 {
		backends = append(backends, message.Backend{Name: fmt.Sprint("backend-", i), Models: []string{"m"}})
	}
	users := map[string]int{}
	for e := range 400 {
		entry := fmt.Sprint("entry-", e)
		subset := Subset(entry, backends, 100)
		for _, b := range subset {
			users[b.Name]++
		}
		reduced := Subset(entry, backends[1:], 100)
		before := map[string]bool{}
		for _, b := range subset {
			before[b.Name] = true
		}
		changed := 0
		for _, b := range reduced {
			if !before[b.Name] {
				changed++
			}
		}
		if changed > 1 {
			t.Fatalf("%s: got %d changes after the removal of one backend server, want 1 at most", entry, changed)
		}
	}
	for _, b := range backends {
		if got := users[b.Name]; got < 5 || got > 45 {
			t.Errorf("%s: got %d entries that use it, want about 20 (5 to 45)", b.Name, got)
		}
	}
}

// BenchmarkPrefixes measures the memory per recorded block of the prefix cache,
// by the number of backend servers, with 4,096 blocks each.
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
				grant := message.Grant{Duration: time.Hour, BlockTokens: 64}
				for block := range uint64(4096) {
					grant.CachedBlocks = append(grant.CachedBlocks, block*0x9E3779B97F4A7C15)
				}
				table.ApplyGrant(now, fmt.Sprint("b", i), grant)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(count)/4096, "B/block")
			b.ReportMetric(0, "ns/op")
			runtime.KeepAlive(table)
		})
	}
}
