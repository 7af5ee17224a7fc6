package shard

import (
	"fmt"
	"testing"
)

// TestOwner checks that the order of the members has no effect, that the shares
// are about equal, and that the loss of a member moves only its own keys.
func TestOwner(t *testing.T) {
	members := []string{"a", "b", "c", "d"}
	reversed := []string{"d", "c", "b", "a"}
	const keys = 1000
	counts := map[string]int{}
	for i := range keys {
		key := fmt.Sprintf("engine-%d", i)
		owner := Owner(members, key)
		counts[owner]++
		if got := Owner(reversed, key); got != owner {
			t.Errorf("%s, members reversed: got owner %s, want %s", key, got, owner)
		}
		if got := Owner(members[:3], key); owner != "d" && got != owner {
			t.Errorf("%s, without member d: got owner %s, want %s", key, got, owner)
		}
	}
	for _, member := range members {
		if got, want := counts[member], keys/len(members); got < want*7/10 || got > want*13/10 {
			t.Errorf("keys of %s: got %d, want about %d", member, got, want)
		}
	}
	if got := Owner(nil, "engine-1"); got != "" {
		t.Errorf("no members: got %q, want none", got)
	}
}
