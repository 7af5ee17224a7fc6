package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"endivedeck.example/change"
	"endivedeck.example/deployment"
	"endivedeck.example/fault"
	"endivedeck.example/golden"
	"endivedeck.example/interval"
	"endivedeck.example/standin"
)

const clockFormat = "15:04:05.000"

type (
	// client sends chats or orders one after another until it is stopped, and
	// counts their outcomes. Like the platform's load balancer, it uses only
	// healthy entries.
	client struct {
		system      *system
		name        string
		sendsOrders bool
		stop        chan struct{}
		done        *sync.WaitGroup

		complete, wrong, truncated, refused int               // chats
		finished, unknown                   int               // orders
		outcomes                            map[string]string // by order ID: "done", or whether a failed order ran
		failures                            []string
	}

	// traffic is the load of several concurrent clients.
	traffic struct {
		clients []*client
		done    sync.WaitGroup
	}
)

func (s *system) startTraffic(chats, orders int) *traffic {
	t := &traffic{}
	for i := range chats + orders {
		c := &client{
			system:      s,
			name:        fmt.Sprintf("crew-%d", i),
			sendsOrders: i >= chats,
			stop:        make(chan struct{}),
			done:        &t.done,
			outcomes:    map[string]string{},
		}
		t.clients = append(t.clients, c)
		t.done.Add(1)
		go c.run()
	}
	return t
}

func (t *traffic) stop() {
	for _, c := range t.clients {
		close(c.stop)
	}
	t.done.Wait()
}

func (c *client) run() {
	defer c.done.Done()
	for i := 0; ; i++ {
		select {
		case <-c.stop:
			return
		default:
		}
		if c.sendsOrders {
			c.sendOrder(i)
		} else {
			c.sendChat(i)
		}
	}
}

// healthyEntry returns the index of a healthy entry, the first at or after i modulo
// the number of entries. If there is none, it waits briefly and returns i modulo
// that number.
func (c *client) healthyEntry(i int) int {
	for k := range c.system.entryAddresses {
		e := (i + k) % len(c.system.entryAddresses)
		if deployment.Healthy(c.system.ctx, c.system.entryAddresses[e]) {
			return e
		}
	}
	interval.Sleep(c.system.ctx, 50*time.Millisecond)
	return i % len(c.system.entryAddresses)
}

func (c *client) sendChat(i int) {
	text := fmt.Sprintf("%s asks for the %dth time", c.name, i)
	answer, err := c.system.sendChat(c.healthyEntry(i), text, true)
	want := standin.Answer(modelName, "<user> "+text+" ", 256)
	kind := fault.KindOf(err)
	switch {
	case err == nil && answer == want:
		c.complete++
	case err == nil || !strings.HasPrefix(want, answer):
		c.wrong++
		c.failures = append(c.failures, "wrong: "+answer)
	case fault.FromError(err).Ran == fault.NotRun || strings.Contains(err.Error(), "connection refused"):
		c.refused++
		c.failures = append(c.failures, fmt.Sprintf("%s refused: %s: %v", time.Now().UTC().Format(clockFormat), kind, err))
	default:
		c.truncated++
		c.failures = append(c.failures, fmt.Sprintf("%s truncated: %s: %v", time.Now().UTC().Format(clockFormat), kind, err))
	}
}

// sendOrder sends an order until it gets a response, up to 40 times.
func (c *client) sendOrder(i int) {
	id := fmt.Sprintf("%s-order-%d", c.name, i)
	var errors []string
	for attempt := range 40 {
		_, err := c.system.sendOrder(c.healthyEntry(i+attempt), id, "cuttings "+id)
		if err == nil {
			c.finished++
			c.outcomes[id] = "done"
			return
		}
		c.outcomes[id] = string(fault.FromError(err).Ran)
		errors = append(errors, time.Now().UTC().Format(clockFormat)+" "+err.Error())
		interval.Sleep(c.system.ctx, 50*time.Millisecond)
		if fault.FromError(err).Ran == fault.MaybeRun && fault.KindOf(err) == fault.Pending {
			break // it may have run, and a retry would give the same error
		}
	}
	c.unknown++
	c.failures = append(c.failures, fmt.Sprintf("order %s, %s:\n\t%s", id, c.outcomes[id], strings.Join(errors, "\n\t")))
}

// totals returns the sums of the clients' counts.
func (t *traffic) totals() (complete, wrong, truncated, refused, done, unknown int) {
	for _, c := range t.clients {
		complete += c.complete
		wrong += c.wrong
		truncated += c.truncated
		refused += c.refused
		done += c.finished
		unknown += c.unknown
	}
	return complete, wrong, truncated, refused, done, unknown
}

