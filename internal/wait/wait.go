// Package wait waits for a time to pass.
package wait

import (
	"context"
	"time"
)

// For waits, and reports whether the whole time passed before ctx ended.
func For(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
