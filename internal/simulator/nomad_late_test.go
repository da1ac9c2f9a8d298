package simulator_test

import (
	"net/http"
	"testing"
	"time"

	"aspenstall/internal/simulator"
)

// TestNomadLateRegistration checks that a job stays purged although the transaction of its first
// registration, which got no answer and was retried, is executed after the purge (ran_cancelled).
func TestNomadLateRegistration(t *testing.T) {
	const lateDelay = 11 * time.Second
	for i, c := range []struct {
		name      string
		stopFirst bool // the job is stopped before it is purged
		earlier   bool // the team has purged a job of this name before
	}{
		{"purged", false, false},
		{"stopped and purged", true, false},
		{"purged for the second time", false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			runNomadScenario(t, 80+uint64(i), func(t *testing.T, s *nomadWorld) {
				const name = "late"
				job := s.batchJob(name, 2, 100)
				jobs := s.client("blue", 1).Jobs()
				purge := func() {
					t.Helper()
					if _, _, err := jobs.Deregister(name, true, nil); err != nil {
						t.Fatal(err)
					}
					s.NoteCancelled(s.NativeJobs("blue", name))
				}
				if c.earlier {
					if _, _, err := jobs.Register(job, nil); err != nil {
						t.Fatal(err)
					}
					purge()
				}
				executed := false
				s.StateFaults.Update(func(f *simulator.Faults) {
					f.ExecuteLate, f.LateDelay, f.LateContaining = 1, lateDelay, "c/nomad/src/"
					f.OnRepeated = func(_ string, status int) {
						executed = true
						if status != http.StatusConflict {
							t.Errorf("the late transaction was answered %d", status)
						}
					}
				})
				if _, _, err := jobs.Register(job, nil); err == nil {
					t.Fatal("the registration without an answer was confirmed")
				}
				s.StateFaults.Update(func(f *simulator.Faults) { f.ExecuteLate = 0 })
				if _, _, err := jobs.Register(job, nil); err != nil {
					t.Fatal(err)
				}
				time.Sleep(time.Second)
				if c.stopFirst {
					if _, _, err := jobs.Deregister(name, false, nil); err != nil {
						t.Fatal(err)
					}
				}
				purge()
				if executed {
					t.Fatal("the transaction was executed before the purge")
				}
				time.Sleep(lateDelay + 30*time.Second) // a machine may have to boot
				if !executed {
					t.Error("the transaction was not executed")
				}
				for at := range 3 {
					if status, _, _ := s.rawRequest(http.MethodGet, "blue", at, "/v1/job/"+name, nil); status != http.StatusNotFound {
						t.Errorf("node %d answers for the purged job: %d", at, status)
					}
				}
				for _, id := range s.NativeJobs("blue", name) {
					if n := s.RunningTasks(id); n > 0 {
						t.Errorf("%d tasks of %s run after the purge", n, id)
					}
				}
			})
		})
	}
}
