package simulator_test

import (
	"context"
	"log/slog"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"aspenstall/internal/simulator"
)

// messageCounter is a log handler that counts the records of two messages.
type messageCounter struct {
	slog.Handler
	failedWrites, raises *atomic.Int64
}

func (h messageCounter) Enabled(context.Context, slog.Level) bool { return true }

func (h messageCounter) Handle(_ context.Context, r slog.Record) error {
	switch r.Message {
	case "write failed":
		h.failedWrites.Add(1)
	case "token raised":
		h.raises.Add(1)
	}
	return nil
}

func (h messageCounter) WithAttrs([]slog.Attr) slog.Handler { return h }

// TestWritesGoOnWhileTokenIsRaised guards against starts that wait because the leader's writes fail with
// each raise of its token.
func TestWritesGoOnWhileTokenIsRaised(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		counter := messageCounter{slog.DiscardHandler, new(atomic.Int64), new(atomic.Int64)}
		p := platform()
		p.Params.Teams = nil
		addTeam(&p, "blue", 0, 0, 0, 0)
		p.Params.State.RPS, p.Params.State.WriteRPS = 2000, 1000
		large := simulator.MachineType{Name: "l64", CPUs: 64, MemGB: 256, CacheGB: 40, FetchGBps: 1, Price: 2, SpotPrice: 1, BootS: 15, Zones: []string{"a"}}
		w := simulator.NewWorld(72, p, []simulator.MachineType{large})
		defer w.Close()
		w.SetLogHandler(counter)
		w.StateFaults.MaxDelay = 200 * time.Millisecond
		startAllNodes(w)
		time.Sleep(2 * time.Second)
		for i := range 1200 {
			job := array(i, 1, 2)
			job.CPUs, job.MemGB = 0.25, 0.25
			go w.Submit(job)
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(60 * time.Second)
		if n := counter.raises.Load(); n < 5 {
			t.Errorf("the token was raised %d times; the scenario is inconclusive", n)
		}
		if n := counter.failedWrites.Load(); n > 0 {
			t.Errorf("%d writes failed", n)
		}
		for _, v := range w.Violations() {
			t.Error(v)
		}
	})
}
