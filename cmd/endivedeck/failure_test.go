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
	// crew asks and orders until told to stop, and counts how it went. It
	// uses whichever entry is healthy, as the platform's balancer does.
	crew struct {
		site   *site
		name   string
		orders bool
		stop   chan struct{}
		ended  *sync.WaitGroup

		whole, wrong, cut, refused int
		done, unknown              int
		ids                        map[string]string // orders -> outcome
		faults                     []string
	}

	// traffic is several crews at once.
	traffic struct {
		crews []*crew
		ended sync.WaitGroup
	}
)

func (s *site) traffic(chats, orders int) *traffic {
	t := &traffic{}
	for i := range chats + orders {
		c := &crew{
			site:   s,
			name:   fmt.Sprintf("crew-%d", i),
			orders: i >= chats,
			stop:   make(chan struct{}),
			ended:  &t.ended,
			ids:    map[string]string{},
		}
		t.crews = append(t.crews, c)
		t.ended.Add(1)
		go c.run()
	}
	return t
}

func (t *traffic) end() {
	for _, c := range t.crews {
		close(c.stop)
	}
	t.ended.Wait()
}

func (c *crew) run() {
	defer c.ended.Done()
	for i := 0; ; i++ {
		select {
		case <-c.stop:
			return
		default:
		}
		if c.orders {
			c.order(i)
		} else {
			c.ask(i)
		}
	}
}

// entry returns a healthy entry.
func (c *crew) entry(i int) int {
	for k := range c.site.entries {
		e := (i + k) % len(c.site.entries)
		if deployment.Healthy(c.site.ctx, c.site.entries[e]) {
			return e
		}
	}
	interval.Sleep(c.site.ctx, 50*time.Millisecond)
	return i % len(c.site.entries)
}

func (c *crew) ask(i int) {
	text := fmt.Sprintf("%s asks for the %dth time", c.name, i)
	answer, err := c.site.chat(c.entry(i), text, true)
	want := standin.Answer(modelName, "<user> "+text+" ", 256)
	kind := fault.Of(err)
	switch {
	case err == nil && answer == want:
		c.whole++
	case err == nil || !strings.HasPrefix(want, answer):
		c.wrong++
		c.faults = append(c.faults, "wrong: "+answer)
	case fault.From(err).Ran == fault.No || strings.Contains(err.Error(), "connection refused"):
		c.refused++
		c.faults = append(c.faults, fmt.Sprintf("%s refused: %s: %v", time.Now().UTC().Format(clockFormat), kind, err))
	default:
		c.cut++
		c.faults = append(c.faults, fmt.Sprintf("cut: %s: %v", kind, err))
	}
}

// order sends an order again until its answer is known.
func (c *crew) order(i int) {
	id := fmt.Sprintf("%s-order-%d", c.name, i)
	var answers []string
	for try := range 40 {
		_, err := c.site.order(c.entry(i+try), id, "cuttings "+id)
		if err == nil {
			c.done++
			c.ids[id] = "done"
			return
		}
		c.ids[id] = string(fault.From(err).Ran)
		answers = append(answers, time.Now().UTC().Format(clockFormat)+" "+err.Error())
		interval.Sleep(c.site.ctx, 50*time.Millisecond)
		if fault.From(err).Ran == fault.Unknown && fault.Of(err) == fault.Pending {
			break // it may have run; a later resend would say the same
		}
	}
	c.unknown++
	c.faults = append(c.faults, fmt.Sprintf("order %s, %s:\n\t%s", id, c.ids[id], strings.Join(answers, "\n\t")))
}

// score adds the crews' counts up.
func (t *traffic) score() (whole, wrong, cut, refused, done, unknown int) {
	for _, c := range t.crews {
		whole += c.whole
		wrong += c.wrong
		cut += c.cut
		refused += c.refused
		done += c.done
		unknown += c.unknown
	}
	return whole, wrong, cut, refused, done, unknown
}

func (t *traffic) faults() string {
	var all []string
	for _, c := range t.crews {
		all = append(all, c.faults...)
	}
	return strings.Join(all[:min(len(all), 10)], "\n")
}

