package control

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"endivedeck.example/interval"
)

const inForceMost = 15 * time.Second

var manyHolders = flag.Int("holders", 100, "most holders that TestInForceWithMany plays, from 10 on in powers of ten")

// TestInForceWithMany has a tenth of the holders cut off and one control
// instance dead when a contract is put: it is in force within the target, at
// whatever number of holders.
func TestInForceWithMany(t *testing.T) {
	for count := 10; count <= *manyHolders; count *= 10 {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			inBed(t, 3, func(b *bed) {
				for i := range count {
					b.hold(fmt.Sprintf("entry-%d", i+1), kindEntry)
				}
				b.awaitHeld()
				first := b.put(b.leader(), "crews", 0, "1", 0.5, 30*time.Second)
				if first.State != StateAccepted {
					t.Fatalf("got %s, want %s", first.State, StateAccepted)
				}
				b.kill(b.leader())
				for _, h := range b.holders[:count/10] {
					b.network.Isolate(h.name, b.names()...)
				}
				begun := time.Now()
				second := b.put(b.leader(), "crews", 1, "2", 0.5, 30*time.Second)
				took := time.Since(begun)
				t.Logf("%d holders, %d cut off, the leader killed: %s after %v", count, count/10, second.State, took)
				if second.State != StateAccepted || took > inForceMost {
					t.Errorf("got %s after %v, want %s within %v", second.State, took, StateAccepted, inForceMost)
				}
				if version, name := b.oldest("crews"); version < 2 && name != "" {
					t.Errorf("%s serves by version %d, want 2", name, version)
				}
				interval.Sleep(b.t.Context(), time.Second)
			})
		})
	}
}
