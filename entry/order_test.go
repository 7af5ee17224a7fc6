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

// TestLostCall loses an order on its way to the sidecar, and another's answer
// on its way back, with the connection. Each is answered as done and ran once.
func TestLostCall(t *testing.T) {
	var text strings.Builder
	note := func(format string, args ...any) { fmt.Fprintf(&text, format+"\n", args...) }
	inBed(t, func(b *bed) {
		forget := func() { b.network.Forget("entry-1", ledgerName) }
		forget()
		note("the call lost: %s, ran %d times", b.order("key-1"), b.sidecar.ran["key-1"])
		b.sidecar.forget = forget
		note("the answer lost: %s, ran %d times", b.order("key-2"), b.sidecar.ran["key-2"])
	})
	inBedWith(t, []string{ledgerName, secondLedger}, func(b *bed) {
		// The sidecars have been restarted as planned, and control knows.
		b.sidecar.gone = true
		b.control.book.RecordShutdown(order.SidecarShutdown{Sidecar: "1", At: time.Now()})
		done, most := 0, 0
		for i := range 10 {
			key := fmt.Sprintf("key-%d", i)
			b.network.Forget("entry-1", ledgerName)
			for range 2 {
				if b.order(key) == "done" {
					done++
				}
			}
			most = max(most, b.sidecar.ran[key])
			interval.Sleep(b.t.Context(), 3*time.Second)
		}
		note("calls lost, their sidecar restarted, each sent twice: %d of 20 done, each ran at most %d times", done, most)
	})
	inBed(t, func(b *bed) {
		b.entry.desk.unfenced = true
		b.network.Forget("entry-1", ledgerName)
		note("twin: the call lost: %s, ran %d times", b.order("key-1"), b.sidecar.ran["key-1"])
	})
	golden.Check(t, "lostcall.golden", text.String())
}

// TestAbandonedOrder has the answer to an order's begin lost, and control out
// of reach until the order's time is over: the caller is told that nothing
// ran, and once control is back the same key is free and runs once.
func TestAbandonedOrder(t *testing.T) {
	var text strings.Builder
	note := func(format string, args ...any) { fmt.Fprintf(&text, format+"\n", args...) }
	inBed(t, func(b *bed) {
		b.control.set(true, false)
		note("control out of reach, the begin's answer lost: %s", b.order("key-1"))
		b.control.set(false, false)
		interval.Sleep(b.t.Context(), 2*time.Second)
		note("control back, the same key: %s", b.order("key-1"))
		note("the same key again: %s", b.order("key-1"))
		note("it ran %d times", b.sidecar.ran["key-1"])

		b.sidecar.fail = fault.New(fault.Unavailable, fault.No, "no connection to the service")
		note("the service out of reach: %s", b.order("key-2"))
		interval.Sleep(b.t.Context(), 2*time.Second)
		note("later, the same key: %s", b.order("key-2"))
		note("it ran %d times", b.sidecar.ran["key-2"])
	})
	inBed(t, func(b *bed) {
		b.entry.desk.settler.off = true
		b.control.set(true, false)
		note("twin: control out of reach, the begin's answer lost: %s", b.order("key-1"))
		b.control.set(false, false)
		interval.Sleep(b.t.Context(), 2*time.Second)
		note("twin: control back, the same key: %s", b.order("key-1"))
	})
	golden.Check(t, "abandoned.golden", text.String())
}
