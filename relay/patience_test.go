package relay

import (
	"testing"
	"time"
)

// TestClientRetry tells callers that were refused before from those whose
// patience differs, and learns that callers have become less patient.
func TestClientRetry(t *testing.T) {
	d := newRetryDetector()
	start := time.Unix(1_800_000_000, 0)
	for _, c := range []struct {
		at, timeout time.Duration
		want        bool
	}{
		{0, 1700 * time.Millisecond, false}, // nobody was more patient yet
		{0, 2000 * time.Millisecond, false},
		{time.Second, 1700 * time.Millisecond, false},
		{time.Second, 1650 * time.Millisecond, true},
		{19 * time.Second, 300 * time.Millisecond, true},
		{21 * time.Second, 800 * time.Millisecond, true},
		{42 * time.Second, 800 * time.Millisecond, false}, // the patient ones were two stretches ago
		{200 * time.Second, 500 * time.Millisecond, false},
	} {
		if got := d.isRetry(start.Add(c.at), "notes", c.timeout); got != c.want {
			t.Errorf("at %v with %v left: got %v, want %v", c.at, c.timeout, got, c.want)
		}
	}
	if d.isRetry(start, "orders", 300*time.Millisecond) {
		t.Error("got that the first caller of another route came back, want that it didn't")
	}
	d.retain(map[string]bool{"orders": true})
	if got, want := len(d.routes), 1; got != want {
		t.Errorf("got %d routes after one was dropped, want %d", got, want)
	}
}
