package simulator_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"aspenstall/internal/simulator"
	"aspenstall/internal/wire"
)

// completionRaces are users who cancel a job, poll it and submit it again while its last task
// completes.
type completionRaces struct {
	w           *simulator.World
	random      *simulator.Streams // by job
	mu          sync.Mutex
	finalStates map[string]string // the state answered to the last cancellation, by job
}

// install makes the world call onLastTask for each job.
func (e *completionRaces) install(w *simulator.World) {
	e.w, e.finalStates = w, map[string]string{}
	w.OnLastTaskDone(e.onLastTask)
}

// onLastTask sends the requests for a job whose last task is done, after random delays.
func (e *completionRaces) onLastTask(id string) {
	e.mu.Lock()
	r := e.random.Stream(id)
	within := []int{60, 700}[r.IntN(2)] // most jobs are recorded as done long before 700 ms
	cancelDelay, pollDelay := time.Duration(r.IntN(within))*time.Millisecond, time.Duration(r.IntN(700))*time.Millisecond
	node := r.IntN(3)
	e.mu.Unlock()
	for i := range 3 {
		go func() {
			time.Sleep(pollDelay)
			e.w.PollAt(i, id)
			e.w.Resubmit(i, id, nil)
		}()
	}
	time.Sleep(cancelDelay)
	e.w.CancelAt(node, id)
	state := e.w.Cancel(id)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.finalStates[id] = state
}

// zoneBoundWorkload submits arrays and services: some may run in a given zone only, some need all
// tasks in one zone, some are spread over zones.
func zoneBoundWorkload(_ *testing.T, u *users) {
	const s = time.Second
	for i := range 10 {
		job := array(100+i, 4, float64(10+3*i))
		job.DueS = nil
		switch i % 3 {
		case 0:
			job.Zone = []string{"a", "b", "c"}[i/3%3]
		case 1:
			job.OneZone = true
		}
		u.after(time.Duration(5*i)*s, func() { u.runToDone(job) })
	}
	for i := range 6 {
		job := service(300+i, 3+i%3)
		switch i % 3 {
		case 0:
			job.Spread, job.Zone = false, "b"
		case 1:
			job.Spread, job.OneZone = false, true
		}
		u.after(0, func() {
			if u.w.Submit(job) {
				u.expectState(job.ID, "running")
				time.Sleep(170 * s)
				u.expectState(job.ID, "running")
				u.w.Cancel(job.ID)
			}
		})
	}
}

