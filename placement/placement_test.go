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

// engines returns a table of three engines that read prompts and four that
// generate, by name p1 to p3 and d1 to d4.
func engines() *Table {
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

func prompt(thing uint64) Request {
	return Request{Service: "assist", ObjectiveLeft: 150 * time.Millisecond, TimeLeft: 2 * time.Second, PromptTokens: 9200, Prompt: []Part{{ID: 1, Tokens: 2520}, {ID: thing, Tokens: 3780}, {ID: 1000 + thing, Tokens: 2900}}}
}

func chat() Request {
	return Request{Service: "assist", ObjectiveLeft: 150 * time.Millisecond, TimeLeft: 15 * time.Second, PromptTokens: 220, Prompt: []Part{{ID: 5, Tokens: 79}, {ID: 6, Tokens: 141}}}
}

func name(k *Ticket) string {
	if k == nil {
		return "-"
	}
	return k.Server.ID
}

// TestPrompts places forty prompts that come at once: each goes where it is
// read first, with those that read alone before those that generate too.
func TestPrompts(t *testing.T) {
	var got strings.Builder
	table := engines()
	for i := range 40 {
		c, err := table.Choose(start, prompt(uint64(10+i)))
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&got, "%2d: read at %s, generated at %s, waits %3d ms, begins in %3d ms\n", i+1, name(c.Prefiller), name(c.Runner), c.QueueTime.Milliseconds(), c.FirstByte.Milliseconds())
	}
	golden.Check(t, "prompts.golden", got.String())
}

// TestChats fills the engines with chats: they gather at few engines, and long
// prompts keep away from these.
func TestChats(t *testing.T) {
	var got strings.Builder
	table := engines()
	counts := map[string]int{}
	for i := range 60 {
		c, err := table.Choose(start, chat())
		if err != nil {
			t.Fatal(err)
		}
		c.Runner.ResponseBegun(start, 5*time.Millisecond)
		counts[name(c.Runner)]++
		if (i+1)%10 == 0 {
			fmt.Fprintf(&got, "%d chats: %v\n", i+1, counts)
		}
	}
	direct := prompt(77)
	direct.SingleEngine = true
	c, err := table.Choose(start, direct)
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(&got, "a long prompt then: %s, which has %d chats\n", name(c.Runner), counts[name(c.Runner)])
	golden.Check(t, "chats.golden", got.String())
}

// TestOthers tells a table what another relay has given: it keeps away from
// that engine until the word is old.
func TestOthers(t *testing.T) {
	table := engines()
	first, err := table.Choose(start, prompt(5))
	if err != nil {
		t.Fatal(err)
	}
	busy := name(first.Prefiller)
	first.Cancel(start)
	table.UpdatePeer(start, "relay-2", []Load{{Server: busy, Pending: 200 * time.Millisecond, Active: 8}}, nil)
	second, err := table.Choose(start, prompt(5))
	if err != nil {
		t.Fatal(err)
	}
	if name(second.Prefiller) == busy {
		t.Errorf("got %s, which another relay has filled, want another engine", busy)
	}
	second.Cancel(start)
	third, err := table.Choose(start.Add(time.Second), prompt(5))
	if err != nil {
		t.Fatal(err)
	}
	if got, want := name(third.Prefiller), busy; got != want {
		t.Errorf("got %s once the word is old, want %s", got, want)
	}
}

