package command

import (
	"strings"
	"testing"
	"time"

	"endivedeck.example/golden"
	"endivedeck.example/message"
	"endivedeck.example/quorum"
	"endivedeck.example/settings"
)

// TestStatus checks what operators see of a system with duties, and of one without.
func TestStatus(t *testing.T) {
	status := message.Status{Quorum: quorum.Status{Leader: "a#1", Term: 3, Commit: 40, Members: []quorum.Member{{ID: "a#1", Address: "a:7000", Voter: true}}}}
	var seen strings.Builder
	c := &statusCommand{out: &seen}
	c.write(&status)
	seen.WriteString("\n----\n\n")
	start := time.Date(2030, 1, 2, 3, 4, 5, 0, time.UTC)
	status.Duties = []message.Duty{
		{Name: "usage", Holder: "edge-a-1", Token: 12, LastSuccess: settings.Duration(2300 * time.Millisecond)},
		{Name: "servers"},
	}
	status.UsageWindows = []message.UsageWindow{
		{Number: 378711, Start: start, State: message.WindowClosed, Late: true, Teams: 2, Requests: 1200, Missing: 1},
		{Number: 378712, Start: start.Add(5 * time.Second), State: message.WindowOpen, Teams: 1, Requests: 7},
	}
	status.Servers = []message.ServerCount{{Service: "assist", Domain: "east", Ordered: 4, Present: 3}}
	status.Teams = []message.Team{{Name: "clinics", Keys: 2}, {Name: "crews"}}
	c.write(&status)
	golden.Check(t, "status.golden", seen.String())
}
