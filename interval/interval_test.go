package interval

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// TestSleepUntil checks what ends the wait first: the time, the wake-up or the context.
func TestSleepUntil(t *testing.T) {
	for _, c := range []struct {
		name           string
		wakeAt, doneAt time.Duration
		want           bool
		wait           time.Duration
	}{
		{"time", 3 * time.Second, 3 * time.Second, true, time.Second},
		{"wake-up", 300 * time.Millisecond, 3 * time.Second, true, 300 * time.Millisecond},
		{"context", 3 * time.Second, 200 * time.Millisecond, false, 200 * time.Millisecond},
	} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), c.doneAt)
			defer cancel()
			woken, wake := context.WithTimeout(t.Context(), c.wakeAt)
			defer wake()
			start := time.Now()
			got := SleepUntil(ctx, time.Second, woken.Done())
			if wait := time.Since(start); got != c.want || wait != c.wait {
				t.Errorf("%s: got %v after %v, want %v after %v", c.name, got, wait, c.want, c.wait)
			}
		})
	}
}
