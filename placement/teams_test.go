package placement

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"endivedeck.example/golden"
	"endivedeck.example/roster"
)

const pauseObjective = 200 * time.Millisecond

// teamPrompt is longPrompt of a team on a route with a longest pause.
func teamPrompt(id uint64) Request {
	req := longPrompt(id)
	req.Team, req.ObjectiveLeft, req.PauseObjective = "clinic", 500*time.Millisecond, pauseObjective
	return req
}

// TestPauses places a burst of prompts beside chats, and compares the prefill time that
// each engine which decodes gets with the golden file. Prompts of teams must leave an event
// of the streams there the time that it needs; the others are placed as before.
func TestPauses(t *testing.T) {
	var got strings.Builder
	for _, team := range []string{"clinic", ""} {
		table := newEngineTable()
		for range 8 {
			c, err := table.Choose(start, chat())
			if err != nil {
				t.Fatal(err)
			}
			c.Runner.ResponseBegun(start, 5*time.Millisecond)
		}
		refused, split := 0, 0
		prefill := map[string]time.Duration{}
		for i := range 60 {
			req := teamPrompt(uint64(10 + i))
			req.Team = team
			c, err := table.Choose(start, req)
			switch {
			case err != nil:
				refused++
			case c.Prefiller != nil:
				split++
			default:
				prefill[serverID(c.Runner)] += c.Runner.prefillTime
			}
		}
		fmt.Fprintf(&got, "team %q: %d prefilled elsewhere, %d refused\n", team, split, refused)
		for _, id := range []string{"d1", "d2", "d3", "d4"} {
			s := table.servers[id]
			fmt.Fprintf(&got, "  %s: %d chats, %3d ms of prefill\n", id, s.chats, prefill[id].Milliseconds())
			if limit := time.Duration(chatsPart * float64(pauseObjective)); team != "" && s.chats > 0 && prefill[id] > limit {
				t.Errorf("prefill beside chats: got %v, want at most %v", prefill[id], limit)
			}
		}
	}
	golden.Check(t, "pauses.golden", got.String())
}

// TestPausesOfPeers checks that prefill placed by another relay counts, for as long as it
// falls into one pause.
func TestPausesOfPeers(t *testing.T) {
	table := newEngineTable()
	d1 := table.servers["d1"]
	breaks := func(now time.Time) bool { return table.breaksPauses(now, d1, teamPrompt(1), 40*time.Millisecond, 0) }
	if breaks(start) {
		t.Error("a prompt breaks the pauses of an idle engine")
	}
	table.UpdatePeer(start, "relay-2", []Load{{Server: "d1", Recent: 240 * time.Millisecond}}, nil)
	if !breaks(start) {
		t.Error("a prompt breaks no pauses beside 240 ms of prefill placed by another relay")
	}
	if breaks(start.Add(time.Second)) {
		t.Error("a prompt breaks pauses a second after prefill was placed by another relay")
	}
	prefiller := table.servers["p1"]
	if table.breaksPauses(start, prefiller, teamPrompt(1), time.Second, 0) || prefiller.Stage != roster.Prefill {
		t.Error("a prompt breaks the pauses of an engine that doesn't decode")
	}
}

// TestTeamsShareEngines has one team ask for many times as much as another one. The small
// team's prompts are placed in time, and the returns of those that are refused are told.
func TestTeamsShareEngines(t *testing.T) {
	table := newEngineTable()
	type count struct{ inTime, late, refused int }
	counts := map[string]*count{"large": {}, "small": {}}
	now := start
	for i := range 1500 {
		now = now.Add(2 * time.Millisecond)
		for _, s := range table.servers { // what the engines do in 2 ms
			s.pending = max(s.pending-2*time.Millisecond, 0)
			if s.pending == 0 {
				s.latePending = max(s.latePending-2*time.Millisecond, 0)
			}
		}
		req := teamPrompt(uint64(10 + i))
		req.Team = "large"
		if i%50 == 0 {
			req.Team = "small"
		}
		c, err := table.Choose(now, req)
		n := counts[req.Team]
		switch {
		case err != nil:
			n.refused++
			if c.Room <= 0 || c.Spacing <= 0 {
				t.Fatalf("refused: got room after %v, spacing %v, want more than 0", c.Room, c.Spacing)
			}
		case c.Late:
			n.late++
		default:
			n.inTime++
		}
	}
	if n := counts["small"]; n.inTime < 29 {
		t.Errorf("small team: got %+v, want nearly all of 30 in time", *n)
	}
	if n := counts["large"]; n.late+n.refused < n.inTime {
		t.Errorf("large team: got %+v, want a load that is too large", *n)
	}
}

// TestResumedChats has all chats of an engine that has ended go on elsewhere at once. Their
// prefills are spread over the engines without chats; new chats are packed as before.
func TestResumedChats(t *testing.T) {
	var got strings.Builder
	for _, resumed := range []bool{true, false} {
		table := newEngineTable()
		place := func(req Request, n int) map[string]int {
			req.Team, req.PauseObjective = "clinic", pauseObjective
			counts := map[string]int{}
			for range n {
				c, err := table.Choose(start, req)
				if err != nil {
					t.Fatal(err)
				}
				c.Runner.ResponseBegun(start, 5*time.Millisecond)
				counts[serverID(c.Runner)]++
			}
			return counts
		}
		before := place(chat(), 10)
		req := chat()
		req.Resumed = resumed
		fmt.Fprintf(&got, "beside chats %v, resumed %v: %v\n", before, resumed, place(req, 9))
	}
	golden.Check(t, "resumed.golden", got.String())
}
