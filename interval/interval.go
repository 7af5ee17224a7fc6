// Package interval waits, once or again and again.
package interval

import (
	"context"
	"time"
)

// Sleep waits for the given time and returns true, or false as soon as ctx is
// done.
func Sleep(ctx context.Context, length time.Duration) bool {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Every calls do after each interval of the given length, until ctx is done.
func Every(ctx context.Context, length time.Duration, do func(now time.Time)) {
	ticker := time.NewTicker(length)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			do(time.Now())
		}
	}
}
