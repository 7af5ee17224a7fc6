package control

import (
	"fmt"
	"testing"
	"time"

	"endivedeck.example/golden"
	"endivedeck.example/interval"
	"endivedeck.example/message"
)

// TestPlanner has six engines report a mix in which long prompts take 2.4
// engines and a tenth of the answers miss their limits, and writes down which
// role changes control announces. With fixed roles there are none.
func TestPlanner(t *testing.T) {
	var seen string
	for _, policy := range []string{"steady", "fixed"} {
		inBedWith(t, 3, policy, func(b *bed) {
			for i := range 6 {
				h := b.hold(fmt.Sprintf("engine-%d", i+1), kindSidecar)
				h.engine = &message.Backend{
					Name:          h.name,
					Incarnation:   h.name,
					FailureDomain: fmt.Sprintf("domain-%d", i%3),
					Kind:          message.KindEngine,
					Role:          "both",
				}
			}
			b.awaitHeld()
			b.put(b.leader(), "crews", 0, "", 0.5, time.Minute)
			for range 40 {
				interval.Sleep(b.t.Context(), time.Second)
				for _, h := range b.holders {
					h.work()
				}
			}
			changes := b.controls[b.leader()].control.state.Changes()
			seen += fmt.Sprintf("%s: %d changes\n", policy, len(changes))
			for _, c := range changes {
				seen += fmt.Sprintf("  %s to %s by the %s\n", c.Announcement.BackendServer, c.Announcement.Role, c.Announcement.Author)
			}
		})
	}
	golden.Check(t, "planner.golden", seen)
}

// work adds a second's work of one engine.
func (h *holder) work() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.tally.Heavy += 0.4
	h.tally.Light += 0.1
	h.tally.Answers += 10
	h.tally.Late++
}
