package simulator_test

import (
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"aspenstall/internal/clusterconfig"
	"aspenstall/internal/configclient"
	"aspenstall/internal/core"
	"aspenstall/internal/simulator"
)

var randomConfigRuns = flag.Int("drawn-config", 6, "number of random scenarios in TestConfigRandomScenarios")

// TestConfigChangeEffects checks what each kind of change does to running and waiting tasks.
func TestConfigChangeEffects(t *testing.T) {
	const s = time.Second
	runningTasks := func(w *simulator.World, id string) int { return w.RunningTasks(id) }
	for _, c := range []struct {
		name string
		act  func(t *testing.T, o *operator, u *users)
	}{
		{"a raised max lets more tasks start", func(t *testing.T, o *operator, u *users) {
			mustChange(t, o, "low", o.editTeam("blue", setMaxCPUs(8)))
			u.w.Submit(array(1, 20, 150))
			time.Sleep(60 * s)
			if n := runningTasks(u.w, "job-000001"); n != 4 {
				t.Errorf("%d tasks of 2 CPUs run under a limit of 8", n)
			}
			mustChange(t, o, "high", o.editTeam("blue", setMaxCPUs(32)))
			time.Sleep(60 * s)
			if n := runningTasks(u.w, "job-000001"); n != 16 {
				t.Errorf("%d tasks of 2 CPUs run under a limit of 32", n)
			}
		}},
		{"a max lowered below the usage stops nothing and starts nothing", func(t *testing.T, o *operator, u *users) {
			u.w.Submit(array(1, 40, 100))
			time.Sleep(70 * s)
			before := runningTasks(u.w, "job-000001")
			mustChange(t, o, "low", o.editTeam("blue", setMaxCPUs(20)))
			starts := u.w.TaskStarts()
			time.Sleep(10 * s)
			if n := runningTasks(u.w, "job-000001"); n != before || before <= 10 {
				t.Errorf("%d tasks ran before, %d after; want the same, more than 10", before, n)
			}
			if n := u.w.TaskStarts(); n != starts {
				t.Errorf("%d tasks were started over the limit", n-starts)
			}
			time.Sleep(100 * s)
			if n := runningTasks(u.w, "job-000001"); n > 10 {
				t.Errorf("%d tasks run under a limit of 20 CPUs", n)
			}
			mustChange(t, o, "back", o.editTeam("blue", setMaxCPUs(60)))
		}},
		{"a raised min is reclaimed, a lowered one is not protected", func(t *testing.T, o *operator, u *users) {
			u.w.Cloud.Capacity = 4 // 16 CPUs
			for _, name := range []string{"blue", "green"} {
				mustChange(t, o, "min-"+name, o.editTeam(name, func(t *clusterconfig.Team) { t.Min.CPU = 0 }))
			}
			u.w.Submit(array(1, 20, 300))
			time.Sleep(60 * s)
			other := array(2, 4, 300)
			other.Team = "green"
			u.w.Submit(other)
			time.Sleep(30 * s)
			if n := runningTasks(u.w, other.ID); n != 0 {
				t.Errorf("%d tasks of a team without a min were placed by reclaim", n)
			}
			mustChange(t, o, "raised", o.editTeam("green", func(t *clusterconfig.Team) { t.Min.CPU = 8000 }))
			time.Sleep(45 * s)
			if n := runningTasks(u.w, other.ID); n != 4 {
				t.Errorf("%d of 4 tasks within the raised min run", n)
			}
			u.w.Cancel("job-000001")
		}},
		{"a team is added, drained and removed", func(t *testing.T, o *operator, u *users) {
			job := array(1, 2, 30)
			job.Team = "red"
			if got := u.w.PostJob(0, &job); got != http.StatusUnprocessableEntity {
				t.Errorf("a job of an unknown team is answered with status %d", got)
			}
			mustChange(t, o, "add", o.editTeam("red", setMaxCPUs(8)))
			if got := u.w.PostJob(1, &job); got != http.StatusCreated {
				t.Errorf("a job of the new team is answered with status %d", got)
			}
			u.w.Submit(job)
			removeRed := func(c *clusterconfig.Config) { delete(c.Teams, "red") }
			if _, err := o.change("gone", 10*s, removeRed); !errors.Is(err, configclient.ErrTeamHasJobs) {
				t.Errorf("removed without draining: %v", err)
			}
			mustChange(t, o, "drain", o.editTeam("red", func(t *clusterconfig.Team) { t.Draining = true }))
			late := array(2, 1, 1)
			late.Team = "red"
			if got := u.w.PostJob(2, &late); got != http.StatusUnprocessableEntity {
				t.Errorf("a job of a draining team is answered with status %d", got)
			}
			if _, err := o.change("gone", 10*s, removeRed); !errors.Is(err, configclient.ErrTeamHasJobs) {
				t.Errorf("removed with a running job: %v", err)
			}
			u.expectState(job.ID, "done")
			mustChange(t, o, "gone", removeRed)
			if got, state := u.w.Resubmit(0, job.ID, &job); got != http.StatusOK || state != "done" {
				t.Errorf("a resubmission of its job is answered with status %d, state %q", got, state)
			}
		}},
		{"a lowered priority cap refuses jobs until it is raised", func(t *testing.T, o *operator, u *users) {
			mustChange(t, o, "cap", o.editTeam("green", func(t *clusterconfig.Team) { t.PriorityCap = core.Normal }))
			job := service(1, 1)
			for i := range 3 {
				if got := u.w.PostJob(i, &job); got != http.StatusUnprocessableEntity {
					t.Errorf("node %d answers a production job with status %d", i, got)
				}
			}
			mustChange(t, o, "lift", o.editTeam("green", func(t *clusterconfig.Team) { t.PriorityCap = core.Production }))
			for i := range 3 {
				if got := u.w.PostJob(i, &job); got != http.StatusCreated && got != http.StatusOK {
					t.Errorf("node %d answers with status %d after the cap is raised", i, got)
				}
			}
			u.w.Submit(job)
			u.expectState(job.ID, "running")
			u.w.Cancel(job.ID)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			runConfigScenario(t, scenario{seed: 500}, twoTeams(), func(t *testing.T, o *operator, u *users) {
				time.Sleep(10 * s)
				c.act(t, o, u)
				if n := u.w.TaskStarts(); n == 0 {
					u.w.Submit(array(9, 1, 1))
					u.expectState("job-000009", "done")
				}
			})
		})
	}
}

