package tenure

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"endivedeck.example/golden"
)

// TestStore checks that tokens only grow and that no two processes get the same one, also
// in a log that has lost its end.
func TestStore(t *testing.T) {
	var seen strings.Builder
	s := new(Store)
	for _, step := range []struct {
		index uint64
		take  Take
	}{
		{7, Take{Duty: "usage", Holder: "a", Process: "a1"}},
		{8, Take{Duty: "usage", Holder: "a", Process: "a1"}},
		{9, Take{Duty: "usage", Holder: "a", Process: "a2"}},
		{20, Take{Duty: "usage", Holder: "b", Process: "b1"}},
		{21, Take{Duty: "servers", Holder: "b", Process: "b1"}},
		{22, Take{Duty: "usage", Holder: "a", Process: "a2"}},
		{3, Take{Duty: "usage", Holder: "c", Process: "c1"}},
	} {
		fmt.Fprintf(&seen, "entry %d, %s by %s: token %d\n", step.index, step.take.Duty, step.take.Process, s.Apply(step.index, step.take).Token)
	}
	golden.Check(t, "store.golden", seen.String())
}

// TestHandover lets the leadership move between instances at random, each of which sends
// calls as early and as late as it may, and each call arrives as late as it can. Calls must arrive
// with tokens that don't fall, and two instances must not act in turns within the lease.
func TestHandover(t *testing.T) {
	type arrival struct {
		holder string
		token  uint64
		at     time.Duration
	}
	for _, lease := range []time.Duration{500 * time.Millisecond, 3 * time.Second, 20 * time.Second} {
		timing := DefaultTiming(lease)
		for seed := range uint64(300) {
			rng := rand.New(rand.NewPCG(seed, 1))
			s := new(Store)
			var arrivals []arrival
			elected := time.Duration(0)
			for index := uint64(1); index < 30; index++ {
				holder := string(rune('a' + rng.IntN(3)))
				length := time.Duration(rng.Int64N(int64(2 * timing.Wait())))
				next := elected + length // before which nobody else can be elected
				led := time.Duration(0)
				if !timing.MayTake(holder, s.Tenures["usage"], 0) {
					led = timing.Wait()
				}
				// Confirmations end with the next election, and a call follows one within Freshness.
				if confirmed := elected + led; confirmed <= next {
					token := s.Apply(index, Take{Duty: "usage", Holder: holder, Process: holder}).Token
					arrivals = append(arrivals, arrival{holder, token, confirmed}, arrival{holder, token, next + timing.Freshness + timing.CallTimeout})
				}
				elected = next
			}
			last := map[string]arrival{}
			for i, a := range arrivals {
				if i > 0 && arrivals[i-1].token > a.token || i > 0 && arrivals[i-1].holder != a.holder && arrivals[i-1].at >= a.at {
					t.Fatalf("lease %v, seed %d: got token %d of %s at %v after %d of %s at %v", lease, seed, a.token, a.holder, a.at, arrivals[i-1].token, arrivals[i-1].holder, arrivals[i-1].at)
				}
				before, known := last[a.holder]
				if known && arrivals[i-1].holder != a.holder && a.at-before.at < lease {
					t.Fatalf("lease %v, seed %d: %s acted at %v and, after %s, at %v", lease, seed, a.holder, before.at, arrivals[i-1].holder, a.at)
				}
				last[a.holder] = a
			}
		}
	}
}

// TestMayCall checks which delays between a confirmation and a call permit it.
func TestMayCall(t *testing.T) {
	timing := DefaultTiming(3 * time.Second)
	for _, c := range []struct {
		name              string
		steady, timeOfDay time.Duration
		want              bool
	}{
		{"at once", time.Millisecond, time.Millisecond, true},
		{"busy machine", 190 * time.Millisecond, 190 * time.Millisecond, true},
		{"too late", 210 * time.Millisecond, 210 * time.Millisecond, false},
		{"suspended in between", time.Millisecond, 7 * time.Second, false},
		{"time of day jumped back", time.Millisecond, -2 * time.Second, false},
	} {
		if got := timing.MayCall(c.steady, c.timeOfDay); got != c.want {
			t.Errorf("%s: got %v, want %v", c.name, got, c.want)
		}
	}
}

// TestPace checks when calls to a provider that fails, and recovers, are made.
func TestPace(t *testing.T) {
	var seen strings.Builder
	p := NewPace(50)
	start := time.Unix(1000, 0)
	now := start
	for _, succeeded := range []bool{true, true, false, false, false, false, false, true, true, false} {
		for !p.Ready(now) {
			now = now.Add(time.Millisecond)
		}
		fmt.Fprintf(&seen, "%v: succeeded %v\n", now.Sub(start), succeeded)
		p.Done(now, succeeded)
	}
	golden.Check(t, "pace.golden", seen.String())
}
