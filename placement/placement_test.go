package placement

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"endivedeck.example/fault"
	"endivedeck.example/golden"
	"endivedeck.example/roster"
	"endivedeck.example/routes"
)

var start = time.Unix(1_800_000_000, 0)

// newEngineTable returns a table of the prefill engines p1 to p3 and the decode
// engines d1 to d4.
func newEngineTable() *Table {
	t := New()
	var list []roster.Server
	for i := range 3 {
		list = append(list, roster.Server{ID: fmt.Sprintf("p%d", i+1), Service: "assist", Address: fmt.Sprintf("10.0.0.%d:80", i), Slots: 32, Stage: roster.Prefill})
	}
	for i := range 4 {
		list = append(list, roster.Server{ID: fmt.Sprintf("d%d", i+1), Service: "assist", Address: fmt.Sprintf("10.0.1.%d:80", i), Slots: 32, Stage: roster.Decode})
	}
	t.SetServers(list)
	return t
}

// longPrompt returns a request with three parts: the first is the same for all
// requests, the others depend on id.
func longPrompt(id uint64) Request {
	return Request{Service: "assist", ObjectiveLeft: 150 * time.Millisecond, TimeLeft: 2 * time.Second, PromptTokens: 9200, Prompt: []Part{{ID: 1, Tokens: 2520}, {ID: id, Tokens: 3780}, {ID: 1000 + id, Tokens: 2900}}}
}

func chat() Request {
	return Request{Service: "assist", ObjectiveLeft: 150 * time.Millisecond, TimeLeft: 15 * time.Second, PromptTokens: 220, Prompt: []Part{{ID: 5, Tokens: 79}, {ID: 6, Tokens: 141}}}
}

// serverID returns the ID of a ticket's server, or "-" without a ticket.
func serverID(ticket *Ticket) string {
	if ticket == nil {
		return "-"
	}
	return ticket.Server.ID
}

// TestLongPrompts places forty prompts at the same time. Each goes where its
// response begins first, so prefill engines are used before decode engines.
func TestLongPrompts(t *testing.T) {
	var got strings.Builder
	table := newEngineTable()
	for i := range 40 {
		c, err := table.Choose(start, longPrompt(uint64(10+i)))
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&got, "%2d: prefill at %s, decode at %s, queue %3d ms, first byte after %3d ms\n", i+1, serverID(c.Prefiller), serverID(c.Runner), c.QueueTime.Milliseconds(), c.FirstByte.Milliseconds())
	}
	golden.Check(t, "prompts.golden", got.String())
}

// TestChats checks that chats are packed onto few engines, and that a long prompt
// goes to an engine without chats.
func TestChats(t *testing.T) {
	var got strings.Builder
	table := newEngineTable()
	counts := map[string]int{}
	for i := range 60 {
		c, err := table.Choose(start, chat())
		if err != nil {
			t.Fatal(err)
		}
		c.Runner.ResponseBegun(start, 5*time.Millisecond)
		counts[serverID(c.Runner)]++
		if (i+1)%10 == 0 {
			fmt.Fprintf(&got, "%d chats: %v\n", i+1, counts)
		}
	}
	single := longPrompt(77)
	single.SingleEngine = true
	c, err := table.Choose(start, single)
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(&got, "long prompt: %s, which has %d chats\n", serverID(c.Runner), counts[serverID(c.Runner)])
	golden.Check(t, "chats.golden", got.String())
}

// TestPeerLoad checks that an engine that another relay has loaded is avoided
// until the report has expired.
func TestPeerLoad(t *testing.T) {
	table := newEngineTable()
	first, err := table.Choose(start, longPrompt(5))
	if err != nil {
		t.Fatal(err)
	}
	busy := serverID(first.Prefiller)
	first.Cancel(start)
	table.UpdatePeer(start, "relay-2", []Load{{Server: busy, Pending: 200 * time.Millisecond, Active: 8}}, nil)
	second, err := table.Choose(start, longPrompt(5))
	if err != nil {
		t.Fatal(err)
	}
	if serverID(second.Prefiller) == busy {
		t.Errorf("got %s, which another relay has loaded, want another engine", busy)
	}
	second.Cancel(start)
	third, err := table.Choose(start.Add(time.Second), longPrompt(5))
	if err != nil {
		t.Fatal(err)
	}
	if got, want := serverID(third.Prefiller), busy; got != want {
		t.Errorf("got %s once the report has expired, want %s", got, want)
	}
}

