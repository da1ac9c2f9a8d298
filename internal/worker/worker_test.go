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

// TestCommandsTakeTurns: however many machines a leader has something for, only so many
// commands are under way, and what may not be sent any more when its turn comes is not. A
// leader of 1,900 machines took all sockets it had when it began, and could not reach the
// cloud.
func TestConcurrentCommandLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var open, most, dials atomic.Int64
		c := New(10, func(ctx context.Context, _, _ string) (net.Conn, error) {
			dials.Add(1)
			if n := open.Add(1); n > most.Load() {
				most.Store(n)
			}
			defer open.Add(-1)
			time.Sleep(100 * time.Millisecond)
			return nil, &net.OpError{Op: "dial", Err: errors.New("refused")}
		})
		var leads atomic.Bool
		leads.Store(true)
		outcomes := make(chan core.CommandOutcome, 100)
		for i := range 100 {
			go func() {
				o, _ := c.Send(t.Context(), core.SendCommands{Machine: fmt.Sprint(i), Address: fmt.Sprintf("10.0.0.%d:1", i), Token: 1, Session: 1}, leads.Load)
				outcomes <- o
			}()
		}
		time.Sleep(450 * time.Millisecond)
		leads.Store(false)
		for range 100 {
			if o := <-outcomes; o != core.NotSent {
				t.Errorf("outcome %v", o)
			}
		}
		if most.Load() != 10 || dials.Load() != 50 {
			t.Errorf("%d at once, %d in all; want 10 and 50", most.Load(), dials.Load())
		}
	})
}