func (t *traffic) failures() string {
	var all []string
	for _, c := range t.clients {
		all = append(all, c.failures...)
	}
	return strings.Join(all[:min(len(all), 10)], "\n")
}

// recordedOrders returns how many times each order ran, by its key, as recorded by
// the order services.
func (s *system) recordedOrders(orderServices int) map[string]int {
	s.t.Helper()
	times := map[string]int{}
	for i := range orderServices {
		address := s.processes[fmt.Sprintf("%s-%d-ledger", serviceName, i+1)].args[2]
		var list []standin.RecordedOrder
		if err := getJSON(s.ctx, "http://"+address+"/orders", &list); err != nil {
			s.t.Fatal(err)
		}
		for _, o := range list {
			times[o.Key]++
		}
	}
	return times
}

// checkOrders checks that each order ran at most once, exactly once if a client
// got a response, and not at all if it was refused as not run.
func (s *system) checkOrders(t *traffic, orderServices int) {
	s.t.Helper()
	times := s.recordedOrders(orderServices)
	for _, c := range t.clients {
		for id, outcome := range c.outcomes {
			got := times[id]
			if got > 1 || outcome == "done" && got != 1 || outcome == "no" && got != 0 {
				s.t.Errorf("order %s ended with outcome %s and ran %d times", id, outcome, got)
			}
		}
	}
}

// TestRollingRestart restarts the processes of the system one by one while chats
// stream and orders run. No answer may be truncated, and no request refused or
// run twice.
func TestRollingRestart(t *testing.T) {
	s := newSystem(t, 3, 2)
	s.operate(http.MethodPut, "/v1/contracts/crews?replaces=0", crewsContract())
	s.awaitGrants(true)
	traffic := s.startTraffic(6, 3)
	for _, name := range []string{
		"control-1", "control-2", "control-3", "entry-1", "entry-2",
		"crew-assist-1", "crew-assist-2", "crew-assist-3", "plant-ledger-1", "plant-ledger-2",
	} {
		s.stop(name)
		s.restart(name)
		s.awaitBackends(5)
		s.awaitGrants(true)
	}
	traffic.stop()
	complete, wrong, truncated, refused, done, unknown := traffic.totals()
	t.Logf("answers: %d complete, %d wrong, %d truncated, %d refused; orders: %d done, %d unknown", complete, wrong, truncated, refused, done, unknown)
	if wrong+truncated+refused+unknown > 0 || complete == 0 || done == 0 {
		t.Errorf("got %d wrong, %d truncated, %d refused, %d unknown, want none\n%s", wrong, truncated, refused, unknown, traffic.failures())
	}
	s.checkOrders(traffic, 2)
}

// TestPlannedChanges drains, replaces, withdraws and switches the role of engines
// while chats stream. No answer may be truncated, and no chat refused.
func TestPlannedChanges(t *testing.T) {
	s := newSystem(t, 3, 1)
	s.operate(http.MethodPut, "/v1/contracts/crews?replaces=0", crewsContract())
	s.awaitGrants(true)
	traffic := s.startTraffic(8, 0)
	for i, a := range []change.Announcement{
		{Kind: change.Drain, BackendServer: "crew-assist-1"},
		{Kind: change.Resume, BackendServer: "crew-assist-1"},
		{Kind: change.Replace, BackendServer: "crew-assist-2", Model: modelName},
		{Kind: change.SwitchRole, BackendServer: "crew-assist-3", Role: change.RoleBoth},
		{Kind: change.Withdraw, BackendServer: "crew-assist-1"},
	} {
		response := s.operate(http.MethodPost, "/v1/changes", a)
		if response.Error != nil {
			t.Fatalf("change %d: %v", i, response.Error)
		}
		s.await("change", func() bool {
			for _, c := range s.operate(http.MethodGet, "/v1/changes", nil).Changes {
				if c.FencingToken == response.Change.FencingToken {
					return c.State == change.Done
				}
			}
			return false
		})
	}
	traffic.stop()
	complete, wrong, truncated, refused, _, _ := traffic.totals()
	t.Logf("answers: %d complete, %d wrong, %d truncated, %d refused", complete, wrong, truncated, refused)
	if wrong+truncated+refused > 0 || complete == 0 {
		t.Errorf("got %d wrong, %d truncated, %d refused, want none\n%s", wrong, truncated, refused, traffic.failures())
	}
}

