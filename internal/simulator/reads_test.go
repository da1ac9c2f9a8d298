package simulator_test

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"aspenstall/internal/simulator"
)

// TestReadRateLimit tests that all nodes together use at most half of the state service's request
// budget for users' polls, however many users poll, and that the polls are answered. Without the
// limit, a flood of polls at the tolling fleet caused 35,000 refused requests, and one submission in
// six waited for more than half a second.
func TestReadRateLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := platform()
		w := simulator.NewWorld(51, p, machineTypes)
		defer w.Close()
		startAllNodes(w)
		time.Sleep(20 * time.Second)
		job := array(1, 1, 1000)
		if !w.Submit(job) {
			t.Fatal("the job was not accepted")
		}
		before, _ := w.State.RequestCounts()
		const seconds = 10
		var asked, answered int
		var mu sync.Mutex
		var users sync.WaitGroup
		for range 120 {
			users.Go(func() {
				for end := time.Now().Add(seconds * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
					got := w.Poll(job.ID)
					mu.Lock()
					asked++
					if got != "" {
						answered++
					}
					mu.Unlock()
				}
			})
		}
		users.Wait()
		after, _ := w.State.RequestCounts()
		// 15 a second are for the nodes' watches and the leader's lease.
		if most := p.Params.State.RPS*0.5 + 15; float64(after-before) > most*seconds {
			t.Errorf("%d requests in %d s for %d polls, want at most %v a second", after-before, seconds, asked, most)
		}
		if answered < asked*99/100 || asked < 1000 {
			t.Errorf("%d of %d polls were answered", answered, asked)
		}
	})
}