// recorded returns how often each order stands in the ledgers.
func (s *site) recorded(ledgers int) map[string]int {
	s.t.Helper()
	times := map[string]int{}
	for i := range ledgers {
		address := s.processes[fmt.Sprintf("%s-%d-ledger", serviceName, i+1)].args[2]
		var list []standin.LedgerOrder
		if err := getJSON(s.ctx, "http://"+address+"/orders", &list); err != nil {
			s.t.Fatal(err)
		}
		for _, o := range list {
			times[o.Key]++
		}
	}
	return times
}

// checkOrders checks that every order ran at most once, and those that were
// answered as done exactly once.
func (s *site) checkOrders(t *traffic, ledgers int) {
	s.t.Helper()
	times := s.recorded(ledgers)
	for _, c := range t.crews {
		for id, outcome := range c.ids {
			got := times[id]
			if got > 1 || outcome == "done" && got != 1 || outcome == "no" && got != 0 {
				s.t.Errorf("order %s was answered %s and ran %d times", id, outcome, got)
			}
		}
	}
}

// TestRollingRestart restarts every process of the system one by one, under
// streams and orders: nothing is cut, doubled or refused.
func TestRollingRestart(t *testing.T) {
	s := newSite(t, 3, 2)
	s.operate(http.MethodPut, "/v1/contracts/crews?replaces=0", crews())
	s.awaitServing(true)
	traffic := s.traffic(6, 3)
	for _, name := range []string{
		"control-1", "control-2", "control-3", "entry-1", "entry-2",
		"crew-assist-1", "crew-assist-2", "crew-assist-3", "plant-ledger-1", "plant-ledger-2",
	} {
		s.stop(name)
		s.again(name)
		s.awaitBackends(5)
		s.awaitServing(true)
	}
	traffic.end()
	whole, wrong, cut, refused, done, unknown := traffic.score()
	t.Logf("%d answers whole, %d wrong, %d cut, %d refused; %d orders done, %d unknown", whole, wrong, cut, refused, done, unknown)
	if wrong+cut+refused+unknown > 0 || whole == 0 || done == 0 {
		t.Errorf("got %d wrong, %d cut, %d refused, %d unknown, want none\n%s", wrong, cut, refused, unknown, traffic.faults())
	}
	s.checkOrders(traffic, 2)
}

// TestPlannedChanges drains, replaces and changes the role of engines under
// streams: nothing is cut.
func TestPlannedChanges(t *testing.T) {
	s := newSite(t, 3, 1)
	s.operate(http.MethodPut, "/v1/contracts/crews?replaces=0", crews())
	s.awaitServing(true)
	traffic := s.traffic(8, 0)
	for i, a := range []change.Announcement{
		{Kind: change.Drain, BackendServer: "crew-assist-1"},
		{Kind: change.Resume, BackendServer: "crew-assist-1"},
		{Kind: change.Replace, BackendServer: "crew-assist-2", Model: modelName},
		{Kind: change.SwitchRole, BackendServer: "crew-assist-3", Role: change.RoleBoth},
		{Kind: change.Withdraw, BackendServer: "crew-assist-1"},
	} {
		operated := s.operate(http.MethodPost, "/v1/changes", a)
		if operated.Error != nil {
			t.Fatalf("change %d: %v", i, operated.Error)
		}
		s.await("change", func() bool {
			for _, c := range s.operate(http.MethodGet, "/v1/changes", nil).Changes {
				if c.FencingToken == operated.Change.FencingToken {
					return c.State == change.Done
				}
			}
			return false
		})
	}
	traffic.end()
	whole, wrong, cut, refused, _, _ := traffic.score()
	t.Logf("%d answers whole, %d wrong, %d cut, %d refused", whole, wrong, cut, refused)
	if wrong+cut+refused > 0 || whole == 0 {
		t.Errorf("got %d wrong, %d cut, %d refused, want none\n%s", wrong, cut, refused, traffic.faults())
	}
}

