package roster

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"endivedeck.example/golden"
)

// TestRoster runs the scripts testdata/*.steps. Each line is an event at a
// control instance or a wait; the golden file adds the servers that the relay
// has after it.
func TestRoster(t *testing.T) {
	for _, file := range golden.Inputs(t, "*.steps") {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		s := &simulation{now: time.Unix(1_800_000_000, 0), roster: New(5 * time.Second), registries: map[string]*Registry{}, cut: map[string]bool{}}
		var got strings.Builder
		for line := range strings.Lines(string(text)) {
			line = strings.TrimSpace(line)
			if line == "" || strings.HasPrefix(line, "#") {
				fmt.Fprintln(&got, line)
				continue
			}
			s.step(strings.Fields(line))
			fmt.Fprintf(&got, "%-44s => %s\n", line, s.servers())
		}
		name := strings.TrimPrefix(file, "testdata/")
		golden.Check(t, strings.TrimSuffix(name, ".steps")+".golden", got.String())
	}
}

// simulation is one relay with the control instances it follows.
type simulation struct {
	now        time.Time
	roster     *Roster
	registries map[string]*Registry // by control instance
	cut        map[string]bool      // control instances that the relay is disconnected from
}

// step executes one line: CONTROL announce ID ADDRESS START SEQ [draining],
// CONTROL leave ID, CONTROL cut, CONTROL heal, CONTROL restart, or wait
// DURATION. "relay leaving ID START" is a server that says so in a response to the relay.
func (s *simulation) step(args []string) {
	if args[0] == "wait" {
		length, _ := time.ParseDuration(args[1])
		s.now = s.now.Add(length)
		s.sync()
		return
	}
	if args[0] == "relay" {
		startedAt, _ := strconv.ParseInt(args[3], 10, 64)
		s.roster.MarkDraining(args[2], startedAt)
		return
	}
	control := args[0]
	if s.registries[control] == nil {
		s.registries[control] = NewRegistry()
	}
	switch args[1] {
	case "announce":
		server := Server{ID: args[2], Service: "assist", Address: args[3], Draining: len(args) > 6}
		fmt.Sscan(args[4], &server.StartedAt)
		fmt.Sscan(args[5], &server.Seq)
		s.registries[control].Announce(s.now, server)
	case "leave":
		s.registries[control].Leave(s.now, Server{ID: args[2]})
	case "cut":
		s.cut[control] = true
		s.roster.Disconnected(control)
	case "heal":
		s.cut[control] = false
	case "restart":
		s.registries[control] = NewRegistry()
	}
	s.sync()
}

// sync merges the registries of the connected control instances into the roster.
func (s *simulation) sync() {
	for control, registry := range s.registries {
		if !s.cut[control] {
			s.roster.Merge(s.now, control, registry.List(s.now))
		}
	}
}

// servers returns a description of the relay's servers.
func (s *simulation) servers() string {
	var list []string
	for _, server := range s.roster.Servers(s.now) {
		text := server.ID
		if server.Draining {
			text += " (draining)"
		}
		list = append(list, text)
	}
	if len(list) == 0 {
		return "none"
	}
	return strings.Join(list, ", ")
}
