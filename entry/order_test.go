package entry

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"endivedeck.example/fault"
	"endivedeck.example/golden"
	"endivedeck.example/interval"
	"endivedeck.example/order"
)

// TestLostOrderCall checks that an order is executed exactly once and reported as
// done when the connection to the sidecar goes silent, either before the call
// arrives or before its response does, and that no order is executed twice if
// the sidecar has been restarted. The last case shows that fencing is needed:
// without it the order stays pending.
func TestLostOrderCall(t *testing.T) {
	var text strings.Builder
	record := func(format string, args ...any) { fmt.Fprintf(&text, format+"\n", args...) }
	withTestEnv(t, func(env *testEnv) {
		silence := func() { env.network.BlackholeConns("entry-1", serviceServer) }
		silence()
		record("call lost: %s, executed %d times", env.sendOrder("key-1"), env.sidecar.executions["key-1"])
		env.sidecar.afterNextCall = silence
		record("response lost: %s, executed %d times", env.sendOrder("key-2"), env.sidecar.executions["key-2"])
	})
	withTestEnvServers(t, []string{serviceServer, secondServiceServer}, func(env *testEnv) {
		// The sidecars were restarted after an orderly shutdown that control has recorded.
		env.sidecar.restarted = true
		env.control.store.RecordShutdown(order.SidecarShutdown{Sidecar: "1", At: time.Now()})
		doneCount, maxExecutions := 0, 0
		for i := range 10 {
			key := fmt.Sprintf("key-%d", i)
			env.network.BlackholeConns("entry-1", serviceServer)
			for range 2 {
				if env.sendOrder(key) == "done" {
					doneCount++
				}
			}
			maxExecutions = max(maxExecutions, env.sidecar.executions[key])
			interval.Sleep(env.t.Context(), 3*time.Second)
		}
		record("calls lost, sidecar restarted, each order sent twice: %d of 20 done, each executed at most %d times", doneCount, maxExecutions)
	})
	withTestEnv(t, func(env *testEnv) {
		env.entry.executor.fencingDisabled = true
		env.network.BlackholeConns("entry-1", serviceServer)
		record("without fencing: call lost: %s, executed %d times", env.sendOrder("key-1"), env.sidecar.executions["key-1"])
	})
	golden.Check(t, "lost_call.golden", text.String())
}

// TestAbandonedOrder checks that an idempotency key can be used again after an
// order failed without running: control begins the order, but its reply is lost
// and no leader is reachable until the order's deadline; or the service is
// unreachable. The last case shows that the resolver is needed: without it the
// key stays pending.
func TestAbandonedOrder(t *testing.T) {
	var text strings.Builder
	record := func(format string, args ...any) { fmt.Fprintf(&text, format+"\n", args...) }
	withTestEnv(t, func(env *testEnv) {
		env.control.setFaults(true, false)
		record("begin reply lost, no leader reachable: %s", env.sendOrder("key-1"))
		env.control.setFaults(false, false)
		interval.Sleep(env.t.Context(), 2*time.Second)
		record("leader reachable, same key: %s", env.sendOrder("key-1"))
		record("same key again: %s", env.sendOrder("key-1"))
		record("executed %d times", env.sidecar.executions["key-1"])

		env.sidecar.nextCallError = fault.New(fault.Unavailable, fault.NotRun, "no connection to the service")
		record("service unreachable: %s", env.sendOrder("key-2"))
		interval.Sleep(env.t.Context(), 2*time.Second)
		record("later, same key: %s", env.sendOrder("key-2"))
		record("executed %d times", env.sidecar.executions["key-2"])
	})
	withTestEnv(t, func(env *testEnv) {
		env.entry.executor.resolver.disabled = true
		env.control.setFaults(true, false)
		record("without the resolver: begin reply lost, no leader reachable: %s", env.sendOrder("key-1"))
		env.control.setFaults(false, false)
		interval.Sleep(env.t.Context(), 2*time.Second)
		record("without the resolver: leader reachable, same key: %s", env.sendOrder("key-1"))
	})
	golden.Check(t, "abandoned_order.golden", text.String())
}

// TestUnrecordedAttemptIsDropped checks that an idempotency key can be used again
// after a call was lost, the sidecar was restarted and its recorded shutdown proves
// that the order did not run, but no leader was reachable to record that.
func TestUnrecordedAttemptIsDropped(t *testing.T) {
	withTestEnvServers(t, []string{serviceServer, secondServiceServer}, func(env *testEnv) {
		env.sidecar.restarted = true
		env.control.store.RecordShutdown(order.SidecarShutdown{Sidecar: "1", At: time.Now()})
		env.control.setRejectFinishes(true)
		env.network.BlackholeConns("entry-1", serviceServer)
		env.network.BlackholeConns("entry-1", secondServiceServer)
		first := env.sendOrder("key-1")
		env.control.setRejectFinishes(false)
		interval.Sleep(env.t.Context(), 2*recordTimeout)
		if got, want := env.sendOrder("key-1"), "done"; got != want {
			t.Errorf("got %q for the order sent again after %q, want %q", got, first, want)
		}
		if got, want := env.sidecar.executions["key-1"], 1; got != want {
			t.Errorf("got %d executions, want %d", got, want)
		}
	})
}

// TestDrainForgetsRunningResolution checks that an entry that stops waits for an
// attempt that is being resolved, also if it must be tried again.
func TestDrainForgetsRunningResolution(t *testing.T) {
	withTestEnv(t, func(env *testEnv) {
		env.control.finishTime = 300 * time.Millisecond
		env.control.setRejectFinishes(true)
		key := order.Key{Customer: testCustomer, Service: testService, Key: "key-1"}
		env.entry.executor.resolver.add(order.Finish{Key: key, NotRun: true, Attempt: "1"}, nil)
		interval.Sleep(env.t.Context(), 100*time.Millisecond)
		time.AfterFunc(500*time.Millisecond, func() { env.control.setRejectFinishes(false) })
		env.entry.executor.resolver.drain(env.t.Context())
		if got := env.control.store.Records[key]; got == nil || got.State != order.Abandoned {
			t.Errorf("got record %+v after draining, want an abandoned attempt", got)
		}
	})
}
