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

// messageObserver is a log handler that calls a function for each record with one of its messages.
type messageObserver struct {
	slog.Handler
	on map[string]func()
}

func (h messageObserver) Enabled(context.Context, slog.Level) bool { return true }

func (h messageObserver) Handle(_ context.Context, r slog.Record) error {
	if f := h.on[r.Message]; f != nil {
		f()
	}
	return nil
}

func (h messageObserver) WithAttrs([]slog.Attr) slog.Handler { return h }

// TestWritesGoOnWhileTokenIsRaised guards against starts that wait because the leader's writes fail with
// each raise of its token.
func TestWritesGoOnWhileTokenIsRaised(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var failedWrites, raises atomic.Int64
		p := platform()
		p.Params.Teams = nil
		addTeam(&p, "blue", 0, 0, 0, 0)
		p.Params.State.RPS, p.Params.State.WriteRPS = 2000, 1000
		large := simulator.MachineType{Name: "l64", CPUs: 64, MemGB: 256, CacheGB: 40, FetchGBps: 1, Price: 2, SpotPrice: 1, BootS: 15, Zones: []string{"a"}}
		w := simulator.NewWorld(72, p, []simulator.MachineType{large})
		defer w.Close()
		w.SetLogHandler(messageObserver{slog.DiscardHandler, map[string]func(){
			"write failed": func() { failedWrites.Add(1) },
			"token raised": func() { raises.Add(1) },
		}})
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
		if n := raises.Load(); n < 5 {
			t.Errorf("the token was raised %d times; the scenario is inconclusive", n)
		}
		if n := failedWrites.Load(); n > 0 {
			t.Errorf("%d writes failed", n)
		}
		for _, v := range w.Violations() {
			t.Error(v)
		}
	})
}

// TestZonePartitionAfterTokenRaise guards against leases that run out in a partitioned zone because its
// delegate does not know the token that its workers have just seen.
func TestZonePartitionAfterTokenRaise(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			c := &activeFaults{}
			raises := 0
			setup := func(w *simulator.World) {
				w.SetLogHandler(messageObserver{slog.DiscardHandler, map[string]func(){"token raised": func() {
					if raises++; raises > 1 {
						return
					}
					time.AfterFunc(400*time.Millisecond, func() { c.partitionZone(1)(w) })
					time.AfterFunc(20*time.Second, func() { c.healZone(w) })
				}}})
			}
			runPartitionScenario(t, scenario{seed: 730 + seed, keepsLeases: true, setup: setup})
			if raises == 0 {
				t.Error("the token was not raised; the scenario is inconclusive")
			}
		})
	}
}
