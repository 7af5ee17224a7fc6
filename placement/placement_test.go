package placement

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"endivedeck.example/golden"
	"endivedeck.example/roster"
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
	t.Update(list)
	return t
}

func prompt(thing uint64) Ask {
	return Ask{Service: "assist", Target: 150 * time.Millisecond, Left: 2 * time.Second, Tokens: 9200, Prompt: []Part{{ID: 1, Tokens: 2520}, {ID: thing, Tokens: 3780}, {ID: 1000 + thing, Tokens: 2900}}}
}

func chat() Ask {
	return Ask{Service: "assist", Target: 150 * time.Millisecond, Left: 15 * time.Second, Tokens: 220, Prompt: []Part{{ID: 5, Tokens: 79}, {ID: 6, Tokens: 141}}}
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
		fmt.Fprintf(&got, "%2d: read at %s, generated at %s, waits %3d ms, begins in %3d ms\n", i+1, name(c.Reader), name(c.Runner), c.Queue.Milliseconds(), c.Expect.Milliseconds())
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
		c.Runner.Begun(start, 5*time.Millisecond)
		counts[name(c.Runner)]++
		if (i+1)%10 == 0 {
			fmt.Fprintf(&got, "%d chats: %v\n", i+1, counts)
		}
	}
	direct := prompt(77)
	direct.Direct = true
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
	busy := name(first.Reader)
	first.Withdraw(start)
	table.Hear(start, "relay-2", []Load{{Server: busy, Pending: 200 * time.Millisecond, Active: 8}}, nil)
	second, err := table.Choose(start, prompt(5))
	if err != nil {
		t.Fatal(err)
	}
	if name(second.Reader) == busy {
		t.Errorf("got %s, which another relay has filled, want another engine", busy)
	}
	second.Withdraw(start)
	third, err := table.Choose(start.Add(time.Second), prompt(5))
	if err != nil {
		t.Fatal(err)
	}
	if got, want := name(third.Reader), busy; got != want {
		t.Errorf("got %s once the word is old, want %s", got, want)
	}
}

// TestFailures loses requests at a server: it rests, longer each time, and is
// tried again; where all rest one is taken all the same.
func TestFailures(t *testing.T) {
	var got strings.Builder
	table := New()
	table.Update([]roster.Server{{ID: "a", Service: "ledger"}, {ID: "b", Service: "ledger"}})
	ask := Ask{Service: "ledger"}
	now := start
	lose := func(id string) {
		c, err := table.Choose(now, Ask{Service: "ledger", Tried: map[string]bool{other(id): true}})
		if err != nil {
			t.Fatal(err)
		}
		c.Runner.End(now, Outcome{Result: Lost})
	}
	count := func() string {
		counts := map[string]int{}
		for range 10 {
			c, err := table.Choose(now, ask)
			if err != nil {
				return err.Error()
			}
			counts[name(c.Runner)]++
			c.Runner.End(now, Outcome{Result: Good, First: 30 * time.Millisecond})
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
	table.Update(nil)
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
	table.Update(list)
	c, err := table.Choose(start, Ask{Service: "ledger"})
	if err != nil {
		t.Fatal(err)
	}
	list[0].Leaving = true
	table.Update(list)
	if _, err := table.Choose(start, Ask{Service: "ledger"}); err == nil {
		t.Error("got a place at a server that leaves, want none")
	}
	c.Runner.End(start, Outcome{Result: Good})
}

func BenchmarkChoosePrompt(b *testing.B) {
	for _, count := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			table := New()
			var list []roster.Server
			for i := range count {
				list = append(list, roster.Server{ID: fmt.Sprint("e", i), Service: "assist", Slots: 32, Stage: roster.Decode})
			}
			table.Update(list)
			for i := 0; b.Loop(); i++ {
				c, err := table.Choose(start, prompt(uint64(i%700)))
				if err != nil {
					b.Fatal(err)
				}
				c.Withdraw(start)
			}
		})
	}
}
