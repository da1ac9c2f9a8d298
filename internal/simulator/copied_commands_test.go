package simulator_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"testing"
	"time"

	"aspenstall/internal/config"
	"aspenstall/internal/simulator"
	"aspenstall/internal/wire"
)

var copiedCommandRuns = flag.Int("copies", 4, "how many random scenarios TestRandomCopiedCommands runs")

const (
	earliestCopy = 500 * time.Millisecond
	latestCopy   = 90 * time.Second
)

// copyCommands returns an action that makes copies of a share of the direct commands arrive again,
// although the commands are executed and answered. A share of 0 ends it.
func copyCommands(share float64, latest time.Duration) func(*simulator.World) {
	return func(w *simulator.World) { duplicateRequests(w.WorkerFaults, share, earliestCopy, latest) }
}

// duplicateRequests makes copies of a share of the requests arrive again after a time between two limits.
func duplicateRequests(faults *simulator.Faults, share float64, earliest, latest time.Duration) {
	faults.Update(func(f *simulator.Faults) {
		f.Duplicate, f.LateDelay, f.LateJitter = share, earliest, latest-earliest
	})
}

// copyRequests returns the actions of a fault in which copies of a share of the requests to a service
// arrive again.
func copyRequests(of func(*simulator.World) *simulator.Faults) func(*rand.Rand, time.Duration) []action {
	set := func(share float64) func(*simulator.World) {
		return func(w *simulator.World) { duplicateRequests(of(w), share, earliestCopy, earliestCopy+30*time.Second) }
	}
	return func(r *rand.Rand, at time.Duration) []action {
		return []action{{at, set(0.1 + 0.9*r.Float64())}, {at + randomDuration(r, 10, 40), set(0)}}
	}
}

// copyCounter counts the copies of direct commands that arrived at machines, by the status of their
// answer.
type copyCounter struct{ byStatus map[int]int }

// observe makes the counter count all copies. Its map may be read when the scenario is over.
func (c *copyCounter) observe(w *simulator.World) {
	c.byStatus = map[int]int{}
	w.WorkerFaults.OnRepeated = func(path string, status int) {
		if path == wire.CommandsPath {
			c.byStatus[status]++
		}
	}
}

// repeatEvery returns n actions, the first at a time and the others each an interval later.
func repeatEvery(at, interval time.Duration, n int, do func(*simulator.World)) []action {
	var actions []action
	for i := range n {
		actions = append(actions, action{at + time.Duration(i)*interval, do})
	}
	return actions
}

// noticeEveryThird gives every third machine a spot notice, so that its tasks are moved.
func noticeEveryThird(w *simulator.World) {
	for i, k := range w.Cloud.Workers() {
		if i%3 == 0 {
			k.SetSpotNotice(20)
		}
	}
}

// failEveryThird makes all tasks fail that start on every third machine.
func failEveryThird(w *simulator.World) {
	for i, k := range w.Cloud.Workers() {
		if i%3 == 0 {
			k.SetFailsTasks()
		}
	}
}

// restartLeaderWithin returns an action that kills the leader and starts it again after a pause.
func restartLeaderWithin(pause time.Duration) func(*simulator.World) {
	return func(w *simulator.World) {
		leader := max(w.Leader(), 0)
		w.Kill(leader)
		time.Sleep(pause)
		w.StartNode(leader)
	}
}

// hangWorkersFor returns an action that lets every second machine hang for a while.
func hangWorkersFor(d time.Duration) func(*simulator.World) {
	return func(w *simulator.World) {
		var hung []*simulator.Worker
		for i, k := range w.Cloud.Workers() {
			if i%2 == 0 {
				k.SetHung(true)
				hung = append(hung, k)
			}
		}
		time.Sleep(d)
		for _, k := range hung {
			k.SetHung(false)
		}
	}
}

// cancelledWorkload submits arrays and services that are cancelled soon after their tasks started.
func cancelledWorkload(_ *testing.T, u *users) {
	for i := range 24 {
		job := array(100+i, 4, 300)
		if i%3 == 0 {
			job = service(300+i, 3)
		}
		u.after(time.Duration(4*i)*time.Second, func() {
			if u.w.Submit(job) {
				u.expectState(job.ID, "running")
				time.Sleep(3 * time.Second)
				u.w.Cancel(job.ID)
			}
		})
	}
}

