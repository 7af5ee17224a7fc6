package replicas

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"endivedeck.example/golden"
)

var (
	epoch  = time.Unix(1_000_000, 0)
	bounds = Bounds{Min: 1, Max: 12, Boot: 8 * time.Second}
)

// fleet plays a service whose servers start after the time that they take, with the policy.
type fleet struct {
	policy *Policy
	store  *Store
	now    time.Time
	lost   string // a domain that runs no servers
	orders []Order
	ready  map[string]int
	due    []Order // orders that aren't carried out yet
}

func newFleet() *fleet {
	return &fleet{policy: New(), store: new(Store), now: epoch, ready: map[string]int{"east": 2, "west": 2}}
}

// step plays a second with some requests at the servers.
func (f *fleet) step(active float64) {
	f.now = f.now.Add(time.Second)
	state := State{Service: "assist", Bounds: bounds, Slots: 10, Active: active}
	var waiting []Order
	for _, o := range f.due {
		if f.now.Sub(o.At) < bounds.Boot {
			waiting = append(waiting, o)
			continue
		}
		f.ready[o.Domain] = o.Servers
	}
	f.due = waiting
	for _, name := range []string{"east", "west"} {
		d := Domain{Name: name, Servers: f.ready[name]}
		if name == f.lost {
			d.Servers = 0
		}
		state.Domains = append(state.Domains, d)
	}
	for _, o := range f.policy.Decide(f.now, state, f.store) {
		o.At = f.now
		f.store.Apply(o)
		f.orders = append(f.orders, o)
		f.due = append(f.due, o)
	}
}

// TestDecide replays loads, and compares the orders with the golden file.
func TestDecide(t *testing.T) {
	var seen strings.Builder
	for _, c := range []struct {
		name   string
		length time.Duration
		active func(after time.Duration, f *fleet) float64
	}{
		{"steady", 10 * time.Minute, func(time.Duration, *fleet) float64 { return 24 }},
		{"doubles at 1m", 3 * time.Minute, func(after time.Duration, _ *fleet) float64 { return step(after, time.Minute, 24, 48) }},
		{"a burst of 3 s", 3 * time.Minute, func(after time.Duration, _ *fleet) float64 {
			return step(after, time.Minute, 24, 60) - step(after, time.Minute+3*time.Second, 0, 36)
		}},
		{"ends at 1m", 15 * time.Minute, func(after time.Duration, _ *fleet) float64 { return step(after, time.Minute, 100, 0) }},
		{"more than the bounds", 2 * time.Minute, func(time.Duration, *fleet) float64 { return 1000 }},
		{"east is lost at 1m and back at 5m", 10 * time.Minute, func(after time.Duration, f *fleet) float64 {
			f.lost = ""
			if after > time.Minute && after < 5*time.Minute {
				f.lost = "east"
			}
			return 36
		}},
		{"another holder each minute", 5 * time.Minute, func(after time.Duration, f *fleet) float64 {
			if after%time.Minute == 0 {
				f.policy = New()
			}
			return step(after, 2*time.Minute, 40, 5)
		}},
	} {
		f := newFleet()
		for after := time.Duration(0); after < c.length; after += time.Second {
			f.step(c.active(after, f))
		}
		fmt.Fprintf(&seen, "%s:\n", c.name)
		for _, o := range f.orders {
			fmt.Fprintf(&seen, "    %v: %d in %s\n", o.At.Sub(epoch), o.Servers, o.Domain)
		}
	}
	golden.Check(t, "orders.golden", seen.String())
}

func step(after, at time.Duration, before, then float64) float64 {
	if after < at {
		return before
	}
	return then
}

// TestOrdersPerHour plays loads that swing in any way, and checks the bound on orders in
// each hour, also over changes of the holder.
func TestOrdersPerHour(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 2))
		period, swing := 20+rng.Float64()*1200, rng.Float64()*60
		f := newFleet()
		for second := range 3 * 3600 {
			if rng.IntN(600) == 0 {
				f.policy = New()
			}
			f.step(max(0, 60+swing*math.Sin(float64(second)/period*2*math.Pi)+rng.NormFloat64()*10))
		}
		for i, o := range f.orders {
			count := 0
			for _, later := range f.orders[i:] {
				if later.Domain == o.Domain && later.At.Sub(o.At) < time.Hour {
					count++
				}
			}
			if count > MaxOrdersPerHour {
				t.Errorf("seed %d, %s: got %d orders in the hour after %v, want at most %d", seed, o.Domain, count, o.At.Sub(epoch), MaxOrdersPerHour)
				break
			}
		}
	}
}

// TestNoBounds checks that a service without bounds gets no order.
func TestNoBounds(t *testing.T) {
	for _, s := range []State{
		{Service: "ledger", Slots: 6, Active: 500, Domains: []Domain{{"east", 1}}},
		{Service: "ledger", Bounds: bounds, Active: 500, Domains: []Domain{{"east", 1}}},
		{Service: "ledger", Bounds: bounds, Slots: 6, Active: 500},
	} {
		if got := New().Decide(epoch, s, new(Store)); len(got) != 0 {
			t.Errorf("%+v: got %v, want no orders", s, got)
		}
	}
}
