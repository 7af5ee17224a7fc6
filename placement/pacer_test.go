package placement

import (
	"testing"
	"time"

	"endivedeck.example/internal/engines/ramp"
	"endivedeck.example/roster"
)

// fixedPacer paces some servers in a fixed way and keeps the samples.
type fixedPacer struct {
	paces   map[string]ramp.Pace
	peers   ramp.Peers // of the latest decision
	samples []ramp.Sample
}

func (p *fixedPacer) Paced() map[string]bool {
	paced := map[string]bool{}
	for id := range p.paces {
		paced[id] = true
	}
	return paced
}

func (p *fixedPacer) Pace(server string, peers ramp.Peers) ramp.Pace {
	p.peers = peers
	return p.paces[server]
}

func (p *fixedPacer) Observe(_ time.Time, _ string, s ramp.Sample) { p.samples = append(p.samples, s) }

// TestPacedServer checks which requests go to a server that is paced: as many as it has
// room for, those to which no other server is open, and none beyond that.
func TestPacedServer(t *testing.T) {
	pacer := &fixedPacer{paces: map[string]ramp.Pace{"a": {Share: 2, Trials: 2, Ratio: 5}}}
	table := New()
	table.SetPacer(pacer)
	table.SetServers([]roster.Server{{ID: "a", Service: "ledger", Slots: 6}, {ID: "b", Service: "ledger", Domain: "far", Slots: 6}})
	count := map[string]int{}
	for range 8 {
		c, err := table.Choose(start, Request{Service: "ledger"})
		if err != nil {
			t.Fatal(err)
		}
		count[serverID(c.Runner)]++
	}
	if got, want := count["a"], 2; got != want {
		t.Errorf("requests at the paced server: got %d, want %d", got, want)
	}
	if got, want := pacer.peers, (ramp.Peers{Slots: 6, Steady: 1, Paced: 1, Requests: 5}); got != want {
		t.Errorf("peers: got %+v, want %+v", got, want)
	}
	c, err := table.Choose(start, Request{Service: "ledger", Excluded: map[string]bool{"b": true}})
	if err != nil || serverID(c.Runner) != "a" {
		t.Errorf("with the other server excluded: got %s, %v, want a", serverID(c.Runner), err)
	}
}

// TestPacedStage checks that a paced decoder without room is used if there is no other one.
func TestPacedStage(t *testing.T) {
	table := New()
	table.SetPacer(&fixedPacer{paces: map[string]ramp.Pace{"d": {}}})
	table.SetServers([]roster.Server{{ID: "p", Service: "assist", Stage: roster.Prefill}, {ID: "d", Service: "assist", Stage: roster.Decode}})
	c, err := table.Choose(start, longPrompt(1))
	if err != nil || serverID(c.Runner) != "d" {
		t.Errorf("got %s, %v, want d", serverID(c.Runner), err)
	}
}

// TestSamples checks what a pacer learns of a stream, of one that begins late and of
// requests that fail.
func TestSamples(t *testing.T) {
	pacer := &fixedPacer{paces: map[string]ramp.Pace{"a": {Share: 9, Trials: 9}}}
	table := New()
	table.SetPacer(pacer)
	table.SetServers([]roster.Server{{ID: "a", Service: "ledger"}, {ID: "b", Service: "ledger"}})
	table.servers["b"].latency, table.servers["b"].step = 40*time.Millisecond, 3*time.Millisecond
	place := func() *Ticket {
		t.Helper()
		c, err := table.Choose(start, Request{Service: "ledger", ObjectiveLeft: time.Second, Excluded: map[string]bool{"b": true}})
		if err != nil {
			t.Fatal(err)
		}
		return c.Runner
	}
	stream := place()
	stream.ResponseBegun(start, 50*time.Millisecond)
	stream.End(start, Outcome{Result: Succeeded, FirstByte: 50 * time.Millisecond, Step: 4 * time.Millisecond})
	place().End(start, Outcome{Result: Refused})
	place().End(start, Outcome{Result: NoResponse})
	place().End(start, Outcome{Result: Canceled})
	want := []ramp.Sample{{Result: ramp.Answered, First: 50 * time.Millisecond}, {Result: ramp.Answered, Step: 4 * time.Millisecond}, {Result: ramp.Refused}, {Result: ramp.NoResponse}}
	if len(pacer.samples) != len(want) {
		t.Fatalf("got %d samples, want %d", len(pacer.samples), len(want))
	}
	for i, got := range pacer.samples {
		if got.Result != want[i].Result || got.First != want[i].First || got.Step != want[i].Step {
			t.Errorf("sample %d: got %s after %v, step %v, want %+v", i, got.Result, got.First, got.Step, want[i])
		}
		if got.ExpectedFirst != 40*time.Millisecond || got.ExpectedStep != 3*time.Millisecond || got.Objective != time.Second || !got.SentAt.Equal(start) {
			t.Errorf("sample %d: got expected times %v and %v, objective %v, sent at %v", i, got.ExpectedFirst, got.ExpectedStep, got.Objective, got.SentAt)
		}
	}
}