// TestRemovePeer checks that the load of a relay that has left counts no more and is
// not kept.
func TestRemovePeer(t *testing.T) {
	table := newEngineTable()
	table.UpdatePeer(start, "relay-2", []Load{{Server: "p1", Pending: 200 * time.Millisecond, Active: 8}}, nil)
	table.RemovePeer("relay-2")
	if got := len(table.peerLoads); got != 0 {
		t.Errorf("relays whose load is kept: got %d, want 0", got)
	}
	if got := table.loadOf(start, table.servers["p1"]).active; got != 0 {
		t.Errorf("requests at p1: got %d, want 0", got)
	}
}

// TestFailures checks that a server that doesn't respond is in backoff, longer
// each time, and is then used again, and that a server in backoff is used if all
// of them are.
func TestFailures(t *testing.T) {
	var got strings.Builder
	table := New()
	table.SetServers([]roster.Server{{ID: "a", Service: "ledger"}, {ID: "b", Service: "ledger"}})
	req := Request{Service: "ledger"}
	now := start
	endWithoutResponse := func(id string) {
		c, err := table.Choose(now, Request{Service: "ledger", Excluded: map[string]bool{other(id): true}})
		if err != nil {
			t.Fatal(err)
		}
		c.Runner.End(now, Outcome{Result: NoResponse})
	}
	count := func() string {
		counts := map[string]int{}
		for range 10 {
			c, err := table.Choose(now, req)
			if err != nil {
				return err.Error()
			}
			counts[serverID(c.Runner)]++
			c.Runner.End(now, Outcome{Result: Succeeded, FirstByte: 30 * time.Millisecond})
		}
		return fmt.Sprint(counts)
	}
	endWithoutResponse("a")
	fmt.Fprintf(&got, "one request to a without a response: %s\n", count())
	now = now.Add(900 * time.Millisecond)
	fmt.Fprintf(&got, "after 0.9 s: %s\n", count())
	endWithoutResponse("a")
	now = now.Add(1900 * time.Millisecond)
	fmt.Fprintf(&got, "1.9 s after another: %s\n", count())
	endWithoutResponse("b")
	fmt.Fprintf(&got, "one to b without a response, both in backoff: %s\n", count())
	now = now.Add(5 * time.Second)
	fmt.Fprintf(&got, "after 5 s: %s\n", count())
	table.SetServers(nil)
	fmt.Fprintf(&got, "no servers: %s\n", count())
	golden.Check(t, "failures.golden", got.String())
}

func other(id string) string {
	if id == "a" {
		return "b"
	}
	return "a"
}

// TestDraining checks that a draining server gets no further requests, and that a
// ticket can still be ended once its server has been removed.
func TestDraining(t *testing.T) {
	table := New()
	list := []roster.Server{{ID: "a", Service: "ledger"}}
	table.SetServers(list)
	c, err := table.Choose(start, Request{Service: "ledger"})
	if err != nil {
		t.Fatal(err)
	}
	list[0].Draining = true
	table.SetServers(list)
	if _, err := table.Choose(start, Request{Service: "ledger"}); err == nil {
		t.Error("got a draining server, want none")
	}
	c.Runner.End(start, Outcome{Result: Succeeded})
}

func BenchmarkChoosePrompt(b *testing.B) {
	for _, count := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			table := New()
			var list []roster.Server
			for i := range count {
				list = append(list, roster.Server{ID: fmt.Sprint("e", i), Service: "assist", Slots: 32, Stage: roster.Decode})
			}
			table.SetServers(list)
			for i := 0; b.Loop(); i++ {
				c, err := table.Choose(start, longPrompt(uint64(i%700)))
				if err != nil {
					b.Fatal(err)
				}
				c.Cancel(start)
			}
		})
	}
}

