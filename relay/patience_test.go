package relay

import (
	"testing"
	"time"
)

// TestCameBack tells callers that were refused before from those whose
// patience differs.
func TestCameBack(t *testing.T) {
	p := newPatience()
	for _, c := range []struct {
		left time.Duration
		want bool
	}{
		{0, false},
		{1700 * time.Millisecond, false}, // nobody was more patient yet
		{2000 * time.Millisecond, false},
		{1700 * time.Millisecond, false},
		{1650 * time.Millisecond, true},
		{300 * time.Millisecond, true},
	} {
		if got := p.cameBack("notes", c.left); got != c.want {
			t.Errorf("with %v left: got %v, want %v", c.left, got, c.want)
		}
	}
	if p.cameBack("orders", 300*time.Millisecond) {
		t.Error("got that the first caller of another route came back, want that it didn't")
	}
}
