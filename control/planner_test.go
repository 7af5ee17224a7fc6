package control

import (
	"fmt"
	"testing"
	"time"

	"endivedeck.example/golden"
	"endivedeck.example/interval"
	"endivedeck.example/message"
)

// TestPlanner checks which role changes are announced when six engines report
// long prompts that occupy 2.4 engines and a tenth of the answers missing their
// limits. The policy "fixed" announces none.
func TestPlanner(t *testing.T) {
	var seen string
	for _, policy := range []string{"steady", "fixed"} {
		withClusterPolicy(t, 3, policy, func(cl *cluster) {
			for i := range 6 {
				h := cl.addHolder(fmt.Sprintf("engine-%d", i+1), kindSidecar)
				h.engine = &message.Backend{
					Name:          h.name,
					Incarnation:   h.name,
					FailureDomain: fmt.Sprintf("domain-%d", i%3),
					Kind:          message.KindEngine,
					Role:          "both",
				}
			}
			cl.awaitLeases()
			cl.putContract(cl.awaitLeader(), "crews", 0, "", 0.5, time.Minute)
			for range 40 {
				interval.Sleep(cl.t.Context(), time.Second)
				for _, h := range cl.holders {
					h.addWork()
				}
			}
			changes := cl.controls[cl.awaitLeader()].control.state.Changes()
			seen += fmt.Sprintf("%s: %d changes\n", policy, len(changes))
			for _, c := range changes {
				seen += fmt.Sprintf("  %s to %s by the %s\n", c.Announcement.BackendServer, c.Announcement.Role, c.Announcement.Author)
			}
		})
	}
	golden.Check(t, "planner.golden", seen)
}

// addWork adds one second of work to the totals of an engine.
func (h *leaseHolder) addWork() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.totals.LongPrompts += 0.4
	h.totals.Other += 0.1
	h.totals.Answers += 10
	h.totals.Missed++
}
