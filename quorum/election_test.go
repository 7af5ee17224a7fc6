package quorum

import (
	"testing"
	"time"
)

// TestElectionAfterLostVotes has three of four voters left, of which the only
// one with all committed entries has missed two elections. The other two can't
// win without its vote, and it must learn their term to be elected itself.
func TestElectionAfterLostVotes(t *testing.T) {
	var members []Member
	for _, id := range []string{"complete", "short-1", "short-2", "gone"} {
		members = append(members, Member{ID: id, Instance: id, Voter: true})
	}
	timing := Timing{ElectionTimeout: 700 * time.Millisecond, HeartbeatInterval: 100 * time.Millisecond}
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	cores := map[string]*Core{}
	for id, term := range map[string]uint64{"complete": 5, "short-1": 7, "short-2": 7} {
		state := PersistentState{HardState: HardState{Term: term}, Snapshot: Snapshot{Members: members}}
		state.Entries = append(state.Entries, Entry{Index: 1, Term: 4, Kind: NoOp})
		if id == "complete" {
			state.Entries = append(state.Entries, Entry{Index: 2, Term: 5, Kind: NoOp})
		}
		cores[id] = NewCore(id, timing, state, 1, start)
	}
	got := electLeader(cores, start, 20*timing.ElectionTimeout, timing.HeartbeatInterval)
	if want := "complete"; got != want {
		t.Errorf("leader after 20 election timeouts: got %q, want %q", got, want)
	}
}

// TestElectionAfterRestart restarts all replicas of a group, the last one 300 ms
// after the first. They must have a leader within an election timeout, not only
// after one and its jitter.
func TestElectionAfterRestart(t *testing.T) {
	timing := Timing{ElectionTimeout: 700 * time.Millisecond, HeartbeatInterval: 100 * time.Millisecond}
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	ids := []string{"a", "b", "c", "d"}
	var members []Member
	for _, id := range ids {
		members = append(members, Member{ID: id, Instance: id, Voter: true})
	}
	for seed := range uint64(50) {
		cores := map[string]*Core{}
		for i, id := range ids {
			state := PersistentState{HardState: HardState{Term: 3}, Snapshot: Snapshot{Members: members}}
			cores[id] = NewCore(id, timing, state, seed, start.Add(time.Duration(i)*100*time.Millisecond))
		}
		if electLeader(cores, start.Add(300*time.Millisecond), timing.ElectionTimeout, 5*time.Millisecond) == "" {
			t.Errorf("seed %d: got no leader within %v of the last start, want one", seed, timing.ElectionTimeout)
		}
	}
}

// electLeader ticks the replicas and delivers their messages without loss, and
// returns the ID of the first one that leads, or "" if none does within limit.
func electLeader(cores map[string]*Core, start time.Time, limit, step time.Duration) string {
	for now := start; now.Before(start.Add(limit)); now = now.Add(step) {
		for _, c := range cores {
			if !now.Before(c.NextTick()) {
				c.Tick(now)
			}
		}
		for delivered := true; delivered; {
			delivered = false
			for _, c := range cores {
				r := c.Ready(now)
				c.Persisted(now, c.log.lastIndex())
				for _, m := range r.Messages {
					if target := cores[m.To]; target != nil {
						target.Step(now, m)
						delivered = true
					}
				}
			}
		}
		for id, c := range cores {
			if c.Leading() {
				return id
			}
		}
	}
	return ""
}