// TestConfigChangesDuringSubmissions makes 600 configuration changes, about ten a second, while users
// submit jobs, with a state service that accepts few changes per second. Every submission must be
// answered within a second, and every change must be in force within 4 seconds.
func TestConfigChangesDuringSubmissions(t *testing.T) {
	runConfigScenario(t, scenario{seed: 520}, lowWriteBudgetPlatform(), func(t *testing.T, o *operator, u *users) {
		time.Sleep(20 * time.Second)
		slowest := time.Duration(0)
		var mu sync.Mutex
		for i := range 120 {
			job := array(600+i, 1, 2)
			u.after(time.Duration(i)*500*time.Millisecond, func() {
				started := time.Now()
				u.w.Submit(job)
				mu.Lock()
				slowest = max(slowest, time.Since(started))
				mu.Unlock()
				u.expectState(job.ID, "done")
			})
		}
		made := 0
		for i := range 600 {
			_, err := o.change(fmt.Sprint("change-", i), 4*time.Second, o.editTeam("green", setMaxCPUs(int64(20+i%40))))
			if err != nil {
				t.Errorf("change %d: %v", i, err)
			}
			made++
			time.Sleep(50 * time.Millisecond)
		}
		t.Logf("%d changes, the slowest in force after %v; slowest submission %v", made, o.maxInForceDelay, slowest)
		if slowest > time.Second {
			t.Errorf("a submission took %v during configuration changes", slowest)
		}
	})
}

// TestConfigRandomScenarios runs random fault scenarios while quotas change all the time. Versions
// must increase, no task may start over a limit in force, and no invariant may be violated. The long
// form, outside CI:
//
//	go test ./internal/simulator -run TestConfigRandomScenarios -drawn-config 500
func TestConfigRandomScenarios(t *testing.T) {
	for seed := range *randomConfigRuns {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			r := rand.New(rand.NewPCG(uint64(seed), 50))
			kinds := slices.Concat(combinationFaults, raceFaults, partitionFaults)
			var faults []faultKind
			for range 2 + r.IntN(3) {
				faults = append(faults, kinds[r.IntN(len(kinds))])
			}
			sc := randomScenario(r, seed, uint64(5000+seed), faults, 30, 90)
			p := stateBudgets[seed%2].platform()
			runConfigScenario(t, sc, p, func(t *testing.T, o *operator, u *users) {
				changed := make(chan struct{})
				go func() {
					defer close(changed)
					o.changeRandomly(rand.New(rand.NewPCG(uint64(seed), 51)), 170*time.Second)
				}()
				mixedWorkload(t, u)
				<-changed
				for i := 1; i < len(o.versions); i++ {
					if o.versions[i] <= o.versions[i-1] {
						t.Errorf("version %d was made after version %d", o.versions[i], o.versions[i-1])
					}
				}
				if o.inForceCount < 10 {
					t.Errorf("only %d changes came into force, want at least 10", o.inForceCount)
				}
				// Raise the limits, so that waiting jobs can complete.
				for i, name := range []string{"blue", "green"} {
					for try := 0; ; try++ {
						_, err := o.change(fmt.Sprint("end-", i, "-", try), 15*time.Second, o.editTeam(name, setMaxCPUs(60)))
						if err == nil || try == 10 {
							break
						}
					}
				}
			})
		})
	}
}
