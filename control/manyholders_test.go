package control

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"endivedeck.example/interval"
)

const maxInForceTime = 15 * time.Second

var maxHolders = flag.Int("holders", 100, "highest number of lease holders in TestInForceWithManyHolders, which runs with 10 and each further power of ten")

// TestInForceWithManyHolders checks that a contract is accepted within 15 s while
// a tenth of the lease holders are partitioned and one control instance is down,
// regardless of the number of holders.
func TestInForceWithManyHolders(t *testing.T) {
	for count := 10; count <= *maxHolders; count *= 10 {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			withCluster(t, 3, func(cl *cluster) {
				for i := range count {
					cl.addHolder(fmt.Sprintf("entry-%d", i+1), kindEntry)
				}
				cl.awaitLeases()
				first := cl.putContract(cl.awaitLeader(), "crews", 0, "1", 0.5, 30*time.Second)
				if first.State != StateAccepted {
					t.Fatalf("version 1: got state %s, want %s", first.State, StateAccepted)
				}
				cl.kill(cl.awaitLeader())
				for _, h := range cl.holders[:count/10] {
					cl.network.Isolate(h.name, cl.founderNames()...)
				}
				start := time.Now()
				second := cl.putContract(cl.awaitLeader(), "crews", 1, "2", 0.5, 30*time.Second)
				took := time.Since(start)
				t.Logf("%d holders, %d cut off, the leader killed: %s after %v", count, count/10, second.State, took)
				if second.State != StateAccepted || took > maxInForceTime {
					t.Errorf("version 2: got state %s after %v, want %s within %v", second.State, took, StateAccepted, maxInForceTime)
				}
				if version, name := cl.oldestServed("crews"); version < 2 && name != "" {
					t.Errorf("%s serves with version %d, want 2", name, version)
				}
				interval.Sleep(cl.t.Context(), time.Second)
			})
		})
	}
}
