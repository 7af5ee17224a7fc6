package contract

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"endivedeck.example/golden"
)

// TestStore checks that of two operators that replace the same version of a
// contract only the first succeeds, and that a change that is sent again
// because the response was lost has no further effect. The golden file also
// shows what happens without the version check and without the record of
// earlier requests: one operator overwrites the change of the other, or gets a
// conflict with its own change.
func TestStore(t *testing.T) {
	var text strings.Builder
	for _, variant := range []struct {
		name      string
		configure func(*Store)
	}{
		{"all checks", func(*Store) {}},
		{"without the version check", func(s *Store) { s.skipVersionCheck = true }},
		{"without the record of requests", func(s *Store) { s.skipRecording = true }},
	} {
		fmt.Fprintf(&text, "%s\n", variant.name)
		store := NewStore()
		variant.configure(store)
		now := time.Unix(1_800_000_000, 0)
		index := uint64(0)
		apply := func(request string, replaces uint64, share float64) {
			index++
			now = now.Add(time.Second)
			contract := Contract{Customer: "crews", Share: share}
			outcome := store.Apply(index, Change{RequestID: request, Customer: "crews", Replaces: replaces, Contract: &contract, At: now})
			fmt.Fprintf(&text, "\t%s replaces %d with share %.1f: ", request, replaces, share)
			if outcome.Error != nil {
				fmt.Fprintf(&text, "%s, ", outcome.Error.Kind)
			}
			fmt.Fprintf(&text, "version %d with share %.1f is in force\n", outcome.Current.Version, outcome.Current.Contract.Share)
		}
		apply("first", 0, 0.1)
		apply("second", 0, 0.2)
		apply("third", 1, 0.3)
		apply("first", 0, 0.1)
		apply("first", 0, 0.4)
		fmt.Fprintf(&text, "\tat the end: version %d with share %.1f is in force\n", store.Contracts["crews"].Version, store.Contracts["crews"].Contract.Share)
	}
	golden.Check(t, "book.golden", text.String())
}

// TestKeyHashesInUpperCase guards against a contract that is accepted and whose key is
// unknown: a contract may have the hash of a key in upper case. It also checks that a key
// can't belong to two customers whose contracts write its hash in different cases.
func TestKeyHashesInUpperCase(t *testing.T) {
	lower := HashKey("secret")
	upper := strings.ToUpper(lower)
	var text strings.Builder
	store, view := NewStore(), NewView()
	apply := func(customer string, replaces uint64, keys ...string) {
		change := Change{Customer: customer, Replaces: replaces}
		if len(keys) > 0 {
			change.Contract = &Contract{Customer: customer, Keys: keys}
		}
		revision := store.Revision + 1
		outcome := store.Apply(revision, change)
		fmt.Fprintf(&text, "%s replaces %d with %d keys: ", customer, replaces, len(keys))
		if outcome.Error != nil {
			fmt.Fprintf(&text, "%s: %s\n", outcome.Error.Kind, outcome.Error.Message)
			return
		}
		view.Advance(revision, []Accepted{outcome.Current})
		accepted, known := view.ByKey(lower)
		fmt.Fprintf(&text, "key known %v, of customer %q, version %d\n", known, accepted.Contract.Customer, accepted.Version)
	}
	apply("crews", 0, upper)
	apply("gyms", 0, lower)
	apply("crews", 1, lower)
	apply("gyms", 0, upper)
	apply("crews", 2, upper)
	apply("crews", 3)
	apply("gyms", 0, upper)
	golden.Check(t, "case.golden", text.String())
}
