package relay_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"endivedeck.example/contract"
	"endivedeck.example/golden"
	"endivedeck.example/relay"
	"endivedeck.example/routes"
	"endivedeck.example/settings"
)

// installTeams makes the routes require the keys of teams.
func (b *testbed) installTeams(version uint64, list []routes.Route, teams ...routes.Team) {
	b.t.Helper()
	b.mu.Lock()
	table := *b.update.Routes
	table.KeysRequired, table.Teams = true, teams
	b.update.Routes = &table
	b.mu.Unlock()
	b.installRoutes(version, list)
}

// TestTeamKeys sends requests with good and with odd keys, and compares the responses
// and what the backend server received with the golden file. The server must get the
// name of the team, whatever the caller says, and never a key.
func TestTeamKeys(t *testing.T) {
	var got strings.Builder
	list := oneRoute(routes.AtMostOnce, 1, false)
	public := list[0]
	public.Name, public.Prefix, public.Public = "open", "/open/", true
	vacant := public // its service has no server that a request could reach
	vacant.Name, vacant.Prefix, vacant.Targets = "vacant", "/vacant/", []routes.Target{{Service: "small", Weight: 1}}
	for _, c := range []struct{ name, path, header string }{
		{"key of a team", "/a/", "Api-Key: k1\r\n"},
		{"second key of a team", "/a/", "Api-Key: k2\r\n"},
		{"key of another team", "/a/", "api-key: k3\r\n"},
		{"padded key", "/a/", "Api-Key:  \t k1 \r\n"},
		{"no key", "/a/", ""},
		{"empty key", "/a/", "Api-Key: \r\n"},
		{"unknown key", "/a/", "Api-Key: k9\r\n"},
		{"hash of a key", "/a/", "Api-Key: " + contract.HashKey("k1") + "\r\n"},
		{"key twice", "/a/", "Api-Key: k1\r\nApi-Key: k1\r\n"},
		{"keys of two teams", "/a/", "Api-Key: k1\r\nApi-Key: k3\r\n"},
		{"keys in a list", "/a/", "Api-Key: k1, k3\r\n"},
		{"key that isn't ASCII", "/a/", "Api-Key: k1\xc3\xa9\r\n"},
		{"forged team", "/a/", "Api-Key: k1\r\nTenant: b\r\n"},
		{"forged teams", "/a/", "Tenant: b\r\nApi-Key: k1\r\ntenant: c\r\nTENANT:\r\n"},
		{"team named as a header of the connection", "/a/", "Connection: Tenant, Api-Key\r\nTenant: b\r\nApi-Key: k1\r\n"},
		{"team without a key", "/a/", "Tenant: a\r\n"},
		{"public route without a key", "/open/", "Tenant: a\r\n"},
		{"public route with a key", "/open/", "Api-Key: k3\r\n"},
		{"public route with an unknown key", "/open/", "Api-Key: k9\r\nTenant: a\r\n"},
	} {
		b := newTestbed(t, list, &backendServer{name: "a", script: []string{plainResponse(200, "good")}})
		b.installTeams(6, []routes.Route{list[0], public, vacant},
			routes.Team{Name: "a", KeyHashes: []string{contract.HashKey("k1"), contract.HashKey("k2")}},
			routes.Team{Name: "b", KeyHashes: []string{contract.HashKey("k3")}})
		b.waitFor("the routes are in force", func() bool { return strings.HasPrefix(b.send("GET", "/vacant/", "", ""), "503") })
		response := b.send("POST", c.path, c.header, "x")
		fmt.Fprintf(&got, "%s: %s\n%s", c.name, response, b.requestLog())
	}
	golden.Check(t, "team.golden", got.String())
}

