// Package clock waits.
package clock

import (
	"context"
	"time"
)

// Sleep waits for d; it returns false at once when ctx ends.
func Sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