// TestPrefixCache places prompts that share parts. A prefix that one engine has
// cached is fetched by others, until later prompts have evicted it.
func TestPrefixCache(t *testing.T) {
	var got strings.Builder
	table := newEngineTable()
	table.Configure(map[string]routes.Engine{"assist": {CacheTokens: 100_000, BytesPerToken: 262144, TransferRate: 2e12}}, nil)
	place := func(label string, req Request) Choice {
		c, err := table.Choose(start, req)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&got, "%s: prefill at %s, cache from %s, decode at %s, first byte after %d ms\n", label, serverID(c.Prefiller), prefixSource(c), serverID(c.Runner), c.FirstByte.Milliseconds())
		return c
	}
	c := place("first", longPrompt(5))
	place("same parts, while the first is being prefilled", longPrompt(5)).Cancel(start)
	c.Runner.ResponseBegun(start, 20*time.Millisecond)
	place("same parts, once the first is being decoded", longPrompt(5))
	place("other parts", longPrompt(6))
	inserts, next := table.CacheInserts(0)
	_, after := table.CacheInserts(next)
	more := after - next
	fmt.Fprintf(&got, "reported to other relays: %d insertions, then %d\n", len(inserts), more)

	other := newEngineTable()
	other.Configure(map[string]routes.Engine{"assist": {CacheTokens: 100_000, BytesPerToken: 262144, TransferRate: 2e12}}, nil)
	other.UpdatePeer(start, "relay-1", nil, inserts)
	table = other
	place("same parts at another relay, with all engines idle", longPrompt(5))
	for i := range 200 {
		c, err := table.Choose(start, longPrompt(uint64(100+i)))
		if err != nil {
			t.Fatal(err)
		}
		c.Runner.ResponseBegun(start, 20*time.Millisecond)
		c.Cancel(start)
	}
	place("same parts, after 200 other prompts", longPrompt(5))
	golden.Check(t, "prefixcache.golden", got.String())
}

// prefixSource returns the address of the prefix source, or "none".
func prefixSource(c Choice) string {
	if c.PrefixSource == "" {
		return "none"
	}
	return c.PrefixSource
}

// TestLatePrompts fills the engines. Prompts that can't meet their latency
// objective are placed with low priority and not on the engine with the chat,
// and are refused once their responses would come too late to be useful. One that
// can meet its objective still goes before them.
func TestLatePrompts(t *testing.T) {
	var got strings.Builder
	table := newEngineTable()
	if _, err := table.Choose(start, chat()); err != nil {
		t.Fatal(err)
	}
	counts := map[string]int{}
	for i := range 400 {
		c, err := table.Choose(start, longPrompt(uint64(10+i)))
		switch {
		case err != nil:
			counts["refused: "+string(fault.KindOf(err))]++
		case c.Late && c.Prefiller == nil:
			counts["late, at "+serverID(c.Runner)]++
		case c.Late:
			counts["late, prefill elsewhere"]++
		default:
			counts["in time"]++
		}
	}
	fmt.Fprintln(&got, "400 at the same time:", counts)
	missed := longPrompt(9)
	missed.ObjectiveLeft = 0
	idle := newEngineTable()
	c, err := idle.Choose(start, missed)
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(&got, "objective already missed, engines idle: late %v, queue %v\n", c.Late, c.QueueTime)
	c, err = idle.Choose(start, longPrompt(8))
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(&got, "then one that can meet its objective: late %v, queue %v\n", c.Late, c.QueueTime)
	required := longPrompt(7)
	required.MustPlace = true
	c, err = table.Choose(start, required)
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(&got, "one that must be placed, after the 400: late %v\n", c.Late)
	golden.Check(t, "late.golden", got.String())
}

// TestInconsistentTokenCounts places prompts whose parts don't add up to the
// declared total. That must not make any engine's pending time or cache negative.
func TestInconsistentTokenCounts(t *testing.T) {
	table := newEngineTable()
	for _, tokens := range []int{1025, 2000, 9200, 1 << 30} {
		for range 2 {
			req := longPrompt(5)
			req.PromptTokens = tokens
			req.MustPlace = true
			c, err := table.Choose(start, req)
			if err != nil {
				t.Fatal(err)
			}
			if c.FirstByte <= 0 {
				t.Errorf("%d tokens with parts of 9,200: got %v to the first byte, want more than 0", tokens, c.FirstByte)
			}
		}
		for id, s := range table.servers {
			if s.pending < 0 || s.latePending < 0 || s.cache.inserted < 0 {
				t.Errorf("%d tokens: got %v and %v of pending prefill and %d cached tokens at %s, want none negative", tokens, s.pending, s.latePending, s.cache.inserted, id)
			}
		}
	}
}

