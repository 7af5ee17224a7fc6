// Package interval waits.
package interval

import (
	"context"
	"time"
)

// Wait waits for the given time and returns true, or false as soon as ctx is
// done.
func Wait(ctx context.Context, length time.Duration) bool {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
