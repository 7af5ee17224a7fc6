package ledger

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"endivedeck.example/golden"
	"endivedeck.example/internal/usage/meter"
	"endivedeck.example/wire"
)

var schedule = Schedule{Length: 5 * time.Second, Late: 10 * time.Second}

// TestCollector brings about what may happen to the relays of one window, one at a time. Each line says
// when the window can be closed, after its end, and with which counts.
func TestCollector(t *testing.T) {
	const number = 200
	start := meter.Start(number, schedule.Length)
	north, south := Source{"north", "1"}, Source{"south", "1"}
	counts := func(n uint64) []meter.Window {
		return []meter.Window{{Number: number, Counts: map[string]uint64{"crews": n, "clinics": 1}}}
	}
	type report struct {
		after    time.Duration // the start of the window
		from     Source
		complete int64
		windows  []meter.Window
	}
	both := []report{{time.Second, north, number, nil}, {time.Second, south, number, nil}, {3 * time.Second, north, number, counts(10)}, {3 * time.Second, south, number, counts(20)}}
	var seen strings.Builder
	for _, c := range []struct {
		name    string
		began   time.Duration // of the collector, after the start of the window
		reports []report
	}{
		{"both relays complete it", -time.Minute, append(both, report{6100 * time.Millisecond, north, number + 1, nil}, report{6300 * time.Millisecond, south, number + 1, nil})},
		{"a report is lost and its successor has all", -time.Minute, append(both[1:], report{6100 * time.Millisecond, north, number + 1, counts(11)}, report{6300 * time.Millisecond, south, number + 1, nil})},
		{"a report is repeated, and an old one comes late", -time.Minute, append(both, report{6100 * time.Millisecond, north, number + 1, counts(10)}, report{6200 * time.Millisecond, north, number, counts(4)}, report{6300 * time.Millisecond, south, number + 1, nil})},
		{"a relay is killed", -time.Minute, append(both, report{6300 * time.Millisecond, south, number + 1, nil})},
		{"a relay is killed and starts again", -time.Minute, append(both, report{4 * time.Second, Source{"north", "2"}, number, counts(3)}, report{6300 * time.Millisecond, south, number + 1, nil}, report{6400 * time.Millisecond, Source{"north", "2"}, number + 1, nil})},
		{"a relay stops as planned", -time.Minute, append(both, report{4 * time.Second, north, 1 << 62, counts(12)}, report{6300 * time.Millisecond, south, number + 1, nil})},
		{"a relay is cut off and comes back in time", -time.Minute, append(both, report{6300 * time.Millisecond, south, number + 1, nil}, report{8 * time.Second, north, number + 1, counts(30)})},
		{"a relay was gone before the window", -time.Minute, []report{{-6 * time.Second, north, number - 1, nil}, {time.Second, south, number, counts(20)}, {6300 * time.Millisecond, south, number + 1, nil}}},
		{"a relay is gone since the window before", -time.Minute, []report{{-time.Second, north, number, nil}, {time.Second, south, number, counts(20)}, {6300 * time.Millisecond, south, number + 1, nil}}},
		{"the instance started in the window", time.Second, append(both, report{6100 * time.Millisecond, north, number + 1, nil}, report{6300 * time.Millisecond, south, number + 1, nil})},
		{"nobody reports", -time.Minute, nil},
	} {
		collector := NewCollector(schedule, start.Add(c.began))
		for after := -6 * time.Second; ; after += 100 * time.Millisecond {
			at := start.Add(after)
			for _, r := range c.reports {
				if r.after == after {
					collector.Merge(at, r.from, r.complete, r.windows)
				}
			}
			if verdict := collector.Judge(at, number); verdict.Closable {
				fmt.Fprintf(&seen, "%s: after %v, without %v, %v\n", c.name, after-schedule.Length, verdict.Missing, collector.Sum(number).Counts)
				break
			}
		}
	}
	golden.Check(t, "collector.golden", seen.String())
}

// TestCollectorDrop checks that nothing is kept for windows that are closed, nor for relays that
// are gone, and that counts of other times than about now aren't taken.
func TestCollectorDrop(t *testing.T) {
	at := meter.Start(200, schedule.Length)
	collector := NewCollector(schedule, at)
	for _, number := range []int64{1, 199, 200, 202, 1 << 40} {
		collector.Merge(at, Source{"north", "1"}, 0, []meter.Window{{Number: number, Counts: map[string]uint64{"crews": 1}}})
	}
	kept := func() (numbers []int64) {
		for _, number := range []int64{1, 199, 200, 202, 1 << 40} {
			if len(collector.Sum(number).Counts) > 0 {
				numbers = append(numbers, number)
			}
		}
		return numbers
	}
	if got, want := fmt.Sprint(kept()), "[199 200]"; got != want {
		t.Errorf("windows kept: got %s, want %s", got, want)
	}
	collector.Drop(200)
	if got, want := fmt.Sprint(kept()), "[200]"; got != want {
		t.Errorf("windows kept after a drop: got %s, want %s", got, want)
	}
	collector.Drop(203)
	if got := len(collector.sources); got != 0 {
		t.Errorf("relays kept: got %d, want 0", got)
	}
}

// TestStore checks that a window is closed once, whatever comes later and across a snapshot.
func TestStore(t *testing.T) {
	var seen strings.Builder
	s := new(Store)
	apply := func(what string, c Close) {
		outcome := s.Apply(c)
		fmt.Fprintf(&seen, "%s: closed %v, next %d, waiting %v\n", what, outcome.Closed, outcome.Next, s.Records)
	}
	window := func(number int64, n uint64) meter.Window {
		return meter.Window{Number: number, Counts: map[string]uint64{"crews": n}}
	}
	apply("the first", Close{Window: window(200, 10)})
	apply("the same with other counts", Close{Window: window(200, 11), Missing: 1})
	apply("the next", Close{Window: window(201, 20), Ended: []int64{200}})
	saved, err := wire.Encode(s)
	if err != nil {
		t.Fatal(err)
	}
	s = new(Store)
	if err := wire.Decode(saved, s); err != nil {
		t.Fatal(err)
	}
	apply("the same after a restore", Close{Window: window(201, 21)})
	apply("after a gap", Close{Window: window(240, 3), Missing: 2})
	apply("one in the gap", Close{Window: window(230, 4)})
	for number := int64(241); number < 400; number++ {
		s.Apply(Close{Window: window(number, 1)})
	}
	fmt.Fprintf(&seen, "after many that weren't reported: %d waiting, the first is %d\n", len(s.Records), s.Records[0].Window.Number)
	golden.Check(t, "store.golden", seen.String())
}
