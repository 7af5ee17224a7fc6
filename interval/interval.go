// Package interval provides waits and periodic calls that end with a context.
package interval

import (
	"context"
	"time"
)

// Sleep waits for d and returns true, or returns false as soon as ctx is done.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Every calls f with the current time every d until ctx is done. Like a
// time.Ticker, it drops calls if f is too slow.
func Every(ctx context.Context, d time.Duration, f func(now time.Time)) {
	ticker := time.NewTicker(d)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			f(time.Now())
		}
	}
}

// SleepUntil is like Sleep, but returns true early when woken is closed.
func SleepUntil(ctx context.Context, d time.Duration, woken <-chan struct{}) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-woken:
		return true
	case <-ctx.Done():
		return false
	}
}
