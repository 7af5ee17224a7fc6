package entry

import (
	"testing"

	"endivedeck.example/fleet"
	"endivedeck.example/interval"
	"endivedeck.example/pool"
)

// TestCancelIsDroppedByBusyPool has an answer abandoned while all workers are busy. The
// sidecar must be told all the same.
func TestCancelIsDroppedByBusyPool(t *testing.T) {
	withTestEnv(t, func(env *testEnv) {
		workers := env.entry.host.Pool
		env.entry.host.Pool = pool.New(0, 0)
		q := &queryExecution{executor: env.entry.executor, query: Query{ID: "a"}}
		q.cancelAtSidecar(&fleet.Ticket{Address: engineServers[0]})
		interval.Sleep(env.t.Context(), cancelTimeout)
		env.entry.host.Pool = workers
		env.engines[0].mu.Lock()
		defer env.engines[0].mu.Unlock()
		if got, want := env.engines[0].cancels, 1; got != want {
			t.Errorf("got %d cancellations at the sidecar, want %d", got, want)
		}
	})
}
