package control

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"endivedeck.example/golden"
	"endivedeck.example/internal/duties/replicas"
	"endivedeck.example/routes"
)

// maxOrderChanges is how often the provider may be told another number, in two domains and
// two steps of the demand.
const maxOrderChanges = 6

// orders returns the numbers of servers that the provider was told last.
func (p *fakeProvider) orders(t *testing.T) string {
	t.Helper()
	last := map[replicas.Subject]int{}
	changes := 0
	for _, c := range p.calls() {
		if c.order == nil {
			continue
		}
		subject := replicas.Subject{Service: c.order.Service, Domain: c.order.Domain}
		if last[subject] != c.order.Servers {
			changes++
		}
		last[subject] = c.order.Servers
	}
	if changes > maxOrderChanges {
		t.Errorf("orders with another number: got %d, want at most %d", changes, maxOrderChanges)
	}
	return fmt.Sprint(last)
}

// TestServers brings about one failure at a time while the demand for a service rises, and compares
// the numbers of servers that were ordered with the golden file. Two servers with 10 slots run
// in each of two domains, of a service with bounds and of one without.
func TestServers(t *testing.T) {
	var seen strings.Builder
	for _, c := range []struct {
		name string
		test func(cl *cluster, p *fakeProvider)
	}{
		{"calm", func(*cluster, *fakeProvider) {}},
		{"the holder is killed", func(cl *cluster, _ *fakeProvider) { cl.kill(cl.awaitLeader()) }},
		{"the holder is cut off", func(cl *cluster, _ *fakeProvider) { isolateLeader(cl) }},
		{"the provider is down for 8 s", func(_ *cluster, p *fakeProvider) {
			p.set(func(p *fakeProvider) { p.answer = refuseAll })
			p.sleepUntil(28 * time.Second)
			p.set(func(p *fakeProvider) { p.answer = nil })
		}},
		{"the provider is silent for 8 s", func(_ *cluster, p *fakeProvider) {
			p.set(func(p *fakeProvider) { p.silent = true })
			p.sleepUntil(28 * time.Second)
			p.set(func(p *fakeProvider) { p.silent = false })
		}},
	} {
		withDuties(t, func(cl *cluster, p *fakeProvider, relays []*fakeRelay) {
			table := routeTable(3, "assist")
			table.Services = []routes.Service{
				{Name: "assist", Scaling: &replicas.Bounds{Min: 1, Max: 9, Boot: 5 * time.Second}}, {Name: "ledger"},
			}
			cl.putRoutes(cl.awaitLeader(), table)
			for _, r := range relays {
				r.active.Store(6)
			}
			p.sleepUntil(19500 * time.Millisecond)
			fmt.Fprintf(&seen, "%s: %s before", c.name, p.orders(t))
			for _, r := range relays {
				r.active.Store(12)
			}
			c.test(cl, p)
			p.sleepUntil(50 * time.Second)
			fmt.Fprintf(&seen, "; %s after the rise\n", p.orders(t))
		})
	}
	golden.Check(t, "servers.golden", seen.String())
}
