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
	tested         = Options{Routing: "parted", Roles: "steady", Seed: 1}
	greedyBaseline = Options{Routing: "leastloaded", Roles: "greedy", Seed: 1}
	baselines      = []Options{
		{Routing: "roundrobin", Roles: "fixed", Seed: 1},
		greedyBaseline,
		{Routing: "affinity", Roles: "fixed", Seed: 1},
	}
)

func TestMain(m *testing.M) {
	rank.DisableChecks() // a replay has one goroutine
	os.Exit(m.Run())
}

// target is one line of testdata/targets.txt. The fractions are of the report's
// bound and of the role changes of greedyBaseline. Ahead is not used: TestTargets
// requires more good answers than the baselines for every trace.
type target struct {
	trace              string
	minBoundFraction   float64
	ahead              string
	maxChangesFraction float64
	maxReversals       int
}

func readTargets(t *testing.T) []target {
	t.Helper()
	text, err := os.ReadFile("testdata/targets.txt")
	if err != nil {
		t.Fatal(err)
	}
	var targets []target
	for _, line := range strings.Split(string(text), "\n") {
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		var row target
		if _, err := fmt.Sscan(line, &row.trace, &row.minBoundFraction, &row.ahead, &row.maxChangesFraction, &row.maxReversals); err != nil {
			t.Fatalf("%q: %v", line, err)
		}
		targets = append(targets, row)
	}
	return targets
}

func runReplay(t *testing.T, name string, seed uint64, o Options) *Report {
	t.Helper()
	generated, err := trace.Generate(name, seed)
	if err != nil {
		t.Fatal(err)
	}
	r, err := New(generated, o)
	if err != nil {
		t.Fatal(err)
	}
	return r.Run()
}

// TestTargets replays each trace of testdata/targets.txt and checks that the
// tested policies reach its targets, give more good answers than every baseline
// and give the report in the golden file.
func TestTargets(t *testing.T) {
	for _, want := range readTargets(t) {
		t.Run(want.trace, func(t *testing.T) {
			t.Parallel()
			got := runReplay(t, want.trace, 1, tested)
			var text bytes.Buffer
			got.Write(&text)
			golden.Check(t, want.trace+".golden", text.String())
			if fraction := float64(got.Good) / float64(got.Bound); fraction < want.minBoundFraction {
				t.Errorf("got %.3f of the bound, want %.2f", fraction, want.minBoundFraction)
			}
			if got.Reversals > want.maxReversals {
				t.Errorf("got %d reversals, want at most %d", got.Reversals, want.maxReversals)
			}
			for _, o := range baselines {
				base := runReplay(t, want.trace, 1, o)
				if got.Good <= base.Good {
					t.Errorf("got %d good, want more than %s/%s with %d", got.Good, o.Routing, o.Roles, base.Good)
				}
				if o == greedyBaseline && float64(got.RoleChanges) > want.maxChangesFraction*float64(base.RoleChanges) {
					t.Errorf("got %d role changes, want at most %.2f of %d", got.RoleChanges, want.maxChangesFraction, base.RoleChanges)
				}
			}
		})
	}
}

// TestFlooderIsolation checks that a customer that sends far more than its share
// costs the others at most 1% of their goodput without it.
func TestFlooderIsolation(t *testing.T) {
	for seed := uint64(1); seed <= 2; seed++ {
		without := runReplay(t, "alone", seed, tested).Good
		with := runReplay(t, "greedy", seed, tested)
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

// TestDeterminism replays a trace as generated and as read back from a file, and
// checks that the same seed gives the same report and plot.
func TestDeterminism(t *testing.T) {
	generated, err := trace.Generate("turn", 3)
	if err != nil {
		t.Fatal(err)
	}
	var file bytes.Buffer
	if err := trace.Write(&file, generated); err != nil {
		t.Fatal(err)
	}
	read, err := trace.Read(&file)
	if err != nil {
		t.Fatal(err)
	}
	var texts []string
	for _, tr := range []*trace.Trace{generated, read} {
		r, err := New(tr, tested)
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

// TestBound checks the bound on a trace small enough to count by hand: 20 queries
// at time 0 on one engine.
func TestBound(t *testing.T) {
	generated, err := trace.Generate("calm", 1)
	if err != nil {
		t.Fatal(err)
	}
	generated.Header.EngineCount = 1
	generated.Header.EngineSpec.PrefillRate = 1000
	var events []trace.Event
	for i := range 20 {
		events = append(events, trace.Event{
			Kind: trace.Query, ID: fmt.Sprint(i), Customer: "crews", Class: "urgent",
			Prompt: []trace.Segment{{Name: fmt.Sprint(i), Tokens: 800}}, AnswerTokens: 10,
		})
	}
	generated.Events = events
	got := UpperBound(generated)
	// The engine has 13 s: a window of 5 s and the longest first-token limit of
	// 8 s. A prompt takes 0.8 s.
	want := 16
	if got != want {
		t.Errorf("got %d, want %d", got, want)
	}
	for i := range generated.Events {
		generated.Events[i].Prompt[0].Tokens = 1000 // longer than the limit of 0.9 s
	}
	if got := UpperBound(generated); got != 0 {
		t.Errorf("got %d, want 0", got)
	}
}
