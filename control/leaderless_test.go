package control

import (
	"testing"
	"time"

	"endivedeck.example/interval"
)

// TestLeaderless measures, in test time, how long there is no leader after
// the leader is killed, and after it is silently cut off; the target is less
// than 2 s.
func TestLeaderless(t *testing.T) {
	const most = 2 * time.Second
	failures := map[string]func(b *bed, leader string){
		"killed":           func(b *bed, leader string) { b.kill(leader) },
		"stopped":          func(b *bed, leader string) { b.stop(leader) },
		"silently cut off": func(b *bed, _ string) { cutLeader(b) },
	}
	for what, fail := range failures {
		t.Run(what, func(t *testing.T) {
			var longest time.Duration
			for range 5 {
				inBed(t, 3, func(b *bed) {
					old := b.leader()
					interval.Sleep(b.t.Context(), time.Second)
					fail(b, old)
					begun := time.Now()
					for !b.anotherLeads(old) {
						interval.Sleep(b.t.Context(), 10*time.Millisecond)
					}
					longest = max(longest, time.Since(begun))
				})
			}
			t.Logf("at most %v without a leader in 5 runs", longest)
			if longest > most {
				t.Errorf("got %v, want at most %v", longest, most)
			}
		})
	}
}

func (b *bed) anotherLeads(old string) bool {
	for name, in := range b.controls {
		if name == old {
			continue
		}
		if _, _, err := in.control.leading(time.Now()); err == nil {
			return true
		}
	}
	return false
}
