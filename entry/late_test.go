package entry

import (
	"testing"

	"endivedeck.example/admission"
	"endivedeck.example/message"
)

// TestLateSplitIsApplied has the response of an earlier leader arrive after that of a
// later one. The entry must keep the later one's part of the limits.
func TestLateSplitIsApplied(t *testing.T) {
	withTestEnv(t, func(env *testEnv) {
		env.entry.ApplyRenewal(message.RenewResponse{Term: 9, EntryCount: 3, EntryIndex: 2})
		env.entry.ApplyRenewal(message.RenewResponse{Term: 8, EntryCount: 1})
		if got, want := env.entry.admission.Split(), (admission.Split{Entries: 3, Index: 2}); got != want {
			t.Errorf("got split %+v, want %+v", got, want)
		}
	})
}