// TestDroppedFlows makes proxies silently discard the packets of existing flows
// to sidecars and engines, as a NAT that has lost its state does, while chats
// stream and orders run. No answer may be truncated, and each order must run once.
func TestDroppedFlows(t *testing.T) {
	s := &system{t: t, stepTime: "100ms", proxied: true}
	s.startAll(2, 1)
	s.operate(http.MethodPut, "/v1/contracts/crews?replaces=0", crewsContract())
	s.awaitGrants(true)
	traffic := s.startTraffic(6, 3)
	dropped := 0
	for range 2 {
		interval.Sleep(s.ctx, 700*time.Millisecond)
		for _, p := range s.udpProxies {
			dropped = p.dropFlows()
		}
		interval.Sleep(s.ctx, 4*time.Second)
		for _, p := range s.tcpProxies {
			p.dropFlows()
		}
		interval.Sleep(s.ctx, 4*time.Second)
	}
	traffic.stop()
	complete, wrong, truncated, refused, done, unknown := traffic.totals()
	t.Logf("answers: %d complete, %d wrong, %d truncated, %d refused; orders: %d done, %d unknown; %d flows dropped by the last UDP proxy", complete, wrong, truncated, refused, done, unknown, dropped)
	if wrong+truncated+unknown > 0 || complete == 0 || done == 0 {
		t.Errorf("got %d wrong, %d truncated, %d unknown, want none\n%s", wrong, truncated, unknown, traffic.failures())
	}
	s.checkOrders(traffic, 1)
}

// TestKills kills an engine, sidecars, the control leader and an entry while chats
// stream and orders run. Streams of killed engines and sidecars must be continued
// on another engine; only answers through the killed entry may be truncated.
func TestKills(t *testing.T) {
	s := newSystem(t, 3, 2)
	s.operate(http.MethodPut, "/v1/contracts/crews?replaces=0", crewsContract())
	s.awaitGrants(true)
	traffic := s.startTraffic(6, 3)
	for _, name := range []string{"crew-assist-1-engine", "crew-assist-2", "plant-ledger-1", s.leader()} {
		interval.Sleep(s.ctx, 500*time.Millisecond)
		s.kill(name)
		interval.Sleep(s.ctx, 500*time.Millisecond)
		s.restart(name)
		s.awaitBackends(5)
		s.awaitGrants(true)
	}
	traffic.stop()
	complete, wrong, truncated, refused, done, unknown := traffic.totals()
	t.Logf("answers: %d complete, %d wrong, %d truncated, %d refused; orders: %d done, %d unknown", complete, wrong, truncated, refused, done, unknown)
	if wrong+truncated > 0 || complete == 0 || done == 0 {
		t.Errorf("got %d wrong, %d truncated, want none\n%s", wrong, truncated, traffic.failures())
	}
	s.checkOrders(traffic, 2)

	last := s.startTraffic(0, 6)
	interval.Sleep(s.ctx, 500*time.Millisecond)
	s.kill("entry-1")
	interval.Sleep(s.ctx, 500*time.Millisecond)
	s.restart("entry-1")
	s.awaitBackends(5)
	last.stop()
	s.checkOrders(last, 2)
}

// TestPausedEntry pauses an entry with SIGSTOP for longer than its configuration
// lease, while the contract is retired. When resumed, the entry must not serve
// requests under the old contract.
func TestPausedEntry(t *testing.T) {
	s := newSystem(t, 1, 1)
	got := &transcript{system: s}
	s.operate(http.MethodPut, "/v1/contracts/crews?replaces=0", crewsContract())
	s.awaitGrants(false)
	s.signal("entry-1", syscall.SIGSTOP)
	response := s.operate(http.MethodDelete, "/v1/contracts/crews?replaces=1", nil)
	got.logf("contract retired while entry 1 is paused: %s", response.State)
	s.signal("entry-1", syscall.SIGCONT)
	served := 0
	for range 50 {
		if _, err := s.sendChat(0, "is the old contract in force", false); err == nil {
			served++
		}
	}
	got.logf("requests served under the old contract after it resumed: %d", served)
	golden.Check(t, "paused.golden", got.text.String())
}

// leader returns the instance name of the control leader.
func (s *system) leader() string {
	id := s.operate(http.MethodGet, "/v1/status", nil).Status.Quorum.Leader
	name, _, _ := strings.Cut(id, "#")
	return name
}

// TestKilledEntry checks that the clients detect truncated answers, without which
// TestRollingRestart would prove nothing: entries that are killed instead of
// stopped must truncate some.
func TestKilledEntry(t *testing.T) {
	s := &system{t: t, stepTime: "50ms"}
	s.startAll(2, 0)
	s.operate(http.MethodPut, "/v1/contracts/crews?replaces=0", crewsContract())
	s.awaitGrants(false)
	traffic := s.startTraffic(8, 0)
	interval.Sleep(s.ctx, 600*time.Millisecond)
	s.kill("entry-1")
	s.kill("entry-2")
	interval.Sleep(s.ctx, 300*time.Millisecond)
	traffic.stop()
	_, _, truncated, _, _, _ := traffic.totals()
	if truncated == 0 {
		t.Error("clients got no truncated answer from killed entries, want some")
	}
}
