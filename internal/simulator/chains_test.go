package simulator_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"aspenstall/internal/simulator"
)

// after returns the job as one that waits for others.
func after(job simulator.Spec, dependencies ...simulator.Spec) simulator.Spec {
	for _, d := range dependencies {
		job.Awaits = append(job.Awaits, d.ID)
	}
	return job
}

// TestChains checks jobs that wait for others: a chain, a diamond with a gang and a service at its end,
// and chains of which a job is cancelled, with faults at the moments that matter. The checker reports a
// task that starts before its dependencies are done (too_early), and a dependent of a cancelled job that
// is called pending later than cancel_s (orphaned).
func TestChains(t *testing.T) {
	const s = time.Second
	for n, c := range []struct {
		name    string
		actions []action
	}{
		{"no faults", nil},
		{"the leader ends as jobs get ready", []action{{28 * s, killLeader}, {34 * s, startAllNodes}, {46 * s, killLeader}, {50 * s, startAllNodes}}},
		{"all controllers end", []action{{30 * s, killAllNodes}, {36 * s, startAllNodes}, {60 * s, killAllNodes}, {64 * s, startAllNodes}}},
		{"the state service is out", []action{
			{29 * s, func(w *simulator.World) { w.StateFaults.Update(func(f *simulator.Faults) { f.Down = true }) }},
			{49 * s, func(w *simulator.World) {
				w.StateFaults.Update(func(f *simulator.Faults) { f.Down = false })
				w.State.RenewLeases()
			}},
		}},
		{"transactions are late and lost", []action{
			{20 * s, func(w *simulator.World) {
				w.StateFaults.Update(func(f *simulator.Faults) {
					f.LoseResponse, f.ExecuteLate, f.LateDelay, f.LateJitter = 0.1, 0.1, 2*time.Second, 10*time.Second
				})
			}},
			{80 * s, func(w *simulator.World) {
				w.StateFaults.Update(func(f *simulator.Faults) { f.LoseResponse, f.ExecuteLate = 0, 0 })
			}},
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			runScenario(t, scenario{name: c.name, seed: uint64(70 + n), actions: c.actions}, platform(), machineTypes, playChains)
		})
	}
}

// killLeader ends the leader's process.
func killLeader(w *simulator.World) {
	if i := w.Leader(); i >= 0 {
		w.Kill(i)
	}
}

// playChains submits chains of jobs, cancels some of them, and expects the others to be done.
func playChains(_ *testing.T, u *users) {
	const s = time.Second
	w := u.w
	u.after(15*s, func() { // a chain
		first := array(500, 4, 8)
		second := after(array(501, 2, 5), first)
		third := after(array(502, 3, 5), second)
		for _, job := range []simulator.Spec{first, second, third} {
			w.Submit(job)
		}
		u.expectState(third.ID, "done")
		u.runToDone(after(array(503, 1, 2), first, third)) // all that it names is done
	})
	u.after(16*s, func() { // a diamond, whose end is a gang, and a service behind it
		top := array(510, 2, 6)
		left, right := after(array(511, 1, 4), top), after(array(512, 2, 9), top)
		bottom := after(gang(513, 2, 5), left, right)
		behind := after(service(514, 1), bottom)
		for _, job := range []simulator.Spec{top, left, right, bottom, behind} {
			w.Submit(job)
		}
		u.expectState(bottom.ID, "done")
		u.expectState(behind.ID, "running")
	})
	u.after(17*s, func() { // the first of a chain is cancelled while it runs
		first := array(520, 2, 300)
		second := after(array(521, 1, 2), first)
		third := after(array(522, 1, 2), second)
		for _, job := range []simulator.Spec{first, second, third} {
			w.Submit(job)
		}
		time.Sleep(12 * s)
		w.Cancel(first.ID)
		u.expectState(third.ID, "aborted")
		late := after(array(523, 1, 2), second) // accepted, and cancelled
		if !w.Submit(late) {
			w.ReportViolation("a job that names a cancelled one was not accepted")
		}
		u.expectState(late.ID, "aborted")
	})
	u.after(18*s, func() { // a cancellation that meets the end of the job: its dependent follows the answer
		first := array(530, 1, 10)
		second := after(array(531, 1, 2), first)
		w.Submit(first)
		w.Submit(second)
		ended := make(chan struct{})
		w.OnLastTaskDone(func(id string) {
			if id == first.ID {
				close(ended)
			}
		})
		<-ended
		if state := w.Cancel(first.ID); state != "" {
			u.expectState(second.ID, state)
		}
	})
}

