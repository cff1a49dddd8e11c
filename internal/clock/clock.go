// Package clock waits for durations. A wait must never outlast its context.
package clock

import (
	"context"
	"time"
)

// Sleep waits for a duration and returns true. If ctx ends first, Sleep returns false at
// once.
func Sleep(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
