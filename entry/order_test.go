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

// TestLostOrderCall loses an order on its way to the sidecar, and another's answer
// on its way back, with the connection. Each is answered as done and ran once.
func TestLostOrderCall(t *testing.T) {
	var text strings.Builder
	record := func(format string, args ...any) { fmt.Fprintf(&text, format+"\n", args...) }
	withTestEnv(t, func(env *testEnv) {
		silence := func() { env.network.Forget("entry-1", serviceServer) }
		silence()
		record("the call lost: %s, ran %d times", env.sendOrder("key-1"), env.sidecar.executions["key-1"])
		env.sidecar.afterNextCall = silence
		record("the answer lost: %s, ran %d times", env.sendOrder("key-2"), env.sidecar.executions["key-2"])
	})
	withTestEnvServers(t, []string{serviceServer, secondServiceServer}, func(env *testEnv) {
		// The sidecars have been restarted as planned, and control knows.
		env.sidecar.restarted = true
		env.control.book.End(order.Ending{Sidecar: "1", At: time.Now()})
		doneCount, maxExecutions := 0, 0
		for i := range 10 {
			key := fmt.Sprintf("key-%d", i)
			env.network.Forget("entry-1", serviceServer)
			for range 2 {
				if env.sendOrder(key) == "done" {
					doneCount++
				}
			}
			maxExecutions = max(maxExecutions, env.sidecar.executions[key])
			interval.Wait(env.t.Context(), 3*time.Second)
		}
		record("calls lost, their sidecar restarted, each sent twice: %d of 20 done, each ran at most %d times", doneCount, maxExecutions)
	})
	withTestEnv(t, func(env *testEnv) {
		env.entry.desk.fencingDisabled = true
		env.network.Forget("entry-1", serviceServer)
		record("twin: the call lost: %s, ran %d times", env.sendOrder("key-1"), env.sidecar.executions["key-1"])
	})
	golden.Check(t, "lostcall.golden", text.String())
}

// TestAbandonedOrder has the answer to an order's begin lost, and control out
// of reach until the order's time is over: the caller is told that nothing
// ran, and once control is back the same key is free and runs once.
func TestAbandonedOrder(t *testing.T) {
	var text strings.Builder
	record := func(format string, args ...any) { fmt.Fprintf(&text, format+"\n", args...) }
	withTestEnv(t, func(env *testEnv) {
		env.control.setFaults(true, false)
		record("control out of reach, the begin's answer lost: %s", env.sendOrder("key-1"))
		env.control.setFaults(false, false)
		interval.Wait(env.t.Context(), 2*time.Second)
		record("control back, the same key: %s", env.sendOrder("key-1"))
		record("the same key again: %s", env.sendOrder("key-1"))
		record("it ran %d times", env.sidecar.executions["key-1"])

		env.sidecar.nextCallError = fault.New(fault.Unavailable, fault.No, "no connection to the service")
		record("the service out of reach: %s", env.sendOrder("key-2"))
		interval.Wait(env.t.Context(), 2*time.Second)
		record("later, the same key: %s", env.sendOrder("key-2"))
		record("it ran %d times", env.sidecar.executions["key-2"])
	})
	withTestEnv(t, func(env *testEnv) {
		env.entry.desk.resolver.disabled = true
		env.control.setFaults(true, false)
		record("twin: control out of reach, the begin's answer lost: %s", env.sendOrder("key-1"))
		env.control.setFaults(false, false)
		interval.Wait(env.t.Context(), 2*time.Second)
		record("twin: control back, the same key: %s", env.sendOrder("key-1"))
	})
	golden.Check(t, "abandoned.golden", text.String())
}
