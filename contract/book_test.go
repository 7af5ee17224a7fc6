package contract

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"endivedeck.example/golden"
)

// TestBook has two operators race under equal numbers, and one of them send
// its change again because the answer was lost. In the twins versions aren't
// compared, or requests aren't remembered.
func TestBook(t *testing.T) {
	var text strings.Builder
	for _, twin := range []struct {
		name string
		book func(*Store)
	}{
		{"as it is", func(*Store) {}},
		{"twin, any version may be replaced", func(b *Store) { b.unversioned = true }},
		{"twin, requests are forgotten", func(b *Store) { b.forgetful = true }},
	} {
		fmt.Fprintf(&text, "%s\n", twin.name)
		b := NewStore()
		twin.book(b)
		now := time.Unix(1_800_000_000, 0)
		index := uint64(0)
		put := func(request string, replaces uint64, share float64) {
			index++
			now = now.Add(time.Second)
			wanted := Contract{Customer: "crews", Share: share}
			outcome := b.Apply(index, Change{RequestID: request, Customer: "crews", Replaces: replaces, Contract: &wanted, At: now})
			fmt.Fprintf(&text, "\t%s replaces %d with share %.1f: ", request, replaces, share)
			if outcome.Error != nil {
				fmt.Fprintf(&text, "%s, ", outcome.Error.Kind)
			}
			fmt.Fprintf(&text, "version %d with share %.1f stands\n", outcome.Current.Version, outcome.Current.Contract.Share)
		}
		put("first", 0, 0.1)
		put("second", 0, 0.2)
		put("third", 1, 0.3)
		put("first", 0, 0.1)
		put("first", 0, 0.4)
		fmt.Fprintf(&text, "\tin the end version %d with share %.1f stands\n", b.Contracts["crews"].Version, b.Contracts["crews"].Contract.Share)
	}
	golden.Check(t, "book.golden", text.String())
}
