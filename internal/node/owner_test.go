package node

import (
	"fmt"
	"testing"
	"time"

	"aspenstall/internal/core"
)

// TestOwnerDoesNotWaitForItself guards against an owning goroutine that waits for ever on its own full
// inbox: a pass starts so many jobs that the queue of task writes is full, while other goroutines
// have filled the inbox.
func TestOwnerDoesNotWaitForItself(t *testing.T) {
	const firstMachines = 3000 // jobs that get their first machine in one pass
	n := newTestNode()
	n.ctx = t.Context()
	n.committer.foregroundInFlight = maxForegroundInFlight // it sends nothing
	for range cap(n.inbox) {
		n.inbox <- func() {}
	}
	finished := make(chan struct{})
	go func() { // as the owning goroutine
		defer close(finished)
		leading := &term{}
		for i := range firstMachines {
			id := fmt.Sprintf("job-%06d", i)
			n.committer.addCoreWrite(leading, core.Write{
				ID: uint64(i), Puts: []core.Put{{Key: core.StartedPrefix + id, Value: core.StartedRecord{Job: id}}}, Urgent: true, Priority: core.Normal,
			})
		}
	}()
	select {
	case <-finished:
	case <-time.After(10 * time.Second):
		t.Fatal("the owning goroutine waits for itself")
	}
	if queued, refused := len(n.committer.taskQueues[core.Normal]), len(n.deferred); queued != maxQueued || refused != firstMachines-maxQueued {
		t.Errorf("%d writes queued and %d refused, want %d and %d", queued, refused, maxQueued, firstMachines-maxQueued)
	}
	for range 2 { // the second run has none left
		n.runDeferred()
	}
	if len(n.deferred) != 0 || len(n.deferredWake) != 1 {
		t.Errorf("%d functions are left, %d wake-ups; want none and one", len(n.deferred), len(n.deferredWake))
	}
}
