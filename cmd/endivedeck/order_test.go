package main

import (
	"net/http"
	"testing"
	"time"

	"endivedeck.example/fault"
	"endivedeck.example/golden"
	"endivedeck.example/interval"
	"endivedeck.example/settings"
)

// TestOrderCutHalfway kills the sidecar of a service between an order's
// running and its recording. Without the service's own memory the order stays
// unknown and isn't run again; with it, asking again settles it. The last part
// is the twin of both: once the record's time is over, the same key runs twice.
func TestOrderCutHalfway(t *testing.T) {
	seen := &session{}
	for _, dedupe := range []bool{false, true} {
		s := &site{t: t, step: "5ms", ledger: []string{"-delay", "1500ms"}, dedupe: dedupe}
		s.open(0, 1)
		seen.site = s
		s.operate(http.MethodPut, "/v1/contracts/crews?replaces=0", crews())
		s.awaitReading()
		first := &cutOrder{site: s, ended: make(chan error, 1)}
		go first.run()
		s.await("the service's book", func() bool { return s.recorded(1)["half"] == 1 })
		s.kill(serviceName + "-1")
		err := <-first.ended
		seen.note("own memory %v: cut halfway: ran %s", dedupe, fault.From(err).Ran)
		s.again(serviceName + "-1")
		s.awaitBackends(1)
		s.awaitReading()
		_, err = s.order(0, "half", "cuttings")
		outcome := "done"
		if err != nil {
			outcome = string(fault.Of(err)) + ", ran " + string(fault.From(err).Ran)
		}
		seen.note("own memory %v: asked again: %s; it ran %d times", dedupe, outcome, s.recorded(1)["half"])
	}

	s := newSite(t, 0, 1)
	short := crews()
	short.OrderRetention = settings.Duration(time.Millisecond)
	s.operate(http.MethodPut, "/v1/contracts/crews?replaces=0", short)
	s.awaitReading()
	for range 2 {
		if _, err := s.order(0, "forgotten", "cuttings"); err != nil {
			t.Fatal(err)
		}
		interval.Sleep(s.ctx, 10*time.Millisecond)
	}
	seen.note("twin: a record kept for 1ms: the same key ran %d times", s.recorded(1)["forgotten"])
	golden.Check(t, "halfway.golden", seen.text.String())
}

// cutOrder is an order that is cut off halfway.
type cutOrder struct {
	site  *site
	ended chan error
}

func (c *cutOrder) run() {
	_, err := c.site.order(0, "half", "cuttings")
	c.ended <- err
}

func (s *site) awaitReading() {
	s.t.Helper()
	for i := range s.entries {
		s.await("grants", func() bool { return s.read(i) == nil })
	}
}