// TestFaultCombinationsByStateBudget runs further combinations of faults that operators reported, at
// both budgets of the state service. A test fails if the combination did not occur, if an invariant
// is violated, or if a job does not reach its expected state.
func TestFaultCombinationsByStateBudget(t *testing.T) {
	const s, ms = time.Second, time.Millisecond
	type combination struct {
		scenario
		jobs    func(*testing.T, *users)
		missing func() string
	}
	leaderCrash := func() (kill, restart func(*simulator.World)) {
		node := 0
		return func(w *simulator.World) { node = max(w.Leader(), 0); w.Kill(node) }, func(w *simulator.World) { w.StartNode(node) }
	}
	for _, c := range []struct {
		name  string
		build func(seed uint64) combination
	}{
		{"a job is cancelled, polled and resubmitted as its last task completes", func(seed uint64) combination {
			e := &completionRaces{random: simulator.NewStreams(seed)}
			return combination{scenario{setup: e.install, setupFaultsEnd: true}, func(_ *testing.T, u *users) { submitShortJobs(u, 10*s, 100*s, 500*ms) }, func() string {
				n := map[string]int{}
				for _, f := range e.finalStates {
					n[f]++
				}
				t.Logf("final states answered to users: %v", n)
				if n["done"] < 10 || n["aborted"] < 10 {
					return "jobs that were done and jobs that were cancelled"
				}
				return ""
			}}
		}},
		{"more work than capacity at all priorities over slow links", func(seed uint64) combination {
			fleetFull := false
			sc := scenario{setupFaultsEnd: true, setup: func(w *simulator.World) {
				w.Cloud.Capacity = 10
				w.StateFaults.MaxDelay, w.WorkerFaults.MaxDelay = 300*ms, 1500*ms
				for _, f := range w.NodeFaults {
					f.MaxDelay = 800 * ms
				}
			}, actions: []action{{50 * s, func(w *simulator.World) { fleetFull = w.Cloud.MachineCount() >= 10 }}, {90 * s, func(w *simulator.World) {
				for _, f := range append([]*simulator.Faults{w.StateFaults, w.WorkerFaults}, w.NodeFaults...) {
					f.Update(func(f *simulator.Faults) { f.MaxDelay = 0 })
				}
			}}}}
			return combination{sc, func(_ *testing.T, u *users) {
				for i := range 24 {
					job := array(100+i, 6, 15)
					job.Urgency = []string{"high", "idle", "standard"}[i%3]
					if i%2 == 1 {
						job.Team = "green"
					}
					u.after(time.Duration(2*i)*s, func() { u.runToDone(job) })
				}
			}, func() string {
				if !fleetFull {
					return "a full fleet"
				}
				return ""
			}}
		}},
		{"reports of workers are lost while direct commands arrive", func(seed uint64) combination {
			isolated := map[*simulator.Worker]bool{}
			// Tasks started on a machine in isolated after the session in which its reports were lost.
			startedLater := map[string]bool{}
			seen := map[string]bool{} // tasks of later sessions, also those started by a new leader
			var crashedAt time.Time   // a new leader can't know yet in its first 9 s which reports are lost
			firstSession := map[*simulator.Worker]uint64{}
			watch := func(w *simulator.World) {
				for range 140 {
					time.Sleep(500 * ms)
					for k := range isolated {
						if session, tasks := k.Session(); session > firstSession[k] {
							for _, task := range tasks {
								what := fmt.Sprint(k.Name(), " ", session, " ", task)
								if !seen[what] && (crashedAt.IsZero() || time.Since(crashedAt) > 9*s) {
									startedLater[what] = true
								}
								seen[what] = true
							}
						}
					}
				}
			}
			kill, restart := leaderCrash()
			sc := scenario{actions: []action{{40 * s, func(w *simulator.World) {
				for i, k := range w.Cloud.Workers() {
					if i%3 == 0 {
						k.SetOutboundLost(true)
						isolated[k] = true
						firstSession[k], _ = k.Session()
					}
				}
			}}, {41 * s, watch}, {70 * s, kill}, {70 * s, func(*simulator.World) { crashedAt = time.Now() }}, {70*s + 300*ms, restart}, {112 * s, func(*simulator.World) {
				for k := range isolated {
					k.SetOutboundLost(false)
				}
			}}}}
			return combination{sc, smallJobsWorkload, func() string {
				t.Logf("%d machines with lost reports, tasks started after their sessions ended: %v; a new leader started %d in its first seconds", len(isolated), startedLater, len(seen)-len(startedLater))
				if len(startedLater) > 0 {
					t.Errorf("machines with lost reports were given tasks again: %v", startedLater)
				}
				if len(isolated) < 2 {
					return "machines with lost reports"
				}
				return ""
			}}
		}},
		{"all zones with their controllers are partitioned for longer than a lease", func(seed uint64) combination {
			partitionAll := func(partitioned bool) func(*simulator.World) {
				return func(w *simulator.World) {
					for _, z := range []string{"a", "b", "c"} {
						w.Net.PartitionZone(z, partitioned)
					}
				}
			}
			return combination{scenario{actions: []action{{45 * s, partitionAll(true)}, {45*s + 26*s, partitionAll(false)}}}, smallJobsWorkload, nil}
		}},
		{"a zone with workers and a controller is partitioned twice for longer than a lease", func(seed uint64) combination {
			c := &activeFaults{}
			return combination{scenario{actions: []action{{45 * s, c.partitionZone(int(seed) % 3)}, {68 * s, c.healZone}, {80 * s, c.partitionZone(0)}, {104 * s, c.healZone}}}, zoneBoundWorkload, nil}
		}},
		{"zone-bound and spread jobs lose machines during a takeover", func(seed uint64) combination {
			lost := 0
			kill, restart := leaderCrash()
			h := &activeFaults{}
			sc := scenario{actions: []action{{40 * s, func(w *simulator.World) {
				for i, k := range w.Cloud.Workers() {
					if len(k.RunningTasks()) > 0 && i%3 == int(seed)%3 {
						lost++
						k.Terminate()
					}
				}
			}}, {41 * s, h.hangWorkers}, {42 * s, kill}, {42*s + 300*ms, restart}, {55 * s, h.resumeWorkers}, {70 * s, h.hangWorkers}, {95 * s, h.resumeWorkers}}}
			return combination{sc, zoneBoundWorkload, func() string {
				if lost < 2 {
					return "terminated machines with tasks"
				}
				return ""
			}}
		}},
		{"the leader changes ten times in two minutes, also in an outage of the state service", func(seed uint64) combination {
			leaders := map[int]int{}
			var sc scenario
			for i := range 10 {
				at := 30*s + time.Duration(i)*11*s
				kill, restart := leaderCrash()
				sc.actions = append(sc.actions, action{at, kill}, action{at + 300*ms, restart}, action{at + 10*s, func(w *simulator.World) { leaders[w.Leader()]++ }})
			}
			sc.actions = append(sc.actions, action{72 * s, setStateDown(true)}, action{100 * s, setStateDown(false)})
			return combination{sc, smallJobsWorkload, func() string {
				if len(leaders) < 2 {
					return "several leaders"
				}
				return ""
			}}
		}},
		{"all controllers are down for longer than a lease", func(seed uint64) combination {
			return combination{scenario{actions: []action{{45 * s, killAllNodes}, {70 * s, startAllNodes}, {90 * s, killAllNodes}, {90*s + 300*ms, startAllNodes}}}, smallJobsWorkload, nil}
		}},
		{"machines hang for longer than a cancellation may take", func(seed uint64) combination {
			h := &activeFaults{}
			var ids []string
			sc := scenario{actions: []action{{40 * s, h.hangWorkers}, {41 * s, func(w *simulator.World) {
				for _, k := range h.hungWorkers {
					for _, task := range k.RunningTasks() {
						job, _, _ := strings.Cut(task, "/")
						if w.Cancel(job) == "aborted" {
							ids = append(ids, job)
						}
					}
				}
			}}, {88 * s, h.resumeWorkers}}}
			return combination{sc, func(_ *testing.T, u *users) {
				for i := range 12 {
					job := array(100+i, 3, 120)
					u.after(time.Duration(i)*s, func() {
						if u.w.Submit(job) {
							u.expectEnd(job.ID)
						}
					})
				}
			}, func() string {
				if len(ids) < 2 {
					return "cancelled jobs on machines that hang"
				}
				return ""
			}}
		}},
		{"a quarter of the reports arrive again after a new leader has acted", func(seed uint64) combination {
			var reports replayCounts
			kill, restart := leaderCrash()
			sc := scenario{setupFaultsEnd: true, setup: func(w *simulator.World) {
				for _, n := range w.NodeFaults {
					reports.observe(n, wire.ReportPath)
				}
				duplicateReports(0.25)(w)
			}, actions: []action{{40 * s, kill}, {40*s + 300*ms, restart}, {65 * s, kill}, {65*s + 300*ms, restart}, {100 * s, duplicateReports(0)}}}
			return combination{sc, smallJobsWorkload, func() string {
				if reports.executed < 20 {
					return "copies of reports"
				}
				return ""
			}}
		}},
	} {
		for n, budget := range stateBudgets {
			t.Run(c.name+"/"+budget.name, func(t *testing.T) {
				t.Parallel()
				seed := raceSeeds[n]
				m := c.build(seed)
				m.seed = seed
				runScenario(t, m.scenario, budget.platform(), machineTypes[:1], m.jobs)
				if m.missing != nil {
					if what := m.missing(); what != "" {
						t.Errorf("the scenario lacks %s", what)
					}
				}
			})
		}
	}
}
