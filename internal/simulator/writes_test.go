package simulator_test

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"aspenstall/internal/simulator"
)

// TestSubmissionWriteBudget tests that a leader that writes the started records of hundreds of jobs at
// once has a part of its write budget left for submissions. Without it, submissions were answered
// with status 503 during each burst of starts of many one-task jobs.
func TestSubmissionWriteBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := platform()
		p.Params.State.WriteRPS = 30
		p.Params.Teams = nil
		addTeam(&p, "blue", 0, 0, 0, 0)
		w := simulator.NewWorld(71, p, machineTypes)
		defer w.Close()
		w.Cloud.SetBootFactor(func(int) float64 { return 3 })
		startAllNodes(w)
		time.Sleep(2 * time.Second)
		lead := w.Leader()
		id := 0
		swarm := func(node int) int {
			id++
			job := array(id, 1, 30)
			job.CPUs, job.Urgency = 0.25, "idle"
			return w.PostJob(node, &job)
		}
		for i := range 300 {
			swarm((lead + 1 + i%2) % 3)
			time.Sleep(100 * time.Millisecond)
		}
		refused := 0
		for range 300 { // the machines are up after 45 s
			if swarm(lead) != http.StatusCreated {
				refused++
			}
			time.Sleep(100 * time.Millisecond)
		}
		if refused > 3 {
			t.Errorf("%d of 300 submissions to the leader were refused", refused)
		}
	})
}
