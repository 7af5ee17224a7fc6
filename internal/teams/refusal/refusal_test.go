package refusal_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"endivedeck.example/golden"
	"endivedeck.example/internal/teams/refusal"
)

const (
	engines = 10
	work    = 20 * time.Millisecond
	budget  = 2 * time.Second
	// usefulPart is the part of a caller's time left in which a late answer must begin.
	usefulPart = 0.4
)

var start = time.Unix(1_800_000_000, 0)

// TestCalendar refuses the requests of each file in testdata, and compares when they may
// come back with a golden table.
func TestCalendar(t *testing.T) {
	for _, file := range golden.Inputs(t, "*.refusals") {
		name := strings.TrimSuffix(filepath.Base(file), ".refusals")
		t.Run(name, func(t *testing.T) {
			text, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			calendar := refusal.New()
			var got strings.Builder
			for _, line := range strings.Split(strings.TrimSpace(string(text)), "\n") {
				if strings.HasPrefix(line, "#") {
					continue
				}
				var count, at, rank, room, spacing, waited, left int
				if _, err := fmt.Sscanf(line, "%d at %d rank %d room %d spacing %d waited %d left %d", &count, &at, &rank, &room, &spacing, &waited, &left); err != nil {
					t.Fatalf("%q: %v", line, err)
				}
				fmt.Fprintf(&got, "%s\n   ", line)
				for range count {
					wait := calendar.ReturnAfter(start.Add(ms(at)), refusal.Refusal{Service: "assist", Rank: rank, Room: ms(room), Spacing: ms(spacing), Waited: ms(waited), TimeLeft: ms(left)})
					if limit := ms(left) / 3; wait > limit {
						t.Errorf("%q: got %v, want at most %v", line, wait, limit)
					}
					fmt.Fprintf(&got, " %d", (ms(at) + wait).Milliseconds())
				}
				got.WriteString("\n")
			}
			golden.Check(t, name+".golden", got.String())
		})
	}
}

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// result is how a burst went.
type result struct{ refused, servedOnReturn, refusedAgain int }

// play sends a burst of requests to engines that are behind already. Each caller that is
// refused comes back once, after the time that returnAfter gives.
func play(burst time.Duration, firstPart float64, returnAfter func(now time.Time, room, left time.Duration) time.Duration) result {
	type caller struct{ begun time.Duration }
	returns := map[time.Duration][]caller{}
	var queue time.Duration
	var r result
	const tick = time.Millisecond
	for now := time.Duration(0); now < 4*time.Second; now += tick {
		arrive := func(c caller, returned bool) {
			left := budget - (now - c.begun)
			wait, part := queue/engines, firstPart
			if returned {
				part = usefulPart
			}
			if excess := wait - time.Duration(part*float64(left)); excess > 0 {
				if returned {
					r.refusedAgain++
					return
				}
				r.refused++
				after := returnAfter(start.Add(now), time.Duration(float64(excess)/(1-part)), left)
				at := now + after.Round(tick)
				returns[at] = append(returns[at], c)
				return
			}
			queue += work
			if returned {
				r.servedOnReturn++
			}
		}
		if now < burst {
			for range 2 { // four times of what the engines do
				arrive(caller{now}, false)
			}
		}
		if now >= burst && now%(4*tick) == 0 { // half of it
			arrive(caller{now}, false)
		}
		for _, c := range returns[now] {
			arrive(c, true)
		}
		delete(returns, now)
		queue -= min(queue, engines*tick)
	}
	return r
}

// TestReturns checks that nearly all callers that are refused in a burst are served when
// they come back by the calendar, and more than after a constant time. The queue takes
// first attempts up to FirstPart of what callers that come back may wait, so that it has
// room for these.
func TestReturns(t *testing.T) {
	const burst = 400 * time.Millisecond
	calendar := refusal.New()
	spread := play(burst, refusal.FirstPart*usefulPart, func(now time.Time, room, left time.Duration) time.Duration {
		return calendar.ReturnAfter(now, refusal.Refusal{Service: "assist", Room: room, Spacing: work / engines, TimeLeft: left})
	})
	constant := play(burst, usefulPart, func(time.Time, time.Duration, time.Duration) time.Duration { return 600 * time.Millisecond })
	golden.Check(t, "burst.golden", fmt.Sprintf("calendar: %+v\nconstant: %+v\n", spread, constant))
	if got, want := spread.refusedAgain, constant.refusedAgain/2; got > want {
		t.Errorf("requests that were never served: got %d, want at most %d", got, want)
	}
}

// TestExpect checks that Expect tells what ReturnAfter returns next, and changes nothing.
func TestExpect(t *testing.T) {
	c := refusal.New()
	for i := range 40 {
		r := refusal.Refusal{Service: "s", Rank: i % 3, Room: time.Duration(i%5) * work, Spacing: work / engines, TimeLeft: budget}
		if i%7 == 0 {
			r.Room = -1
		}
		want := c.Expect(start, r)
		if again := c.Expect(start, r); again != want {
			t.Errorf("refusal %d: got %v the second time, want %v", i, again, want)
		}
		if got := c.ReturnAfter(start, r); got != want {
			t.Errorf("refusal %d: got %v, expected %v", i, got, want)
		}
	}
}