// TestCopyOfAnsweredStart guards against a copy of an executed and answered start command that runs a
// finished, failed, moved or cancelled task again.
func TestCopyOfAnsweredStart(t *testing.T) {
	const s, ms = time.Second, time.Millisecond
	small := func() (config.Platform, []simulator.MachineType) { return platform(), machineTypes }
	for i, c := range []struct {
		name     string
		platform func() (config.Platform, []simulator.MachineType)
		jobs     func(*testing.T, *users)
		actions  []action
	}{
		{"tasks complete", small, mixedWorkload, nil},
		{"tasks fail and run elsewhere", small, mixedWorkload, repeatEvery(20*s, 15*s, 5, failEveryThird)},
		{"tasks are moved from drained machines", small, mixedWorkload, repeatEvery(25*s, 20*s, 4, noticeEveryThird)},
		{"jobs are cancelled", small, cancelledWorkload, nil},
		{"gangs and reclaimed tasks", wholeMachinePlatform, gangWorkload, repeatEvery(40*s, 25*s, 3, noticeEveryThird)},
		{"a controller is back within a second", small, mixedWorkload, repeatEvery(25*s, 12*s, 6, restartLeaderWithin(300*ms))},
		{"machines are back within a second", small, mixedWorkload, repeatEvery(20*s, 6*s, 12, hangWorkersFor(700*ms))},
		{"tasks fail while the state service refuses the leader, then everybody", small, mixedWorkload, []action{
			{30 * s, failEveryThird}, {30 * s, refuseLeader}, {34 * s, setStateDown(true)}, {80 * s, setStateDown(false)}, {81 * s, refuseNobody},
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			copies := &copyCounter{}
			refused := 0
			sc := scenario{seed: uint64(900 + i), setup: func(w *simulator.World) { copies.observe(w); copyCommands(1, latestCopy)(w) }, actions: c.actions}
			p, types := c.platform()
			runScenario(t, sc, p, types, func(t *testing.T, u *users) {
				c.jobs(t, u)
				u.after(0, func() {
					time.Sleep(6 * time.Minute)
					refused = u.w.ForgottenStartsRefused()
				})
			})
			t.Logf("copies by status: %v; %d would have started a forgotten attempt", copies.byStatus, refused)
			if copies.byStatus[http.StatusOK] == 0 {
				t.Error("no copy was executed")
			}
			if refused == 0 {
				t.Error("no copy arrived after its attempt was forgotten")
			}
		})
	}
}

// refuseLeader makes the state service refuse the leader.
func refuseLeader(w *simulator.World) { setStateRefused(w, max(w.Leader(), 0), true) }

// refuseNobody makes the state service serve all controllers again.
func refuseNobody(w *simulator.World) {
	for i := range w.Nodes {
		setStateRefused(w, i, false)
	}
}

// TestRandomCopiedCommands runs random scenarios, by seed, in which copies of answered commands arrive
// up to 90 s late beside one or two other faults, with work in three zones or with gangs and cancelled
// jobs. The long form, outside CI:
//
//	go test ./internal/simulator -run TestRandomCopiedCommands -copies 500
func TestRandomCopiedCommands(t *testing.T) {
	const s, ms = time.Second, time.Millisecond
	others := []faultKind{
		{"tasks fail", func(_ *rand.Rand, at time.Duration) []action { return repeatEvery(at, 10*s, 3, failEveryThird) }},
		{"machines drain", func(_ *rand.Rand, at time.Duration) []action { return repeatEvery(at, 15*s, 3, noticeEveryThird) }},
		{"controllers restart within a second", func(r *rand.Rand, at time.Duration) []action {
			return repeatEvery(at, 8*s, 2+r.IntN(4), restartLeaderWithin(time.Duration(1+r.IntN(900))*ms))
		}},
		{"machines hang", func(r *rand.Rand, at time.Duration) []action {
			return repeatEvery(at, 15*s, 2, hangWorkersFor(time.Duration(200+r.IntN(8000))*ms))
		}},
		{"the state service refuses the leader", func(r *rand.Rand, at time.Duration) []action {
			return []action{{at, refuseLeader}, {at + randomDuration(r, 5, 60), refuseNobody}}
		}},
	}
	others = slices.Concat(others, combinationFaults, raceFaults, partitionFaults)
	others = append(others,
		faultKind{"copies of requests to the state service", copyRequests(func(w *simulator.World) *simulator.Faults { return w.StateFaults })},
		faultKind{"copies of requests to the cloud", copyRequests(func(w *simulator.World) *simulator.Faults { return w.CloudFaults })})
	for seed := range *copiedCommandRuns {
		r := rand.New(rand.NewPCG(uint64(seed), 34))
		share, latest := 0.1+0.9*r.Float64(), 2*s+time.Duration(r.Int64N(int64(88*s)))
		faults := []faultKind{{fmt.Sprintf("copies of %.1f up to %v late", share, latest.Round(s)), func(_ *rand.Rand, at time.Duration) []action {
			return []action{{0, copyCommands(share, latest)}, {at + 60*s, copyCommands(0, latest)}, {at + 60*s + latest, func(*simulator.World) {}}}
		}}}
		for range 1 + r.IntN(2) {
			faults = append(faults, others[r.IntN(len(others))])
		}
		sc := randomScenario(r, seed, uint64(9000+seed), faults, 20, 60)
		t.Run(sc.name, func(t *testing.T) {
			t.Parallel()
			if seed%2 == 0 {
				runPartitionScenario(t, sc)
			} else {
				runScenario(t, sc, platform(), machineTypes, mixedWorkload)
			}
		})
	}
}