// TestWaitFactor checks that the wait factor grows with a prompt's value per
// prefill time, and that large prompts get the highest factor after too many of
// them were refused.
func TestWaitFactor(t *testing.T) {
	var got strings.Builder
	table := New()
	request := func(tokens int) Request { return Request{Class: "notes", PromptTokens: tokens, MaxTokens: 100} }
	class := table.class(request(9000))
	for i := range 2000 {
		req := request(6000 + 60*(i*37%100))
		class.waitFactor(req, 12*time.Millisecond)
		class.recordServed(req, 1)
	}
	fmt.Fprintf(&got, "large from %.0f, largest from %.0f\n", class.largeThreshold, class.largestThreshold)
	check := func(label string, tokens int, prefill time.Duration) {
		fmt.Fprintf(&got, "%s: %.2f\n", label, class.waitFactor(request(tokens), prefill))
	}
	check("average", 9000, 12*time.Millisecond)
	check("mostly cached", 9000, 5*time.Millisecond)
	check("small, mostly cached", 7000, 4*time.Millisecond)
	check("largest, nothing cached", 25_000, 70*time.Millisecond)
	for range 8 {
		class.recordServed(request(25_000), 0)
		for range 9 {
			class.recordServed(request(7000), 1)
		}
	}
	check("the same, after eight of its group were refused", 25_000, 70*time.Millisecond)
	check("smaller, nothing cached", 11_000, 70*time.Millisecond)
	golden.Check(t, "waitfactor.golden", got.String())
}

// TestPrefillPace has engines that prefill three times as slowly as nominal, and
// checks that the expected time of a prompt of which nothing is cached approaches
// the actual one.
func TestPrefillPace(t *testing.T) {
	table := newEngineTable()
	now := start
	const slowdown = 3
	var got, want time.Duration
	for i := range 200 {
		c, err := table.Choose(now, longPrompt(uint64(10+i)))
		if err != nil {
			t.Fatal(err)
		}
		ticket := c.Prefiller
		if ticket == nil {
			ticket = c.Runner
		}
		got, want = ticket.prefillTime, slowdown*(prefillOverhead+ticket.nominalPrefill)
		ticket.ResponseBegun(now, want)
		c.Cancel(now)
		now = now.Add(time.Second)
	}
	if got < 9*want/10 || got > 11*want/10 {
		t.Errorf("expected prefill time: got %v, want about %v", got, want)
	}
}

// TestPause checks that a server gets no requests while it is paused, also if it is the
// only one, and that a pause is bounded, only grows and ends with a restart.
func TestPause(t *testing.T) {
	servers := []roster.Server{{ID: "a", Service: "ledger", StartedAt: 1}, {ID: "b", Service: "ledger", StartedAt: 1}}
	table := New()
	table.SetServers(servers)
	var got strings.Builder
	record := func(at time.Duration, what string) {
		now := start.Add(at)
		names := map[string]int{}
		for range 20 {
			c, err := table.Choose(now, Request{Service: "ledger", TimeLeft: time.Second})
			if err != nil {
				names[string(fault.KindOf(err))]++
				continue
			}
			names[serverID(c.Runner)]++
			c.Cancel(now)
		}
		fmt.Fprintf(&got, "%8v %-32s %v, left %v\n", at, what, names, table.PauseLeft(now, "ledger"))
	}
	pause := func(at time.Duration, id string, length time.Duration) {
		applied := table.Pause(start.Add(at), id, length)
		record(at, fmt.Sprintf("%s paused for %v, applied %v:", id, length, applied))
	}
	record(0, "no pause:")
	pause(0, "a", 2*time.Second)
	pause(time.Second, "a", 500*time.Millisecond)
	pause(time.Second, "b", 5*time.Second)
	record(1900*time.Millisecond, "later:")
	record(2*time.Second, "a's pause is over:")
	pause(2*time.Second, "a", 100*time.Hour)
	record(6*time.Second, "b's pause is over:")
	servers[0].StartedAt = 2
	table.SetServers(servers)
	record(7*time.Second, "a has restarted:")
	pause(7*time.Second, "unknown", time.Second)
	golden.Check(t, "pause.golden", got.String())
}
