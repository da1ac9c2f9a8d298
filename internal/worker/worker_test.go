package worker

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"aspenstall/internal/core"
)

// TestConcurrentCommandLimit checks that the number of requests in flight is limited, and that
// commands which are no longer allowed when a slot is free are not sent. Without the limit, a new
// leader of 1,900 machines used up all its sockets and could not reach the cloud.
func TestConcurrentCommandLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var open, peak, dials atomic.Int64
		c := New(10, func(ctx context.Context, _, _ string) (net.Conn, error) {
			dials.Add(1)
			if n := open.Add(1); n > peak.Load() {
				peak.Store(n)
			}
			defer open.Add(-1)
			time.Sleep(100 * time.Millisecond)
			return nil, &net.OpError{Op: "dial", Err: errors.New("refused")}
		})
		var leading atomic.Bool
		leading.Store(true)
		outcomes := make(chan core.CommandOutcome, 100)
		for i := range 100 {
			go func() {
				o, _ := c.Send(t.Context(), core.SendCommands{Machine: fmt.Sprint(i), Address: fmt.Sprintf("10.0.0.%d:1", i), Token: 1, Session: 1}, leading.Load)
				outcomes <- o
			}()
		}
		time.Sleep(450 * time.Millisecond)
		leading.Store(false)
		for range 100 {
			if o := <-outcomes; o != core.NotSent {
				t.Errorf("outcome %v", o)
			}
		}
		if peak.Load() != 10 || dials.Load() != 50 {
			t.Errorf("%d concurrent dials, %d in total; want 10 and 50", peak.Load(), dials.Load())
		}
	})
}
