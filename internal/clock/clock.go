// Package clock waits for time to pass. It must never wait beyond the end of the context.
package clock

import (
	"context"
	"time"
)

// Sleep waits for a duration and returns true. If ctx ends before, it returns false at
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