// TestFailures loses requests at a server: it rests, longer each time, and is
// tried again; where all rest one is taken all the same.
func TestFailures(t *testing.T) {
	var got strings.Builder
	table := New()
	table.SetServers([]roster.Server{{ID: "a", Service: "ledger"}, {ID: "b", Service: "ledger"}})
	ask := Request{Service: "ledger"}
	now := start
	lose := func(id string) {
		c, err := table.Choose(now, Request{Service: "ledger", Excluded: map[string]bool{other(id): true}})
		if err != nil {
			t.Fatal(err)
		}
		c.Runner.End(now, Outcome{Result: NoResponse})
	}
	count := func() string {
		counts := map[string]int{}
		for range 10 {
			c, err := table.Choose(now, ask)
			if err != nil {
				return err.Error()
			}
			counts[name(c.Runner)]++
			c.Runner.End(now, Outcome{Result: Succeeded, FirstByte: 30 * time.Millisecond})
		}
		return fmt.Sprint(counts)
	}
	lose("a")
	fmt.Fprintf(&got, "a lost one: %s\n", count())
	now = now.Add(900 * time.Millisecond)
	fmt.Fprintf(&got, "after 0.9 s: %s\n", count())
	lose("a")
	now = now.Add(1900 * time.Millisecond)
	fmt.Fprintf(&got, "a lost another, after 1.9 s: %s\n", count())
	lose("b")
	fmt.Fprintf(&got, "b lost one, both rest: %s\n", count())
	now = now.Add(5 * time.Second)
	fmt.Fprintf(&got, "after 5 s: %s\n", count())
	table.SetServers(nil)
	fmt.Fprintf(&got, "nobody is left: %s\n", count())
	golden.Check(t, "failures.golden", got.String())
}

func other(id string) string {
	if id == "a" {
		return "b"
	}
	return "a"
}

// TestLeaving has a server leave while it has work: it gets no more, and its
// tickets end without harm.
func TestLeaving(t *testing.T) {
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
		t.Error("got a place at a server that leaves, want none")
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
				c, err := table.Choose(start, prompt(uint64(i%700)))
				if err != nil {
					b.Fatal(err)
				}
				c.Cancel(start)
			}
		})
	}
}

// TestMemory reads prompts with the same shared parts at several engines: what
// one holds is moved to others, until so much has come in that it has yielded.
func TestMemory(t *testing.T) {
	var got strings.Builder
	table := engines()
	table.Configure(map[string]routes.Engine{"assist": {CacheTokens: 100_000, BytesPerToken: 262144, TransferRate: 2e12}}, nil)
	place := func(what string, ask Request) Choice {
		c, err := table.Choose(start, ask)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&got, "%s: read at %s, from the memory of %s, generated at %s, begins in %d ms\n", what, name(c.Prefiller), address(c), name(c.Runner), c.FirstByte.Milliseconds())
		return c
	}
	c := place("first", prompt(5))
	place("the same parts, while the first is read", prompt(5)).Cancel(start)
	c.Runner.ResponseBegun(start, 20*time.Millisecond)
	place("once the first is generated", prompt(5))
	place("other parts", prompt(6))
	readings, next := table.CacheInserts(0)
	_, after := table.CacheInserts(next)
	more := after - next
	fmt.Fprintf(&got, "told to others: %d readings, then %d\n", len(readings), more)

	other := engines()
	other.Configure(map[string]routes.Engine{"assist": {CacheTokens: 100_000, BytesPerToken: 262144, TransferRate: 2e12}}, nil)
	other.UpdatePeer(start, "relay-1", nil, readings)
	table = other
	place("at another relay, with all engines idle", prompt(5))
	for i := range 200 {
		c, err := table.Choose(start, prompt(uint64(100+i)))
		if err != nil {
			t.Fatal(err)
		}
		c.Runner.ResponseBegun(start, 20*time.Millisecond)
		c.Cancel(start)
	}
	place("after 200 others", prompt(5))
	golden.Check(t, "memory.golden", got.String())
}

func address(c Choice) string {
	if c.PrefixSource == "" {
		return "nobody"
	}
	return c.PrefixSource
}

