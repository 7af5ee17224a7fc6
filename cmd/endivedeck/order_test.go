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

// TestOrderInterrupted kills the sidecar of a service after an order ran and
// before its result is recorded. If the service doesn't detect a repeated key, the
// outcome stays unknown and the order must not run again; if it does, sending the
// order again must return its result. The last part shows that the record is
// what prevents a second run: after it expired, the same key runs twice.
func TestOrderInterrupted(t *testing.T) {
	got := &transcript{}
	for _, dedupe := range []bool{false, true} {
		s := &system{t: t, stepTime: "5ms", orderServiceFlags: []string{"-delay", "1500ms"}, dedupe: dedupe}
		s.startAll(0, 1)
		got.system = s
		s.operate(http.MethodPut, "/v1/contracts/crews?replaces=0", crewsContract())
		s.awaitServiceGrants()
		first := &interruptedOrder{system: s, done: make(chan error, 1)}
		go first.run()
		s.await("the order at the service", func() bool { return s.recordedOrders(1)["half"] == 1 })
		s.kill(serviceName + "-1")
		err := <-first.done
		got.logf("dedupe %v: interrupted: ran %s", dedupe, fault.FromError(err).Ran)
		s.restart(serviceName + "-1")
		s.awaitBackends(1)
		s.awaitServiceGrants()
		_, err = s.sendOrder(0, "half", "cuttings")
		outcome := "done"
		if err != nil {
			outcome = string(fault.KindOf(err)) + ", ran " + string(fault.FromError(err).Ran)
		}
		got.logf("dedupe %v: sent again: %s; it ran %d times", dedupe, outcome, s.recordedOrders(1)["half"])
	}

	s := newSystem(t, 0, 1)
	short := crewsContract()
	short.OrderRetention = settings.Duration(time.Millisecond)
	s.operate(http.MethodPut, "/v1/contracts/crews?replaces=0", short)
	s.awaitServiceGrants()
	for range 2 {
		if _, err := s.sendOrder(0, "forgotten", "cuttings"); err != nil {
			t.Fatal(err)
		}
		interval.Sleep(s.ctx, 10*time.Millisecond)
	}
	got.logf("record kept for 1ms: the same key ran %d times", s.recordedOrders(1)["forgotten"])
	golden.Check(t, "interrupted.golden", got.text.String())
}

// interruptedOrder is an order whose sidecar is killed while it runs.
type interruptedOrder struct {
	system *system
	done   chan error
}

func (o *interruptedOrder) run() {
	_, err := o.system.sendOrder(0, "half", "cuttings")
	o.done <- err
}

func (s *system) awaitServiceGrants() {
	s.t.Helper()
	for i := range s.entryAddresses {
		s.await("grants", func() bool { return s.readStock(i) == nil })
	}
}
