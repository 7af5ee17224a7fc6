package quarantine

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"endivedeck.example/golden"
	"endivedeck.example/internal/fleet/shard"
)

var start = time.Unix(1_800_000_000, 0)

type (
	// scenario replays the events of a file at several relays. A line is one of
	//
	//	relays NAME...
	//	delay MS                              of messages between relays
	//	MS RELAY end SERVER[/START][@N] PART...   a server ends under a request after N events of its answer
	//	MS RELAY whole PART...                an answer is whole
	//	MS RELAY reached N PART...            N events of an answer have been received
	//	MS RELAY request PART...              a request arrives; prints what happens to it
	//	MS RELAY restart                      the relay loses its state and gets that of the others
	//	MS expire                             all relays remove old evidence
	//
	// in the order of time. Transitions are printed too.
	scenario struct {
		t         *testing.T
		delay     time.Duration
		names     []string
		tables    map[string]*Table
		sent      map[[2]string]uint64 // sequence number for Changes, by sender and receiver
		queue     []delivery           // in the order of time
		partNames map[uint64]string    // names of parts by ID
		got       strings.Builder
	}

	// delivery is a message between relays that is on its way.
	delivery struct {
		at   time.Time
		to   string
		list []Evidence
	}
)

// TestScenarios replays patterns of events.
func TestScenarios(t *testing.T) {
	for _, file := range golden.Inputs(t, "*.txt") {
		name := strings.TrimSuffix(filepath.Base(file), ".txt")
		t.Run(name, func(t *testing.T) {
			s := &scenario{t: t, tables: map[string]*Table{}, sent: map[[2]string]uint64{}, partNames: map[uint64]string{}}
			f, err := os.Open(file)
			if err != nil {
				t.Fatal(err)
			}
			defer f.Close()
			lines := bufio.NewScanner(f)
			for lines.Scan() {
				text, _, _ := strings.Cut(lines.Text(), "#")
				if fields := strings.Fields(text); len(fields) > 0 {
					s.step(fields)
				}
			}
			if err := lines.Err(); err != nil {
				t.Fatal(err)
			}
			golden.Check(t, name+".golden", s.got.String())
		})
	}
}

func (s *scenario) step(fields []string) {
	switch fields[0] {
	case "relays":
		s.names = fields[1:]
		for _, name := range s.names {
			s.tables[name] = New()
		}
		return
	case "delay":
		s.delay = s.milliseconds(fields[1])
		return
	}
	now := start.Add(s.milliseconds(fields[0]))
	s.deliverUntil(now)
	if fields[1] == "expire" {
		for _, name := range s.names {
			s.tables[name].Expire(now)
			s.printTransitions(now, name)
		}
		return
	}
	relay, verb, args := fields[1], fields[2], fields[3:]
	table := s.tables[relay]
	switch verb {
	case "end":
		name, position, _ := strings.Cut(args[0], "@")
		events, _ := strconv.Atoi(position) // 0 if not given
		server, startedAt, _ := strings.Cut(name, "/")
		n, _ := strconv.ParseInt(startedAt, 10, 64) // 0 if not given
		if table.RecordEnd(now, s.parts(args[1:]), events, server, n) {
			s.tell(now, relay)
		}
	case "whole":
		if table.RecordWhole(now, s.parts(args)) {
			s.tell(now, relay)
		}
	case "reached":
		events, err := strconv.Atoi(args[0])
		if err != nil {
			s.t.Fatal(err)
		}
		if table.RecordProgress(now, s.parts(args[1:]), events) {
			s.tell(now, relay)
		}
	case "request":
		fmt.Fprintf(&s.got, "%s: request %s: %s\n", s.when(now, relay), strings.Join(args, ","), s.outcome(now, relay, s.parts(args)))
	case "restart":
		s.tables[relay] = New()
		for _, other := range s.names {
			if other == relay {
				continue
			}
			list, next := s.tables[other].Snapshot(now, func(part uint64) bool { return shard.Owner(s.names, fmt.Sprint(part)) == other })
			s.sent[[2]string{other, relay}] = next
			s.sent[[2]string{relay, other}] = 0
			s.queue = append(s.queue, delivery{now.Add(s.delay), relay, list})
		}
	default:
		s.t.Fatalf("unknown event %q", verb)
	}
	s.printTransitions(now, relay)
}

// outcome returns what happens to a request with the given parts.
func (s *scenario) outcome(now time.Time, relay string, parts []uint64) string {
	v := s.tables[relay].Check(now, parts)
	switch v.State {
	case Sound:
		return "sent"
	case Suspect:
		return "sent, " + s.partNames[v.Part] + " is suspect"
	}
	if v.Round > 0 && shard.Owner(s.names, fmt.Sprintf("%d/%d", v.Part, v.Round)) == relay && s.tables[relay].BeginTrial(now, v.Part, v.Round) {
		return fmt.Sprintf("trial of %s in round %d", s.partNames[v.Part], v.Round)
	}
	return fmt.Sprintf("rejected for %s, %d ends, wait %v", s.partNames[v.Part], v.Ends, v.Wait)
}

// tell sends what has changed at a relay to the others.
func (s *scenario) tell(now time.Time, from string) {
	for _, to := range s.names {
		if to == from {
			continue
		}
		key := [2]string{from, to}
		var list []Evidence
		list, s.sent[key] = s.tables[from].Changes(now, s.sent[key])
		if len(list) > 0 {
			s.queue = append(s.queue, delivery{now.Add(s.delay), to, list})
		}
	}
}

func (s *scenario) deliverUntil(now time.Time) {
	for len(s.queue) > 0 && !s.queue[0].at.After(now) {
		d := s.queue[0]
		s.queue = s.queue[1:]
		if s.tables[d.to].Merge(d.at, d.list) {
			s.tell(d.at, d.to)
		}
		s.printTransitions(d.at, d.to)
	}
}

func (s *scenario) printTransitions(now time.Time, relay string) {
	list := s.tables[relay].Transitions()
	slices.SortFunc(list, func(a, b Transition) int { return strings.Compare(s.partNames[a.Part], s.partNames[b.Part]) })
	for _, tr := range list {
		what := "is used again"
		if tr.Begins {
			what = fmt.Sprintf("is quarantined, %d ends, %d failed trials", tr.Ends, tr.Trials)
		}
		fmt.Fprintf(&s.got, "%s: %s %s\n", s.when(now, relay), s.partNames[tr.Part], what)
	}
}

func (s *scenario) when(now time.Time, relay string) string {
	return fmt.Sprintf("%7d %s", now.Sub(start).Milliseconds(), relay)
}

func (s *scenario) parts(names []string) []uint64 {
	var ids []uint64
	for _, name := range names {
		id := xxhash.Sum64String(name)
		s.partNames[id] = name
		ids = append(ids, id)
	}
	return ids
}

func (s *scenario) milliseconds(text string) time.Duration {
	n, err := strconv.Atoi(text)
	if err != nil {
		s.t.Fatal(err)
	}
	return time.Duration(n) * time.Millisecond
}