// TestWithdrawnKey withdraws a key and gives it to another team: on a kept connection
// too, the requests after that are refused, or have the name of the new team.
func TestWithdrawnKey(t *testing.T) {
	list := oneRoute(routes.Idempotent, 1, false)
	b := newTestbed(t, list, &backendServer{name: "a", script: []string{plainResponse(200, "good")}})
	hash := contract.HashKey("k1")
	b.installTeams(6, list, routes.Team{Name: "a", KeyHashes: []string{hash}})
	b.waitFor("the key is in force", func() bool { return strings.HasPrefix(b.send("GET", "/a/", "Api-Key: k1\r\n", ""), "200") })
	b.installTeams(7, list, routes.Team{Name: "a"}, routes.Team{Name: "b", KeyHashes: []string{hash}})
	b.waitFor("the key is the other team's", func() bool {
		b.send("GET", "/a/", "Api-Key: k1\r\n", "")
		return strings.HasSuffix(b.requestLog(), "Tenant=b]\n")
	})
	b.installTeams(8, list, routes.Team{Name: "a"}, routes.Team{Name: "b"})
	b.waitFor("the key is withdrawn", func() bool { return strings.HasPrefix(b.send("GET", "/a/", "Api-Key: k1\r\n", ""), "401") })
}

// TestStrictRevocation checks that a relay with a revocation limit takes keys only while a
// control instance says that its routes are current, and goes on with public routes.
func TestStrictRevocation(t *testing.T) {
	var got strings.Builder
	list := oneRoute(routes.Idempotent, 1, false)
	public := list[0]
	public.Name, public.Prefix, public.Public = "open", "/open/", true
	for _, c := range []struct {
		name  string
		limit time.Duration
		age   time.Duration // of the control instance's knowledge; negative if it has none
	}{
		{"no limit, never current", 0, -1},
		{"limit, never current", time.Minute, -1},
		{"limit, current", time.Hour, time.Second},
		{"limit, current too long ago", time.Minute, 2 * time.Minute},
	} {
		b := newTestbed(t, list, &backendServer{name: "a", script: []string{plainResponse(200, "good")}})
		b.installTeams(6, []routes.Route{list[0], public}, routes.Team{Name: "a", KeyHashes: []string{contract.HashKey("k1")}})
		b.update.Current, b.update.Age = c.age >= 0, max(c.age, 0)
		r := b.startRelayWith("strict", "near", func(s *relay.Settings) { s.RevocationLimit = settings.Duration(c.limit) })
		for _, request := range []struct{ path, header string }{{"/a/", "Api-Key: k1\r\n"}, {"/a/", "Api-Key: k9\r\n"}, {"/open/", ""}} {
			response := b.sendTo(r, "GET", request.path, request.header, "")
			fmt.Fprintf(&got, "%s: %s %s: %.3s\n", c.name, request.path, strings.TrimSpace(request.header), response)
		}
	}
	golden.Check(t, "strict.golden", got.String())
}

// TestReturnOfTeams refuses requests of teams that no server takes. Each caller is
// told another time, none more than a third of its time, and one without a team is told the
// usual time.
func TestReturnOfTeams(t *testing.T) {
	list := oneRoute(routes.Idempotent, 1, false)
	public := list[0]
	public.Name, public.Prefix, public.Public = "open", "/open/", true
	b := newTestbed(t, list, &backendServer{name: "a", script: []string{notExecuted}})
	b.installTeams(6, []routes.Route{list[0], public}, routes.Team{Name: "a", KeyHashes: []string{contract.HashKey("k1")}})
	b.waitFor("the routes are in force", func() bool {
		return strings.HasPrefix(b.send("GET", "/none/", "", ""), "404") && strings.HasPrefix(b.send("POST", "/a/", "Api-Key: none\r\n", ""), "401")
	})
	const timeout = 0.9 // seconds
	told := map[string]bool{}
	for range 8 {
		response := b.send("POST", "/a/", "Api-Key: k1\r\nDeadline-Ms: 900\r\n", "x")
		var after float64
		if _, err := fmt.Sscanf(response, "503 Retry-After=%g", &after); err != nil {
			t.Fatalf("got %s: %v", response, err)
		}
		if after <= 0 || after > timeout/3 {
			t.Errorf("got %v s, want more than 0 and at most a third of %v s", after, timeout)
		}
		told[response] = true
	}
	if len(told) < 8 {
		t.Errorf("got %d different times, want 8", len(told))
	}
	if got, want := b.send("POST", "/open/", "Deadline-Ms: 900\r\n", "x"), "503 Retry-After=0.6"; !strings.HasPrefix(got, want) {
		t.Errorf("without a team: got %s, want %s", got, want)
	}
}