// TestSilentConnections has relays forget the connections to sidecars and
// engines while answers stream and orders run: every answer still comes whole,
// and every order runs once.
func TestSilentConnections(t *testing.T) {
	s := &site{t: t, step: "100ms", relayed: true}
	s.open(2, 1)
	s.operate(http.MethodPut, "/v1/contracts/crews?replaces=0", crews())
	s.awaitServing(true)
	traffic := s.traffic(6, 3)
	forgotten := 0
	for range 2 {
		interval.Sleep(s.ctx, 700*time.Millisecond)
		for _, r := range s.udp {
			forgotten = r.forget()
		}
		interval.Sleep(s.ctx, 4*time.Second)
		for _, r := range s.tcp {
			r.forget()
		}
		interval.Sleep(s.ctx, 4*time.Second)
	}
	traffic.end()
	whole, wrong, cut, refused, done, unknown := traffic.score()
	t.Logf("%d answers whole, %d wrong, %d cut, %d refused; %d orders done, %d unknown; %d flows to the last sidecar forgotten", whole, wrong, cut, refused, done, unknown, forgotten)
	if wrong+cut+unknown > 0 || whole == 0 || done == 0 {
		t.Errorf("got %d wrong, %d cut, %d unknown, want none\n%s", wrong, cut, unknown, traffic.faults())
	}
	s.checkOrders(traffic, 1)
}

// TestKills kills an engine, a sidecar, an entry and the control leader while
// answers stream and orders run. Answers of killed engines and sidecars go on
// elsewhere; only what the killed entry itself carried may be cut.
func TestKills(t *testing.T) {
	s := newSite(t, 3, 2)
	s.operate(http.MethodPut, "/v1/contracts/crews?replaces=0", crews())
	s.awaitServing(true)
	traffic := s.traffic(6, 3)
	for _, name := range []string{"crew-assist-1-engine", "crew-assist-2", "plant-ledger-1", s.leader()} {
		interval.Sleep(s.ctx, 500*time.Millisecond)
		s.kill(name)
		interval.Sleep(s.ctx, 500*time.Millisecond)
		s.again(name)
		s.awaitBackends(5)
		s.awaitServing(true)
	}
	traffic.end()
	whole, wrong, cut, refused, done, unknown := traffic.score()
	t.Logf("%d answers whole, %d wrong, %d cut, %d refused; %d orders done, %d unknown", whole, wrong, cut, refused, done, unknown)
	if wrong+cut > 0 || whole == 0 || done == 0 {
		t.Errorf("got %d wrong, %d cut, want none\n%s", wrong, cut, traffic.faults())
	}
	s.checkOrders(traffic, 2)

	last := s.traffic(0, 6)
	interval.Sleep(s.ctx, 500*time.Millisecond)
	s.kill("entry-1")
	interval.Sleep(s.ctx, 500*time.Millisecond)
	s.again("entry-1")
	s.awaitBackends(5)
	last.end()
	s.checkOrders(last, 2)
}

// TestPausedEntry pauses an entry for longer than its lease while the contract
// is retired: once it wakes it serves nobody by the old one.
func TestPausedEntry(t *testing.T) {
	site := newSite(t, 1, 1)
	s := &session{site: site}
	site.operate(http.MethodPut, "/v1/contracts/crews?replaces=0", crews())
	site.awaitServing(false)
	site.signal("entry-1", syscall.SIGSTOP)
	operated := site.operate(http.MethodDelete, "/v1/contracts/crews?replaces=1", nil)
	s.note("contract retired while entry 1 is paused: %s", operated.State)
	site.signal("entry-1", syscall.SIGCONT)
	served := 0
	for range 50 {
		if _, err := site.chat(0, "is the old contract in force", false); err == nil {
			served++
		}
	}
	s.note("requests served by the old contract after it woke: %d", served)
	golden.Check(t, "paused.golden", s.text.String())
}

// leader returns the control instance that leads.
func (s *site) leader() string {
	id := s.operate(http.MethodGet, "/v1/status", nil).Status.Quorum.Leader
	name, _, _ := strings.Cut(id, "#")
	return name
}

// TestKilledEntry is the twin of the planned stop: an entry that is killed
// where TestRollingRestart stops it cuts answers, and the crews see that.
func TestKilledEntry(t *testing.T) {
	s := &site{t: t, step: "50ms"}
	s.open(2, 0)
	s.operate(http.MethodPut, "/v1/contracts/crews?replaces=0", crews())
	s.awaitServing(false)
	traffic := s.traffic(8, 0)
	interval.Sleep(s.ctx, 600*time.Millisecond)
	s.kill("entry-1")
	s.kill("entry-2")
	interval.Sleep(s.ctx, 300*time.Millisecond)
	traffic.end()
	_, _, cut, _, _, _ := traffic.score()
	if cut == 0 {
		t.Error("got no answer cut by killed entries, want the crews to see some")
	}
}