// chainRuns is the number of random scenarios of TestRandomChains.
var chainRuns = flag.Int("chains", 3, "the number of random scenarios with chains of jobs")

// TestRandomChains runs random scenarios, by seed, in which two or three faults begin in the same half
// minute while users submit random chains of jobs and cancel some. The long form, outside CI:
//
//	go test ./internal/simulator -run TestRandomChains -chains 500
func TestRandomChains(t *testing.T) {
	kinds := slices.Concat(combinationFaults, raceFaults, partitionFaults)
	for seed := range *chainRuns {
		random := rand.New(rand.NewPCG(uint64(seed), 35))
		var faults []faultKind
		for _, k := range random.Perm(len(kinds))[:2+random.IntN(2)] {
			faults = append(faults, kinds[k])
		}
		sc := randomScenario(random, seed, uint64(8000+seed), faults, 40, 70)
		t.Run(sc.name, func(t *testing.T) { runScenario(t, sc, platform(), machineTypes, randomChains) })
	}
}

// randomChains submits random chains of jobs. Each job waits for one or two earlier ones of its chain; a
// job of every third chain is cancelled at a random time.
func randomChains(_ *testing.T, u *users) {
	for chain := range 8 {
		jobs := make([]simulator.Spec, 2+u.random.IntN(5))
		for n := range jobs {
			id := 1000 + 10*chain + n
			jobs[n] = array(id, 1+u.random.IntN(4), 2+12*u.random.Float64())
			if u.random.IntN(5) == 0 {
				jobs[n] = gang(id, 2, 2+8*u.random.Float64())
			}
			if n > 0 {
				jobs[n] = after(jobs[n], jobs[n-1])
			}
			if n > 1 && u.random.IntN(2) == 0 {
				jobs[n] = after(jobs[n], jobs[u.random.IntN(n-1)])
			}
		}
		cancelled, cancelAfter := -1, time.Duration(u.random.IntN(40))*time.Second
		if chain%3 == 0 {
			cancelled = u.random.IntN(len(jobs))
		}
		u.afterRandom(70, func() {
			for n, job := range jobs {
				if !u.w.Submit(job) {
					return
				}
				if n == cancelled {
					u.after(cancelAfter, func() { u.w.Cancel(job.ID) })
				}
			}
			u.expectState(jobs[len(jobs)-1].ID, "done")
		})
	}
}

// TestUnknownDependencies checks that a submission that names a job which was never accepted is refused
// with 422 by every node, also by one that has just started, and is accepted once that job is; and that
// lists which can't be right are refused with 400.
func TestUnknownDependencies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := simulator.NewWorld(71, platform(), machineTypes)
		defer w.Close()
		startAllNodes(w)
		time.Sleep(15 * time.Second)
		first, web := array(1, 1, 300), service(2, 1)
		for _, c := range []struct {
			awaits []string
			want   int
		}{
			{[]string{first.ID}, http.StatusUnprocessableEntity},
			{[]string{"job-000900"}, http.StatusBadRequest}, // itself
			{[]string{"job-1", "job-1"}, http.StatusBadRequest},
			{[]string{"first"}, http.StatusBadRequest},
		} {
			for node := range 3 {
				job := array(900, 1, 1)
				job.Awaits = c.awaits
				if got := w.PostJob(node, &job); got != c.want {
					t.Errorf("node %d answers a job that waits for %v with %d, want %d", node, c.awaits, got, c.want)
				}
			}
		}
		w.Submit(first)
		w.Submit(web)
		w.Kill(1)
		w.StartNode(1)
		time.Sleep(2 * time.Second)
		for node := range 3 {
			job := after(array(910+node, 1, 1), first)
			if got := w.PostJob(node, &job); got != http.StatusCreated {
				t.Errorf("node %d answers a job that waits for a known one with %d", node, got)
			}
			job = after(array(920+node, 1, 1), web)
			if got := w.PostJob(node, &job); got != http.StatusUnprocessableEntity {
				t.Errorf("node %d answers a job that waits for a service with %d", node, got)
			}
			job = array(910+node, 1, 1)
			job.Awaits = []string{"job-000999"}
			if got := w.PostJob((node+1)%3, &job); got != http.StatusOK {
				t.Errorf("a repeated submission with another list is answered %d", got)
			}
		}
		time.Sleep(30 * time.Second)
		for _, v := range w.Violations() {
			t.Error(fmt.Sprint(v))
		}
	})
}