// TestLate fills the engines: what can't be in time goes behind the others and
// away from chats, and is refused once even that takes too long. One that can
// be in time still goes before all of these.
func TestLate(t *testing.T) {
	var got strings.Builder
	table := engines()
	if _, err := table.Choose(start, chat()); err != nil {
		t.Fatal(err)
	}
	counts := map[string]int{}
	for i := range 400 {
		c, err := table.Choose(start, prompt(uint64(10+i)))
		switch {
		case err != nil:
			counts["refused: "+string(fault.Of(err))]++
		case c.Late && c.Prefiller == nil:
			counts["late, at "+name(c.Runner)]++
		case c.Late:
			counts["late, read elsewhere"]++
		default:
			counts["in time"]++
		}
	}
	fmt.Fprintln(&got, "400 at once:", counts)
	back := prompt(9)
	back.ObjectiveLeft = 0
	empty := engines()
	c, err := empty.Choose(start, back)
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(&got, "one whose objective is missed, with idle engines: late %v, waits %v\n", c.Late, c.QueueTime)
	c, err = empty.Choose(start, prompt(8))
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(&got, "one that can be in time, after it: late %v, waits %v\n", c.Late, c.QueueTime)
	firm := prompt(7)
	firm.MustPlace = true
	c, err = table.Choose(start, firm)
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(&got, "one that must be placed, behind 400: late %v\n", c.Late)
	golden.Check(t, "late.golden", got.String())
}

// TestWrongCounts places prompts whose parts don't add up to what their callers
// count: no engine seems to have less than nothing to do.
func TestWrongCounts(t *testing.T) {
	table := engines()
	for _, tokens := range []int{1025, 2000, 9200, 1 << 30} {
		for range 2 {
			ask := prompt(5)
			ask.PromptTokens = tokens
			ask.MustPlace = true
			c, err := table.Choose(start, ask)
			if err != nil {
				t.Fatal(err)
			}
			if c.FirstByte <= 0 {
				t.Errorf("%d tokens with parts of 9,200: got an answer expected in %v, want some time", tokens, c.FirstByte)
			}
		}
		for id, s := range table.servers {
			if s.pending < 0 || s.late < 0 || s.memory.in < 0 {
				t.Errorf("%d tokens: got %v and %v of work and %d tokens at %s, want nothing below 0", tokens, s.pending, s.late, s.memory.in, id)
			}
		}
	}
}

// TestWorth weighs prompts by what they are worth for the time to read them.
// Large ones that were refused too often wait as long as what is worth most.
func TestWorth(t *testing.T) {
	var got strings.Builder
	table := New()
	asks := func(tokens int) Request { return Request{Class: "notes", PromptTokens: tokens, MaxTokens: 100} }
	class := table.class(asks(9000))
	for i := range 2000 {
		ask := asks(6000 + 60*(i*37%100))
		class.stretch(ask, 12*time.Millisecond)
		class.note(ask, 1)
	}
	fmt.Fprintf(&got, "large from %.0f, largest from %.0f\n", class.large, class.largest)
	weigh := func(what string, tokens int, work time.Duration) {
		fmt.Fprintf(&got, "%s: %.2f\n", what, class.stretch(asks(tokens), work))
	}
	weigh("an average one", 9000, 12*time.Millisecond)
	weigh("mostly held", 9000, 5*time.Millisecond)
	weigh("small and held", 7000, 4*time.Millisecond)
	weigh("large, nothing held", 25_000, 70*time.Millisecond)
	for range 8 {
		class.note(asks(25_000), 0)
		for range 9 {
			class.note(asks(7000), 1)
		}
	}
	weigh("the same, once eight like it were refused", 25_000, 70*time.Millisecond)
	weigh("a less large one", 11_000, 70*time.Millisecond)
	golden.Check(t, "worth.golden", got.String())
}

// TestPace has engines that read three times as slowly as sheets have it, which
// the time of the first prompts at idle engines tells.
func TestPace(t *testing.T) {
	table := engines()
	now := start
	want := 3.0
	for i := range 200 {
		c, err := table.Choose(now, prompt(uint64(10+i)))
		if err != nil {
			t.Fatal(err)
		}
		reads := c.Prefiller
		if reads == nil {
			reads = c.Runner
		}
		plain := float64(reads.work) / table.pace(table.servers[reads.Server.ID])
		reads.ResponseBegun(now, time.Duration(want*plain))
		c.Cancel(now)
		now = now.Add(time.Second)
	}
	if got := table.pace(table.servers["p1"]); got < 0.9*want || got > 1.1*want {
		t.Errorf("got a pace of %.2f, want about %.2f", got, want)
	}
}
