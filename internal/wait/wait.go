// Package wait provides a sleep that a context can end.
package wait

import (
	"context"
	"time"
)

// For waits for d or until ctx ends, and reports whether d passed.
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
