package placement

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"endivedeck.example/golden"
	"endivedeck.example/roster"
)

// newBusyTable returns a table of engines and plain servers with some load, cached prompts,
// a server in backoff and one that has asked for a pause. It is the same for the same seed.
func newBusyTable(t *testing.T, seed uint64) *Table {
	t.Helper()
	table, rng := newEngineTable(), rand.New(rand.NewPCG(seed, 1))
	list := []roster.Server{{ID: "l1", Service: "ledger", Domain: "far"}, {ID: "l2", Service: "ledger"}}
	for _, s := range table.byService["assist"] {
		list = append(list, s.Server)
	}
	table.SetServers(list)
	for range 60 {
		req := previewRequest(rng)
		c, err := table.Choose(start, req)
		if err != nil {
			continue
		}
		if rng.IntN(2) == 0 {
			c.Runner.ResponseBegun(start, 20*time.Millisecond)
		}
		if rng.IntN(3) == 0 {
			c.Runner.End(start, Outcome{Result: Succeeded, FirstByte: 20 * time.Millisecond})
		}
	}
	table.servers["d2"].backOff(start, time.Second)
	table.Pause(start, "p3", 3*time.Second)
	table.UpdatePeer(start, "relay-2", []Load{{Server: "p1", Pending: 80 * time.Millisecond, Active: 3}}, nil)
	return table
}

// previewRequest returns a prompt, a chat or a request without a prompt.
func previewRequest(rng *rand.Rand) Request {
	switch rng.IntN(3) {
	case 0:
		req := longPrompt(10 + rng.Uint64N(5))
		req.PauseObjective = 100 * time.Millisecond
		req.Team = []string{"", "a", "b"}[rng.IntN(3)]
		if rng.IntN(4) == 0 {
			req.ObjectiveLeft, req.TimeLeft = 20*time.Millisecond, 50*time.Millisecond
		}
		return req
	case 1:
		return chat()
	}
	return Request{Service: "ledger", ObjectiveLeft: 150 * time.Millisecond, TimeLeft: time.Second, MustPlace: true}
}

// TestPreviewAgrees compares the preview of many requests with where they then go, and
// checks that it changes nothing.
func TestPreviewAgrees(t *testing.T) {
	refused := 0
	for seed := range uint64(40) {
		table, untouched := newBusyTable(t, seed), newBusyTable(t, seed)
		rng := rand.New(rand.NewPCG(seed, 2))
		for i := range 30 {
			req := previewRequest(rng)
			if rng.IntN(4) == 0 {
				req.Excluded = map[string]bool{"p1": true, "l1": true}
			}
			p, previewErr := table.Preview(start, req)
			if !reflect.DeepEqual(table, untouched) {
				t.Fatalf("seed %d, request %d: the preview has changed the table", seed, i)
			}
			c, err := table.Choose(start, req)
			if _, otherErr := untouched.Choose(start, req); fmt.Sprint(otherErr) != fmt.Sprint(err) {
				t.Fatalf("seed %d, request %d: got error %v, without a preview %v", seed, i, err, otherErr)
			}
			if fmt.Sprint(previewErr) != fmt.Sprint(err) {
				t.Errorf("seed %d, request %d: got error %v, the request's is %v", seed, i, previewErr, err)
			}
			if got, want := []time.Duration{p.Choice.FirstByte, p.Choice.Room, p.Choice.Spacing}, []time.Duration{c.FirstByte, c.Room, c.Spacing}; !slices.Equal(got, want) {
				t.Errorf("seed %d, request %d: got first byte, room and spacing %v, want %v", seed, i, got, want)
			}
			if err != nil {
				refused++
				continue
			}
			prefiller := ""
			if c.Prefiller != nil {
				prefiller = c.Prefiller.Server.ID
			}
			got := fmt.Sprint(p.Prefiller, p.Runner, p.Source, p.Late, p.Queue, p.First)
			want := fmt.Sprint(prefiller, c.Runner.Server.ID, c.PrefixSource, c.Late, inMs(c.QueueTime), inMs(c.FirstByte))
			if got != want {
				t.Errorf("seed %d, request %d: got %s, the request went to %s", seed, i, got, want)
			}
		}
	}
	if refused == 0 {
		t.Error("no request was refused")
	}
}

// TestPreviewTerms prints the preview of a prompt, a chat, a request without a prompt and one
// that would be refused.
func TestPreviewTerms(t *testing.T) {
	table := newBusyTable(t, 1)
	hopeless := longPrompt(10)
	hopeless.ObjectiveLeft, hopeless.TimeLeft = time.Millisecond, 2*time.Millisecond
	var got strings.Builder
	for _, c := range []struct {
		name string
		req  Request
	}{
		{"prompt", longPrompt(10)},
		{"chat", chat()},
		{"plain", Request{Service: "ledger", MustPlace: true}},
		{"hopeless", hopeless},
	} {
		p, err := table.Preview(start, c.req)
		text, jsonErr := json.Marshal(p)
		if jsonErr != nil {
			t.Fatal(jsonErr)
		}
		fmt.Fprintf(&got, "%s: %v\n%s\n", c.name, err, strings.ReplaceAll(string(text), `{"id"`, "\n"+`  {"id"`))
	}
	golden.Check(t, "preview.golden", got.String())
}
