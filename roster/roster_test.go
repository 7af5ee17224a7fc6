package roster

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"endivedeck.example/golden"
)

// TestRoster plays the files under testdata: a line is something that happens
// at a control instance or to the relay, and the golden file has whom the
// relay knows after it.
func TestRoster(t *testing.T) {
	for _, file := range golden.Inputs(t, "*.steps") {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		p := &player{now: time.Unix(1_800_000_000, 0), roster: New(5 * time.Second), ledgers: map[string]*Registry{}, cut: map[string]bool{}}
		var got strings.Builder
		for line := range strings.Lines(string(text)) {
			line = strings.TrimSpace(line)
			if line == "" || strings.HasPrefix(line, "#") {
				fmt.Fprintln(&got, line)
				continue
			}
			p.play(strings.Fields(line))
			fmt.Fprintf(&got, "%-44s => %s\n", line, p.known())
		}
		name := strings.TrimPrefix(file, "testdata/")
		golden.Check(t, strings.TrimSuffix(name, ".steps")+".golden", got.String())
	}
}

type player struct {
	now     time.Time
	roster  *Roster
	ledgers map[string]*Registry
	cut     map[string]bool // control instances that the relay doesn't hear
}

// play plays one line: CONTROL announce ID ADDRESS born SEQ [leaving], CONTROL
// leave ID, CONTROL cut, CONTROL heal, CONTROL restart, or wait LENGTH.
func (p *player) play(words []string) {
	if words[0] == "wait" {
		length, _ := time.ParseDuration(words[1])
		p.now = p.now.Add(length)
		p.hear()
		return
	}
	name := words[0]
	if p.ledgers[name] == nil {
		p.ledgers[name] = NewRegistry()
	}
	switch words[1] {
	case "announce":
		s := Server{ID: words[2], Service: "assist", Address: words[3], Draining: len(words) > 6}
		fmt.Sscan(words[4], &s.StartedAt)
		fmt.Sscan(words[5], &s.Seq)
		p.ledgers[name].Announce(p.now, s)
	case "leave":
		p.ledgers[name].Leave(p.now, Server{ID: words[2]})
	case "cut":
		p.cut[name] = true
		p.roster.Disconnected(name)
	case "heal":
		p.cut[name] = false
	case "restart":
		p.ledgers[name] = NewRegistry()
	}
	p.hear()
}

func (p *player) hear() {
	for name, ledger := range p.ledgers {
		if !p.cut[name] {
			p.roster.Merge(p.now, name, ledger.List(p.now))
		}
	}
}

func (p *player) known() string {
	var list []string
	for _, s := range p.roster.Servers(p.now) {
		word := s.ID
		if s.Draining {
			word += " (leaving)"
		}
		list = append(list, word)
	}
	if len(list) == 0 {
		return "nobody"
	}
	return strings.Join(list, ", ")
}
