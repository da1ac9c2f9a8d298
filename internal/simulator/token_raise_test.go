package simulator_test

import (
	"context"
	"fmt"
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

// raiseObserver is a log handler that calls raised when a controller has raised its token.
type raiseObserver struct {
	slog.Handler
	raised func()
}

func (h raiseObserver) Handle(_ context.Context, r slog.Record) error {
	if r.Message == "token raised" {
		h.raised()
	}
	return nil
}

func (h raiseObserver) Enabled(context.Context, slog.Level) bool { return true }

func (h raiseObserver) WithAttrs([]slog.Attr) slog.Handler { return h }

// TestZonePartitionAfterTokenRaise guards against leases that run out in a partitioned zone because its
// delegate does not know the token that its workers have just seen.
func TestZonePartitionAfterTokenRaise(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			c := &activeFaults{}
			raises := 0
			setup := func(w *simulator.World) {
				w.SetLogHandler(raiseObserver{slog.DiscardHandler, func() {
					if raises++; raises > 1 {
						return
					}
					time.AfterFunc(400*time.Millisecond, func() { c.partitionZone(1)(w) })
					time.AfterFunc(20*time.Second, func() { c.healZone(w) })
				}})
			}
			runPartitionScenario(t, scenario{seed: 730 + seed, keepsLeases: true, setup: setup})
			if raises == 0 {
				t.Error("the token was not raised; the scenario is inconclusive")
			}
		})
	}
}
