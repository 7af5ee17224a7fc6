package share_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"endivedeck.example/golden"
	"endivedeck.example/internal/teams/share"
)

const (
	tick = time.Millisecond

	// How relays place requests: in time if the wait is at most this part of the
	// objective, else behind those if the caller still has enough time.
	objective   = 500 * time.Millisecond
	maxWait     = 300 * time.Millisecond
	maxLateWait = 800 * time.Millisecond
)

type (
	// load is a load pattern that was read from a file.
	load struct {
		engines int
		relays  int
		length  time.Duration
		streams []*stream
		weights weights
	}

	// stream is a line of a load: requests of a team at a steady rate.
	stream struct {
		team     string
		rank     int
		from, to time.Duration
		perTick  float64
		work     time.Duration
		due      float64
		count    int
	}

	// weights implements share.Weights.
	weights map[string]float64

	// outcome is what a team got.
	outcome struct{ asked, inTime, late, refused int }
)

func (w weights) Weight(team string) float64 { return w[team] }

func readLoad(t *testing.T, file string) *load {
	t.Helper()
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	l := &load{weights: weights{}}
	for _, line := range strings.Split(strings.TrimSpace(string(text)), "\n") {
		var name, from, to, work string
		var number float64
		s := &stream{}
		switch verb, rest, _ := strings.Cut(line, " "); verb {
		case "#":
		case "fleet":
			_, err = fmt.Sscanf(rest, "%d engines %d relays %s", &l.engines, &l.relays, &to)
			l.length = duration(t, to)
		case "weight":
			_, err = fmt.Sscanf(rest, "%s %g", &name, &number)
			l.weights[name] = number
		case "team":
			_, err = fmt.Sscanf(rest, "%s rank %d from %s to %s asks %g of %s", &s.team, &s.rank, &from, &to, &number, &work)
			s.from, s.to, s.work = duration(t, from), duration(t, to), duration(t, work)
			s.perTick = number * tick.Seconds()
			l.streams = append(l.streams, s)
		default:
			t.Fatalf("%s: %q", file, line)
		}
		if err != nil {
			t.Fatalf("%s: %q: %v", file, line, err)
		}
	}
	return l
}

func duration(t *testing.T, text string) time.Duration {
	t.Helper()
	d, err := time.ParseDuration(text)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// play has relays place the load on engines with one queue, in which late requests yield
// to the others. Without shares, all requests count as within them.
func (l *load) play(shares bool) map[string]*outcome {
	var tables []*share.Table
	for range l.relays {
		tables = append(tables, share.New(l.weights))
	}
	outcomes := map[string]*outcome{}
	var queue, lateQueue time.Duration // of all engines together
	begin := time.Unix(1_800_000_000, 0)
	for now := time.Duration(0); now < l.length; now += tick {
		at := begin.Add(now)
		for i, from := range tables {
			if now%share.ReportInterval != time.Duration(i)*tick {
				continue
			}
			for j, to := range tables {
				if i != j {
					to.UpdatePeer(at, fmt.Sprint(i), from.Reports(at))
				}
			}
		}
		for _, s := range l.streams {
			if now < s.from || now >= s.to {
				continue
			}
			for s.due += s.perTick; s.due >= 1; s.due-- {
				table := tables[s.count*s.count%7%l.relays] // uneven
				s.count++
				wait, all := queue/time.Duration(l.engines), (queue+lateQueue)/time.Duration(l.engines)
				if float64(all) > share.PressedWait*float64(maxWait) {
					table.Press(at, "assist")
				}
				allowed := table.Allow(at, share.Ask{Service: "assist", Team: s.team, Rank: s.rank, Work: s.work})
				if !shares {
					allowed = 1
				}
				o := outcomes[s.team]
				if o == nil {
					o = &outcome{}
					outcomes[s.team] = o
				}
				o.asked++
				switch {
				case float64(wait) <= allowed*float64(maxWait) && allowed > 0:
					o.inTime++
					queue += s.work
				case all <= maxLateWait:
					if all+s.work <= objective {
						o.inTime++
					} else {
						o.late++
					}
					lateQueue += s.work
				default:
					o.refused++
					continue
				}
				table.Given(at, "assist", s.work)
			}
		}
		done := time.Duration(l.engines) * tick
		fromQueue := min(queue, done)
		queue -= fromQueue
		lateQueue -= min(lateQueue, done-fromQueue)
	}
	return outcomes
}

// table returns what each team got with and without shares.
func (l *load) table(t *testing.T, file string) string {
	t.Helper()
	without, with := readLoad(t, file).play(false), l.play(true)
	var b strings.Builder
	fmt.Fprintf(&b, "%-8s %6s | %8s %6s %8s | %8s %6s %8s\n", "team", "asked", "in time", "late", "refused", "shares:", "late", "refused")
	seen := map[string]bool{}
	for _, s := range l.streams {
		if seen[s.team] {
			continue
		}
		seen[s.team] = true
		x, y := without[s.team], with[s.team]
		fmt.Fprintf(&b, "%-8s %6d | %8d %6d %8d | %8d %6d %8d\n", s.team, x.asked, x.inTime, x.late, x.refused, y.inTime, y.late, y.refused)
	}
	return b.String()
}

// TestLoads plays each load of testdata, and compares what each team gets with a golden
// table.
func TestLoads(t *testing.T) {
	for _, file := range golden.Inputs(t, "*.load") {
		name := strings.TrimSuffix(filepath.Base(file), ".load")
		t.Run(name, func(t *testing.T) {
			golden.Check(t, name+".golden", readLoad(t, file).table(t, file))
		})
	}
}

// TestFlood checks that a team that floods the service costs the others under 1% of what
// they are served in time, which it does not without shares, and that the engines don't
// idle for it.
func TestFlood(t *testing.T) {
	const file = "testdata/flood.load"
	calm := readLoad(t, file)
	for _, s := range calm.streams {
		if s.team == "flood" {
			s.to = s.from
		}
	}
	others := func(outcomes map[string]*outcome) (inTime int) {
		for team, o := range outcomes {
			if team != "flood" {
				inTime += o.inTime
			}
		}
		return inTime
	}
	want := others(calm.play(true)) * 99 / 100
	flooded := readLoad(t, file).play(true)
	if got := others(flooded); got < want {
		t.Errorf("requests of others in time: got %d, want at least %d", got, want)
	}
	if got := others(readLoad(t, file).play(false)); got >= want {
		t.Errorf("requests of others in time without shares: got %d, want fewer than %d", got, want)
	}
	served := func(outcomes map[string]*outcome) (n int) {
		for _, o := range outcomes {
			n += o.inTime + o.late
		}
		return n
	}
	if got, want := served(flooded), served(readLoad(t, file).play(false))*98/100; got < want {
		t.Errorf("requests served at all: got %d, want at least %d", got, want)
	}
}
