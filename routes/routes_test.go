package routes

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"endivedeck.example/contract"
	"endivedeck.example/golden"
)

func sampleTable() Table {
	route := func(name, prefix, service string) Route {
		return Route{
			Name: name, Host: "crews.example", Prefix: prefix, Kind: Stream, Timeout: time.Second, MaxAttempts: 1,
			Targets: []Target{{Service: service, Weight: 1}},
		}
	}
	return Table{
		Version:  7,
		Services: []Service{{Name: "assist"}, {Name: "ledger"}},
		Routes:   []Route{route("all", "/", "assist"), route("orders", "/orders/", "ledger"), route("late", "/orders/late/", "ledger")},
	}
}

// TestValidate checks tables that have one fault each. Among them are two teams that hold
// one key and have one name, of which only the later would be found by the key.
func TestValidate(t *testing.T) {
	var got strings.Builder
	for _, c := range []struct {
		name   string
		modify func(*Table)
	}{
		{"valid", func(*Table) {}},
		{"no routes", func(t *Table) { t.Routes = nil }},
		{"unknown service", func(t *Table) { t.Routes[1].Targets[0].Service = "none" }},
		{"same host and prefix", func(t *Table) { t.Routes[2].Prefix = "/orders/" }},
		{"no weight", func(t *Table) { t.Routes[0].Targets[0].Weight = 0 }},
		{"weight below 0", func(t *Table) { t.Routes[0].Targets[0].Weight = -1 }},
		{"no target", func(t *Table) { t.Routes[0].Targets = nil }},
		{"no timeout", func(t *Table) { t.Routes[0].Timeout = 0 }},
		{"prefix without a trailing slash", func(t *Table) { t.Routes[0].Prefix = "/a" }},
		{"teams", func(t *Table) { t.Teams = []Team{{Name: "a", KeyHashes: []string{"1", "1"}}, {Name: "b"}} }},
		{"teams with the same key", func(t *Table) {
			t.Teams = []Team{{Name: "a", KeyHashes: []string{"1"}}, {Name: "b", KeyHashes: []string{"2", "1"}}}
		}},
		{"teams of one name with the same key", func(t *Table) {
			t.Teams = []Team{{Name: "a", Priority: 1, KeyHashes: []string{"1"}}, {Name: "a", Priority: 2, KeyHashes: []string{"1"}}}
		}},
		{"teams of one name with other keys", func(t *Table) {
			t.Teams = []Team{{Name: "a", Priority: 1, KeyHashes: []string{"1"}}, {Name: "a", Priority: 2, KeyHashes: []string{"2"}}}
		}},
		{"team without a name", func(t *Table) { t.Teams = []Team{{}} }},
		{"team whose name ends a header", func(t *Table) { t.Teams = []Team{{Name: "a\r\nb"}} }},
		{"team with a negative priority", func(t *Table) { t.Teams = []Team{{Name: "a", Priority: -2}} }},
		{"service without a name", func(t *Table) { t.Services[0].Name = "" }},
	} {
		table := sampleTable()
		c.modify(&table)
		fmt.Fprintf(&got, "%s: %v\n", c.name, table.Validate())
	}
	golden.Check(t, "check.golden", got.String())
}

// TestRoutesOfOneHost guards against routes that are accepted though one of them is never
// matched, so that its requests run at another service (review/13): two routes are
// accepted only if requests for the host of each match that route.
func TestRoutesOfOneHost(t *testing.T) {
	var got strings.Builder
	for _, hosts := range [][2]string{
		{"crews.example", "seeds.example"},
		{"crews.example", "crews.example"},
		{"crews.example", "Crews.example"},
		{"CREWS.EXAMPLE", "crews.example"},
		{"crews.example", "crews.example:8080"},
		{"crews.example:80", "crews.example:8080"},
		{"crews.example", "crews.example:"},
		{"crews.example", "crews.example."},
		{"crews.example", ""},
		{"", ":80"},
		{"[2001:db8::1]", "[2001:db8::2]"},
		{"[2001:db8::1]", "[2001:DB8::1]:8080"},
		{"2001:db8::1", "[2001:db8::1]"},
	} {
		table := sampleTable()
		table.Routes = table.Routes[:2]
		table.Routes[0].Host, table.Routes[0].Prefix = hosts[0], "/orders/"
		table.Routes[1].Host = hosts[1]
		fmt.Fprintf(&got, "hosts %q and %q: %v\n", hosts[0], hosts[1], table.Validate())
		v := NewView()
		v.Install(table)
		matches := true
		for i, host := range hosts {
			r, _ := v.Match(host, "/orders/5")
			fmt.Fprintf(&got, "    request for %q: %s\n", host, routeName(r))
			matches = matches && r == &table.Routes[i]
		}
		if accepted := table.Validate() == nil; accepted != matches {
			t.Errorf("hosts %q and %q: got accepted %v, each matches its route %v, want the same", hosts[0], hosts[1], accepted, matches)
		}
	}
	golden.Check(t, "hosts.golden", got.String())
}

