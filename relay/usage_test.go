package relay_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"endivedeck.example/contract"
	"endivedeck.example/golden"
	"endivedeck.example/internal/duties/replicas"
	"endivedeck.example/message"
	"endivedeck.example/relay"
	"endivedeck.example/routes"
	"endivedeck.example/settings"
	"endivedeck.example/wire"
)

// pendingRequest is a request whose response the test awaits later.
type pendingRequest struct {
	testbed  *testbed
	relay    *relay.Relay
	response chan string
}

func (p *pendingRequest) run() { p.response <- p.testbed.sendTo(p.relay, "GET", "/a/", "", "") }

// receiveUsage serves message.MethodUsage: it records the totals of teams.
func (b *testbed) receiveUsage(call *wire.ServerCall) {
	defer call.End()
	for {
		var report message.UsageReport
		if err := call.Receive(&report); err != nil {
			return
		}
		b.mu.Lock()
		b.demand = report.Demand
		for _, w := range report.Windows {
			for team, n := range w.Counts {
				b.usage[team] = n // the tests use one window
			}
		}
		b.mu.Unlock()
	}
}

func (b *testbed) usageOf(team string) uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.usage[team]
}

// countUsage makes a relay count usage in one window for as long as a test takes.
func countUsage(s *relay.Settings) {
	s.Usage = relay.UsageSettings{Window: settings.Duration(24 * time.Hour), Late: settings.Duration(10 * time.Second)}
}

// TestUsage sends requests of a team and compares how many of them are reported as begun
// with the golden file. A request of another team follows each, so that the test knows
// when all counts have been reported.
func TestUsage(t *testing.T) {
	whole := streamResponse(event(1), event(2))
	refused := plainResponse(503, "full", "Not-Executed: 1")
	var got strings.Builder
	for _, c := range []struct {
		name     string
		kind     routes.Kind
		attempts int
		script   []string // of both servers; its last step is also for the other team's request
		header   string
		path     string
	}{
		{"a plain request", routes.Idempotent, 1, []string{plainResponse(200, "good")}, "Api-Key: k1\r\n", "/a/"},
		{"without a team", routes.Idempotent, 1, []string{plainResponse(200, "good")}, "", "/open/"},
		{"unknown key", routes.Idempotent, 1, []string{plainResponse(200, "good")}, "Api-Key: k9\r\n", "/a/"},
		{"refused by both servers", routes.Idempotent, 2, []string{refused, plainResponse(200, "good")}, "Api-Key: k1\r\n", "/a/"},
		{"failed, and not sent again", routes.AtMostOnce, 1, []string{plainResponse(500, "bad"), plainResponse(200, "good")}, "Api-Key: k1\r\n", "/a/"},
		{"failed at both servers", routes.Idempotent, 2, []string{plainResponse(500, "bad"), plainResponse(200, "good")}, "Api-Key: k1\r\n", "/a/"},
		{"without an answer", routes.AtMostOnce, 1, []string{"drop", plainResponse(200, "good")}, "Api-Key: k1\r\n", "/a/"},
		{"a stream", routes.Stream, 1, []string{whole}, "Api-Key: k1\r\n", "/a/"},
		{"a stream that is refused", routes.Stream, 1, []string{refused, refused, refused, whole}, "Api-Key: k1\r\n", "/a/"},
		{"a stream that fails before its first event", routes.Stream, 1, []string{plainResponse(500, "bad"), whole}, "Api-Key: k1\r\n", "/a/"},
		{"a stream that breaks after its first event", routes.Stream, 1, []string{streamResponse(event(1), "<cut>"), whole}, "Api-Key: k1\r\n", "/a/"},
	} {
		list := oneRoute(c.kind, c.attempts, false)
		public := list[0]
		public.Name, public.Prefix, public.Public = "open", "/open/", true
		b := newTestbed(t, list, &backendServer{name: "a", script: c.script}, &backendServer{name: "b", script: c.script})
		b.installTeams(6, []routes.Route{list[0], public},
			routes.Team{Name: "crews", KeyHashes: []string{contract.HashKey("k1")}},
			routes.Team{Name: "clinics", KeyHashes: []string{contract.HashKey("k2")}})
		r := b.startRelayWith("counting", "near", countUsage)
		response := b.sendTo(r, "GET", c.path, c.header, "")
		status, _, _ := strings.Cut(response, " ")
		b.waitFor("the other team's request is begun and reported", func() bool {
			return b.usageOf("clinics") > 0 || strings.HasPrefix(b.sendTo(r, "GET", "/a/", "Api-Key: k2\r\n", ""), "200") && b.waitsForUsage("clinics")
		})
		fmt.Fprintf(&got, "%s: answered %s, %d begun\n", c.name, status, b.usageOf("crews"))
	}
	golden.Check(t, "usage.golden", got.String())
}

// waitsForUsage reports whether usage of a team is reported within two seconds.
func (b *testbed) waitsForUsage(team string) bool {
	for range 400 {
		if b.usageOf(team) > 0 {
			return true
		}
		<-time.After(5 * time.Millisecond)
	}
	return false
}

// TestDemand checks the demand that a relay reports for a service whose number of servers is
// ordered, while a request is at one of its servers. There is none for other services.
func TestDemand(t *testing.T) {
	servers := []*backendServer{
		{name: "a", domain: "east", script: []string{"<await>" + plainResponse(200, "good")}, release: make(chan struct{})},
		{name: "b", domain: "east", service: "small", script: []string{plainResponse(200, "good")}},
	}
	b := newTestbedFor(t, routes.Service{Name: "assist", Scaling: &replicas.Bounds{Min: 1, Max: 3}}, oneRoute(routes.Idempotent, 1, false), servers...)
	r := b.startRelayWith("counting", "near", func(s *relay.Settings) { s.Usage.Demand = true })
	reported := func(want string) func() bool {
		return func() bool {
			b.mu.Lock()
			defer b.mu.Unlock()
			return fmt.Sprintf("%+v", b.demand) == want
		}
	}
	b.waitFor("no demand is reported", reported("[{Service:assist Domain:east Servers:1 Slots:8 Active:0}]"))
	request := &pendingRequest{testbed: b, relay: r, response: make(chan string, 1)}
	go request.run()
	b.waitFor("the demand is reported", reported("[{Service:assist Domain:east Servers:1 Slots:8 Active:1}]"))
	close(servers[0].release)
	if got := <-request.response; !strings.HasPrefix(got, "200") {
		t.Errorf("the request: got %s, want status 200", got)
	}
}

// TestUsageAtStop checks that a relay that stops reports what it has counted just before.
func TestUsageAtStop(t *testing.T) {
	list := oneRoute(routes.Idempotent, 1, false)
	b := newTestbed(t, list, &backendServer{name: "a", script: []string{plainResponse(200, "good")}})
	b.installTeams(6, list, routes.Team{Name: "crews", KeyHashes: []string{contract.HashKey("k1")}})
	r := b.newRelayWith("counting", "near", countUsage)
	if err := r.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	b.waitFor("the relay reports", func() bool {
		return strings.HasPrefix(b.sendTo(r, "GET", "/a/", "Api-Key: k1\r\n", ""), "200") && b.waitsForUsage("crews")
	})
	before := b.usageOf("crews")
	for range 7 {
		b.sendTo(r, "GET", "/a/", "Api-Key: k1\r\n", "")
	}
	if err := r.Stop(t.Context()); err != nil {
		t.Fatal(err)
	}
	if got, want := b.usageOf("crews"), before+7; got != want {
		t.Errorf("requests begun at a stop: got %d, want %d", got, want)
	}
}
