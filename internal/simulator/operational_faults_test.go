package simulator_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"aspenstall/internal/simulator"
)

var randomFaultRuns = flag.Int("nights", 8, "how many random scenarios TestRandomFaultScenarios runs")

// operationalFaults are the faults and loads that TestRandomFaultScenarios combines. actions returns
// what happens from the given time on; workload submits jobs or requests from then on, besides the
// usual work.
var operationalFaults = []struct {
	name     string
	actions  func(r *rand.Rand, at time.Duration) []action
	workload func(r *rand.Rand, u *users, at time.Duration)
}{
	{name: "machines boot late or never", actions: func(r *rand.Rand, at time.Duration) []action {
		never, factor := r.IntN(4), 1+4*r.Float64()
		return []action{{at, func(w *simulator.World) {
			w.Cloud.SetBootFactor(func(n int) float64 {
				if n%4 < never {
					return 0
				}
				return factor
			})
		}}, {at + randomDuration(r, 30, 90), func(w *simulator.World) { w.Cloud.SetBootFactor(nil) }}}
	}},
	{name: "controllers frozen for a minute", actions: func(r *rand.Rand, at time.Duration) []action {
		count, frozen := r.IntN(4), map[int]bool{} // frozen nodes; often all three
		return []action{{at, func(w *simulator.World) {
			frozen[max(w.Leader(), 0)] = true
			for i := range min(count, 3) {
				frozen[i] = true
			}
			for i := range frozen {
				w.Freeze(i, true)
			}
		}}, {at + randomDuration(r, 60, 90), func(w *simulator.World) {
			for i := range frozen {
				w.Freeze(i, false)
			}
		}}}
	}},
	{name: "leader frozen for seconds", actions: func(r *rand.Rand, at time.Duration) []action {
		c := &activeFaults{}
		return []action{{at, c.freezeLeader}, {at + randomDuration(r, 2, 12), c.unfreezeNode}}
	}},
	{name: "leader crashes repeatedly and restarts at once", actions: func(r *rand.Rand, at time.Duration) []action {
		var actions []action
		for range 1 + r.IntN(6) {
			killed := 0
			actions = append(actions, action{at, func(w *simulator.World) { killed = max(w.Leader(), 0); w.Kill(killed) }},
				action{at + time.Duration(1+r.IntN(300))*time.Millisecond, func(w *simulator.World) { w.StartNode(killed) }})
			at += time.Duration(301+r.IntN(4000)) * time.Millisecond
		}
		return actions
	}},
	{name: "machines fail every task", actions: func(r *rand.Rand, at time.Duration) []action {
		return []action{{at, func(w *simulator.World) {
			for i, k := range w.Cloud.Workers() {
				if i%4 == 0 {
					k.SetFailsTasks()
				}
			}
		}}}
	}},
	{name: "jobs that always fail", workload: func(r *rand.Rand, u *users, at time.Duration) {
		for i := range 3 {
			job := array(800+i, 1+r.IntN(30), 10)
			job.Broken = true
			after := randomDuration(r, 20, 60)
			u.after(at, func() {
				if u.w.Submit(job) {
					time.Sleep(after)
					u.w.Cancel(job.ID)
				}
			})
		}
	}},
	{name: "users poll continuously", workload: func(r *rand.Rand, u *users, at time.Duration) {
		for i := range 40 {
			id := []string{"job-000500", "job-000600", "job-999999"}[i%3]
			u.after(at, func() {
				for range 300 {
					u.w.Poll(id)
					time.Sleep(100 * time.Millisecond)
				}
			})
		}
	}},
	{name: "guests", workload: func(r *rand.Rand, u *users, at time.Duration) {
		guest := func(id, tasks int, run float64) {
			job := array(id, tasks, run)
			job.Team, job.Class, job.Urgency, job.CPUs, job.DueS = "guest", "visit", "idle", 0.25, nil
			u.after(at, func() { u.runToDone(job) })
			at += 50 * time.Millisecond
		}
		switch r.IntN(3) {
		case 0: // a few long arrays
			for i := range 3 {
				guest(900+i, 60, 60)
			}
		case 1: // one very large array
			guest(900, 3000, 2)
		case 2: // many jobs of a single task
			for i := range 150 {
				guest(900+i, 1, 15)
			}
		}
	}},
}

// TestRandomFaultScenarios runs random scenarios, by seed, in which two to four of operationalFaults
// begin in the same minute. No invariant may be violated, and all work must be done, also that of
// the team without a guarantee. The long form, outside CI:
//
//	go test ./internal/simulator -run TestRandomFaultScenarios -nights 500
func TestRandomFaultScenarios(t *testing.T) {
	for seed := range *randomFaultRuns {
		r := rand.New(rand.NewPCG(uint64(seed), 31))
		sc := scenario{seed: uint64(4000 + seed)}
		var names []string
		var jobs []func(u *users)
		for _, k := range r.Perm(len(operationalFaults))[:2+r.IntN(3)] {
			kind, at := operationalFaults[k], randomDuration(r, 25, 75)
			names = append(names, kind.name)
			if kind.actions != nil {
				sc.actions = append(sc.actions, kind.actions(r, at)...)
			}
			if kind.workload != nil {
				jobs = append(jobs, func(u *users) { kind.workload(r, u, at) })
			}
		}
		slices.Sort(names)
		sc.name = fmt.Sprintf("%d %s", seed, strings.Join(names, ", "))
		t.Run(sc.name, func(t *testing.T) {
			p := platform()
			p.Params.Teams = p.Params.Teams[:1] // blue
			addTeam(&p, "green", 100, 200, 0, 0)
			addTeam(&p, "guest", 0, 0, 0, 0)
			runScenario(t, sc, p, machineTypes[:1], func(t *testing.T, u *users) {
				threeZoneWorkload(t, u)
				for _, f := range jobs {
					f(u)
				}
			})
		})
	}
}
