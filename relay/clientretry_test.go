package relay

import (
	"testing"
	"time"
)

// TestClientRetry checks that retries are told apart from first requests whose
// timeouts differ a little, and that the detector adapts when callers begin to use
// shorter timeouts.
func TestClientRetry(t *testing.T) {
	d := newRetryDetector()
	start := time.Unix(1_800_000_000, 0)
	for _, c := range []struct {
		at, timeout time.Duration
		want        bool
	}{
		{0, 1700 * time.Millisecond, false}, // no longer timeout seen yet
		{0, 2000 * time.Millisecond, false},
		{time.Second, 1700 * time.Millisecond, false},
		{time.Second, 1650 * time.Millisecond, true},
		{19 * time.Second, 300 * time.Millisecond, true},
		{21 * time.Second, 800 * time.Millisecond, true},
		{42 * time.Second, 800 * time.Millisecond, false}, // the longer timeouts are two windows old
		{200 * time.Second, 500 * time.Millisecond, false},
	} {
		if _, got := d.isRetry(start.Add(c.at), "notes", c.timeout); got != c.want {
			t.Errorf("at %v, timeout %v: got %v, want %v", c.at, c.timeout, got, c.want)
		}
	}
	if _, retry := d.isRetry(start, "orders", 300*time.Millisecond); retry {
		t.Error("first request on another route is reported as a retry")
	}
	d.retain(map[string]bool{"orders": true})
	if got, want := len(d.routes), 1; got != want {
		t.Errorf("got %d routes after one was removed, want %d", got, want)
	}
}
