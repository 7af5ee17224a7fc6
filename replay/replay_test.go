package replay

import (
	"bytes"
	"fmt"
	"os"
	"strings"
	"testing"

	"endivedeck.example/golden"
	"endivedeck.example/rank"
	"endivedeck.example/trace"
)

var (
	ours      = Options{Routing: "parted", Roles: "steady", Seed: 1}
	greedy    = Options{Routing: "leastloaded", Roles: "greedy", Seed: 1}
	baselines = []Options{
		{Routing: "roundrobin", Roles: "fixed", Seed: 1},
		greedy,
		{Routing: "affinity", Roles: "fixed", Seed: 1},
	}
)

func TestMain(m *testing.M) {
	rank.DisableChecks() // a replay has one goroutine
	os.Exit(m.Run())
}

// wanted is one line of testdata/targets.txt.
type wanted struct {
	trace     string
	bound     float64
	ahead     string
	changes   float64
	reversals int
}

func targets(t *testing.T) []wanted {
	t.Helper()
	text, err := os.ReadFile("testdata/targets.txt")
	if err != nil {
		t.Fatal(err)
	}
	var list []wanted
	for _, line := range strings.Split(string(text), "\n") {
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		var w wanted
		if _, err := fmt.Sscan(line, &w.trace, &w.bound, &w.ahead, &w.changes, &w.reversals); err != nil {
			t.Fatalf("%q: %v", line, err)
		}
		list = append(list, w)
	}
	return list
}

func play(t *testing.T, name string, seed uint64, o Options) *Report {
	t.Helper()
	made, err := trace.Make(name, seed)
	if err != nil {
		t.Fatal(err)
	}
	r, err := New(made, o)
	if err != nil {
		t.Fatal(err)
	}
	return r.Run()
}

// TestTargets plays each held trace against the stated outcomes, and compares
// the report with a golden file.
func TestTargets(t *testing.T) {
	for _, want := range targets(t) {
		t.Run(want.trace, func(t *testing.T) {
			t.Parallel()
			got := play(t, want.trace, 1, ours)
			var text bytes.Buffer
			got.Write(&text)
			golden.Check(t, want.trace+".golden", text.String())
			if part := float64(got.Good) / float64(got.Bound); part < want.bound {
				t.Errorf("got %.3f of the bound, want %.2f", part, want.bound)
			}
			if got.Reversals > want.reversals {
				t.Errorf("got %d reversals, want %d", got.Reversals, want.reversals)
			}
			for _, o := range baselines {
				base := play(t, want.trace, 1, o)
				if got.Good <= base.Good {
					t.Errorf("got %d good, want more than %s/%s with %d", got.Good, o.Routing, o.Roles, base.Good)
				}
				if o == greedy && float64(got.Changes) > want.changes*float64(base.Changes) {
					t.Errorf("got %d role changes, want at most %.2f of %d", got.Changes, want.changes, base.Changes)
				}
			}
		})
	}
}

// TestFlooder plays a customer who asks for far more than its share: the
// others lose at most a hundredth of the goodput that they have without it.
func TestFlooder(t *testing.T) {
	for seed := uint64(1); seed <= 2; seed++ {
		without := play(t, "alone", seed, ours).Good
		with := play(t, "greedy", seed, ours)
		got := 0
		for key, g := range with.Groups {
			if !strings.HasPrefix(key, "flooder/") {
				got += g.Good
			}
		}
		if float64(got) < 0.99*float64(without) {
			t.Errorf("seed %d: got %d good for the others, want at least 0.99 of %d", seed, got, without)
		}
	}
}

// TestSame plays a trace twice, once through its file form: the same seed
// gives the same result.
func TestSame(t *testing.T) {
	made, err := trace.Make("turn", 3)
	if err != nil {
		t.Fatal(err)
	}
	var file bytes.Buffer
	if err := trace.Write(&file, made); err != nil {
		t.Fatal(err)
	}
	read, err := trace.Read(&file)
	if err != nil {
		t.Fatal(err)
	}
	var texts []string
	for _, tr := range []*trace.Trace{made, read} {
		r, err := New(tr, ours)
		if err != nil {
			t.Fatal(err)
		}
		var text bytes.Buffer
		report := r.Run()
		report.Write(&text)
		Plot(&text, report)
		texts = append(texts, text.String())
	}
	if texts[0] != texts[1] {
		t.Errorf("got %s, want %s", texts[1], texts[0])
	}
}

// TestBound checks the bound on a trace that is small enough to count: engines
// that can serve one prompt within the limit and no more.
func TestBound(t *testing.T) {
	made, err := trace.Make("calm", 1)
	if err != nil {
		t.Fatal(err)
	}
	made.Header.Engines = 1
	made.Header.Shape.PrefillRate = 1000
	var events []trace.Event
	for i := range 20 {
		events = append(events, trace.Event{
			Kind: trace.Query, ID: fmt.Sprint(i), Customer: "crews", Class: "urgent",
			Prompt: []trace.Segment{{Name: fmt.Sprint(i), Tokens: 800}}, Answer: 10,
		})
	}
	made.Events = events
	got := Bound(made)
	// A window of 5 s and the longest limit of 8 s hold 13 s of one engine; 0.8 s each.
	want := 16
	if got != want {
		t.Errorf("got %d, want %d", got, want)
	}
	for i := range made.Events {
		made.Events[i].Prompt[0].Tokens = 1000 // longer than the limit of 0.9 s
	}
	if got := Bound(made); got != 0 {
		t.Errorf("got %d, want 0", got)
	}
}
