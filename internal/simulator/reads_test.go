package simulator_test

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"aspenstall/internal/simulator"
)

// TestReadsArePaced: however many users ask, all nodes together read for them with
// half of the state service's requests at most, and each is answered. In a flood at
// tolling fleet 35,000 requests were refused, and one submission in six waited for
// more than half a second.
func TestReadRateLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := platform()
		w := simulator.NewWorld(51, p, machineTypes)
		defer w.Close()
		startAllNodes(w)
		time.Sleep(20 * time.Second)
		job := array(1, 1, 1000)
		if !w.Submit(job) {
			t.Fatal("not accepted")
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
		// Beside these: the nodes' watches and the leader's lease.
		if most := p.Params.State.RPS*0.5 + 15; float64(after-before) > most*seconds {
			t.Errorf("%d requests in %d s for %d polls, want at most %v a second", after-before, seconds, asked, most)
		}
		if answered < asked*99/100 || asked < 1000 {
			t.Errorf("%d of %d polls were answered", answered, asked)
		}
	})
}
