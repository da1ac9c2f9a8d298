// Package wait provides a sleep that a context can end.
package wait

import (
	"context"
	"time"
)

// For waits for d or until ctx ends, and reports whether d passed.
func For(ctx context.Context, d time.Duration) bool { return ForOrWake(ctx, d, nil) }

// ForOrWake waits for d, until a value arrives on wake, or until ctx ends. It reports whether d passed.
func ForOrWake(ctx context.Context, d time.Duration, wake <-chan struct{}) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-wake:
	case <-t.C:
		return true
	}
	return false
}

// Wake sends a value on the channel of a ForOrWake, unless one is there already. The channel has to
// be buffered.
func Wake(wake chan<- struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}
