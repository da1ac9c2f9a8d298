package scale

import (
	"os"
	"path/filepath"
	"sync"
	"testing"
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
