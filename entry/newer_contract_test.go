package entry

import (
	"testing"
	"time"

	"endivedeck.example/contract"
	"endivedeck.example/settings"
)

// TestNewerContractKeepsOldValues has a query switch to a newer contract. Its priority
// and its limit for the first token must be those of the newer one.
func TestNewerContractKeepsOldValues(t *testing.T) {
	withTestEnv(t, func(env *testEnv) {
		caller, err := env.entry.executor.Authenticate("key of the crews")
		if err != nil {
			t.Error(err)
			return
		}
		q := &queryExecution{executor: env.entry.executor, query: Query{Class: "chat", Model: testModel}, accepted: caller.Accepted}
		newer := caller.Accepted
		newer.Revision = 2
		newer.Contract.Classes = map[string]contract.Class{"chat": {Priority: 5, FirstToken: settings.Duration(time.Second)}}
		env.entry.contracts.Advance(2, []contract.Accepted{newer})
		if !q.adoptNewerContract(env.t.Context()) {
			t.Error("the newer contract wasn't adopted")
		}
		if got, want := q.routeRequest.Priority, 5; got != want {
			t.Errorf("got priority %d, want %d", got, want)
		}
		if got, want := q.routeRequest.TTFTLimit, time.Second; got != want {
			t.Errorf("got a limit of %v for the first token, want %v", got, want)
		}
	})
}