// TestMatchOtherFormsOfHost guards against a route that is accepted and gets no requests,
// as its host is written in another form than in the requests for it.
func TestMatchOtherFormsOfHost(t *testing.T) {
	var got strings.Builder
	for _, c := range []struct {
		host     string
		requests []string
	}{
		{"Crews.Example", []string{"crews.example", "CREWS.EXAMPLE:8080", "crews.example.", "crews.examples"}},
		{"crews.example:8080", []string{"crews.example", "crews.example:8080", "crews.example:80"}},
		{"[2001:db8::1]", []string{"[2001:db8::1]", "[2001:DB8::1]:8080", "[2001:db8::2]:8080"}},
		{"10.0.0.1", []string{"10.0.0.1", "10.0.0.1:8080"}},
	} {
		table := sampleTable()
		table.Routes = table.Routes[1:2]
		table.Routes[0].Host = c.host
		v := NewView()
		v.Install(table)
		for _, host := range c.requests {
			r, _ := v.Match(host, "/orders/5")
			fmt.Fprintf(&got, "route for %q, request for %q: %s\n", c.host, host, routeName(r))
		}
	}
	golden.Check(t, "forms.golden", got.String())
}

func routeName(r *Route) string {
	if r == nil {
		return "none"
	}
	return r.Name
}

// TestView matches requests to routes, and checks that a table isn't replaced by
// one of the same or a lower version.
func TestView(t *testing.T) {
	var got strings.Builder
	v := NewView()
	v.Install(sampleTable())
	for _, url := range []string{
		"crews.example /", "crews.example /a/b", "crews.example /orders/5", "crews.example /orders", "CREWS.example:8080 /orders/late/5/6",
		"other.example /orders/5", "crews.example ", "crews.example //",
	} {
		host, path, _ := strings.Cut(url, " ")
		r, _ := v.Match(host, path)
		fmt.Fprintf(&got, "%s: %s\n", url, routeName(r))
	}
	for _, version := range []uint64{6, 7, 9} {
		table := sampleTable()
		table.Version = version
		accepted, _ := v.Install(table)
		current, _ := v.Version()
		fmt.Fprintf(&got, "version %d received: accepted %v, %d in force\n", version, accepted, current)
	}
	golden.Check(t, "view.golden", got.String())
}

// TestInstallShadowedRoutes guards against routes that are never matched without a word:
// Install counts those that a later one has replaced.
func TestInstallShadowedRoutes(t *testing.T) {
	for _, c := range []struct {
		name string
		host string
		want int
	}{
		{"other host", "seeds.example", 0},
		{"same host", "crews.example", 1},
		{"same host in another case", "Crews.example", 1},
	} {
		table := sampleTable()
		table.Routes = append(table.Routes, Route{Name: "last", Host: c.host, Prefix: "/orders/"})
		if _, got := NewView().Install(table); got != c.want {
			t.Errorf("%s: got %d shadowed routes, want %d", c.name, got, c.want)
		}
	}
}

// TestTeam checks which team holds a key, while a key moves from one team to another
// and another is withdrawn.
func TestTeam(t *testing.T) {
	var got strings.Builder
	v := NewView()
	hash := contract.HashKey
	for version, teams := range [][]Team{
		{{Name: "a", Priority: 2, KeyHashes: []string{hash("k1"), hash("k2")}}, {Name: "b", Priority: RoutePriority, KeyHashes: []string{hash("k3")}}},
		{{Name: "a", Priority: 2}, {Name: "b", Priority: RoutePriority, KeyHashes: []string{hash("k3"), hash("k1")}}},
		{},
	} {
		table := sampleTable()
		table.Version, table.KeysRequired, table.Teams = uint64(version+1), true, teams
		v.Install(table)
		for _, key := range []string{"k1", "k2", "k3", "", "K1", hash("k1")} {
			team, required := v.Team(key)
			name := "none"
			if team != nil {
				name = team.Name
			}
			fmt.Fprintf(&got, "version %d, key %.8q: team %s, priority %d, required %v\n", version+1, key, name, (&Route{Priority: 5}).Rank(team), required)
		}
	}
	golden.Check(t, "team.golden", got.String())
}

// TestPickService checks that requests are distributed over a route's services by
// weight, and that a service of weight 0 receives none.
func TestPickService(t *testing.T) {
	r := Route{Targets: []Target{{Service: "old", Weight: 90}, {Service: "none", Weight: 0}, {Service: "new", Weight: 10}}}
	counts := map[string]int{}
	const draws = 1000
	for i := range draws {
		counts[r.PickService(float64(i)/draws)]++
	}
	if counts["old"] != 900 || counts["new"] != 100 {
		t.Errorf("got %v, want 900 to old and 100 to new", counts)
	}
}
