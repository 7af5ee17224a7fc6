package control

import (
	"testing"
	"time"

	"endivedeck.example/interval"
)

// TestLeaderFailover measures, in test time, how long there is no leader after
// the leader is killed, stopped, or partitioned with messages dropped silently.
// The limit is 2 s.
func TestLeaderFailover(t *testing.T) {
	const maxLeaderless = 2 * time.Second
	failures := map[string]func(cl *cluster, leader string){
		"killed":           func(cl *cluster, leader string) { cl.kill(leader) },
		"stopped":          func(cl *cluster, leader string) { cl.stop(leader) },
		"silently cut off": func(cl *cluster, _ string) { isolateLeader(cl) },
	}
	for name, fail := range failures {
		t.Run(name, func(t *testing.T) {
			var longest time.Duration
			for range 5 {
				withCluster(t, 3, func(cl *cluster) {
					old := cl.awaitLeader()
					interval.Sleep(cl.t.Context(), time.Second)
					fail(cl, old)
					start := time.Now()
					for !cl.hasOtherLeader(old) {
						interval.Sleep(cl.t.Context(), 10*time.Millisecond)
					}
					longest = max(longest, time.Since(start))
				})
			}
			t.Logf("at most %v without a leader in 5 runs", longest)
			if longest > maxLeaderless {
				t.Errorf("got %v without a leader, want at most %v", longest, maxLeaderless)
			}
		})
	}
}

func (cl *cluster) hasOtherLeader(old string) bool {
	for name, in := range cl.controls {
		if name == old {
			continue
		}
		if _, _, err := in.control.leaderReplica(time.Now()); err == nil {
			return true
		}
	}
	return false
}
