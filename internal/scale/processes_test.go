package scale

import (
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"
)

// TestControllerRestartsAfterKill guards against a controller that stays down since it was started
// again before its former process was reaped.
func TestControllerRestartsAfterKill(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "controller")
	if err := os.WriteFile(binary, []byte("#!/bin/sh\nexec sleep 60\n"), 0o700); err != nil {
		t.Fatal(err)
	}
	var processes sync.WaitGroup
	c := &controller{name: "c", binary: binary, processes: &processes}
	former := 0
	for range 5 {
		if err := c.start(t.Context()); err != nil {
			t.Fatal(err)
		}
		pid := c.runningPID()
		if pid == 0 || pid == former {
			t.Fatalf("process %d runs after %d was killed", pid, former)
		}
		former = pid
		c.kill()
	}
	processes.Wait()
	if pid := c.runningPID(); pid != 0 {
		t.Errorf("process %d is left", pid)
	}
}

// TestCPUBudget checks that a process may use its share of a core over time, and a burst, and no more.
func TestCPUBudget(t *testing.T) {
	const share, interval = 0.12, 10 * time.Millisecond
	for _, c := range []struct {
		name string
		used time.Duration // in each interval in which the process runs
		want float64       // of a core, over a minute
	}{
		{"idle", 0, 0}, {"below the share", time.Millisecond, 0.1}, {"one core", interval, share}, {"eight cores", 8 * interval, share},
	} {
		t.Run(c.name, func(t *testing.T) {
			budget, mayRun, total := cpuBudget{share: share, left: throttleBurst}, true, time.Duration(0)
			for range time.Minute / interval {
				used := time.Duration(0)
				if mayRun {
					used = c.used
				}
				total += used
				mayRun = budget.spend(interval, used)
			}
			if got := total.Seconds() / 60; got < c.want-0.001 || got > c.want+0.005 {
				t.Errorf("%.3f of a core, want %.3f", got, c.want)
			}
		})
	}
}
