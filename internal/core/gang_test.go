package core

import (
	"fmt"
	"strings"
	"testing"
)

// TestGang checks that all tasks of a gang are placed or none, that they share one attempt, and
// that a stopped task stops its gang.
func TestGang(t *testing.T) {
	spec := JobSpec{ID: "job-1", Kind: Gang, Tasks: 6, Resources: Resources{2000, 0, 1000}}
	setup := func(t *testing.T) (*world, []*fakeWorker) {
		w := newWorld(t, Team{Name: "blue"})
		w.beginTerm(100, nil, Snapshot{})
		return w, []*fakeWorker{w.newWorker("n-1", "a").report(), w.newWorker("n-2", "b").report()}
	}
	round := func(w *world, workers []*fakeWorker) {
		for _, f := range workers {
			f.executeDirect()
			f.report()
		}
	}
	t.Run("no task is placed without room for all", func(t *testing.T) {
		w, workers := setup(t)
		big := spec
		big.Tasks = 9
		w.submit(big)
		round(w, workers)
		w.want("tasks", len(workers[0].status.Tasks)+len(workers[1].status.Tasks), 0)
	})
	t.Run("no victims unless all tasks fit", func(t *testing.T) {
		w, workers := setup(t)
		w.submit(JobSpec{ID: "job-0", Tasks: 8, Priority: Low})
		round(w, workers)
		big := spec
		big.Tasks, big.Priority = 9, High
		w.submit(big)
		round(w, workers)
		w.want("running", len(workers[0].liveTasks())+len(workers[1].liveTasks()) > 0 && w.c.jobs["job-0"].occupying == 8, true)
		w.submit(JobSpec{ID: "job-2", Kind: Gang, Tasks: 6, Resources: Resources{2000, 0, 1000}, Priority: High})
		round(w, workers)
		round(w, workers)
		w.want("gang after eviction", w.c.jobs["job-2"].running, 6)
		w.want("left", w.c.jobs["job-0"].occupying, 2)
	})
	t.Run("a plan that is dropped leaves no trace", func(t *testing.T) {
		w, workers := setup(t)
		round(w, workers)
		m := w.c.machines["n-1"]
		idle := m.idleSince
		big := spec
		big.Tasks = 9
		w.submit(big)
		w.advance(5 * Second)
		w.want("idle since, images", fmt.Sprint(m.idleSince, m.images), fmt.Sprint(idle, []cachedImage(nil)))
		w.want("another pass at once", w.c.NextStepAt() < w.now+Second, false)
	})
	t.Run("a gang waits for machines with its image rather than for a fetch, but not for long", func(t *testing.T) {
		for _, c := range []struct {
			name   string
			within Micros
			frees  bool // the machine with the image becomes free
			wait   Micros
			want   string
		}{
			{"the machine becomes free", 0, true, Second, "1 0"},
			{"the machine stays in use", 0, false, Second, "0 0"},
			{"the machine stays in use for as long as a fetch takes", 0, false, 9 * Second, "0 1"},
			{"there is no time to wait", 11 * Second, false, Second, "0 1"},
		} {
			w := newWorld(t, Team{Name: "blue"})
			if c.within > 0 {
				w.c.cfg.StartObjectives = map[string][]Micros{"train": {c.within}}
			}
			w.beginTerm(100, nil, Snapshot{})
			workers := []*fakeWorker{w.newWorker("n-1", "a").report()}
			w.submit(JobSpec{ID: "job-0", Tasks: 1, Resources: Resources{8000, 0, 1000}, Image: "big", ImageMB: 8000})
			round(w, workers)
			workers = append(workers, w.newWorker("n-2", "a").report())
			w.submit(JobSpec{ID: "job-1", Class: "train", Kind: Gang, Tasks: 1, Resources: Resources{8000, 0, 1000}, Image: "big", ImageMB: 8000, EstimatedRun: Second})
			if c.frees {
				workers[0].exitTask(0, CauseDone)
			}
			workers[0].report()
			w.advance(c.wait)
			round(w, workers)
			w.advance(Second)
			round(w, workers)
			w.want(c.name, fmt.Sprint(strings.Count(workers[0].liveTasks(), "job-1"), strings.Count(workers[1].liveTasks(), "job-1")), c.want)
		}
	})
	t.Run("a gang that borrows is evicted as a whole, or not at all", func(t *testing.T) {
		for _, c := range []struct {
			min  int64 // of the gang's team
			want string
		}{{0, "0 4"}, {4000, "2 0"}} {
			w := newWorld(t, Team{Name: "blue", Min: Resources{CPU: c.min}}, Team{Name: "green", Min: Resources{CPU: 16000}})
			w.beginTerm(100, nil, Snapshot{})
			workers := []*fakeWorker{w.newWorker("n-1", "a").report(), w.newWorker("n-2", "b").report()}
			w.submit(JobSpec{ID: "job-1", Kind: Gang, Tasks: 2, Resources: Resources{8000, 0, 1000}})
			round(w, workers)
			w.submit(JobSpec{ID: "job-2", Kind: Gang, Tasks: 4, Resources: Resources{4000, 0, 1000}, Team: "green"})
			for range 4 {
				w.advance(Second)
				round(w, workers)
			}
			w.want("running", fmt.Sprint(w.c.jobs["job-1"].running, w.c.jobs["job-2"].running), c.want)
		}
	})
	t.Run("victims in the zone where the gang fits", func(t *testing.T) {
		w, workers := setup(t)
		workers = append(workers, w.newWorker("n-3", "b").report())
		w.submit(JobSpec{ID: "job-0", Tasks: 4, Zone: "a", Priority: Low})
		w.submit(JobSpec{ID: "job-1", Tasks: 8, Zone: "b", Priority: Low, CheckpointInterval: Second, CheckpointCost: 6 * Second})
		round(w, workers)
		// The victims in zone a cost less, but only zone b has room for all tasks.
		w.submit(JobSpec{ID: "job-2", Kind: Gang, Tasks: 2, Resources: Resources{8000, 0, 1000}, Priority: High, OneZone: true})
		for range 3 {
			w.advance(Second)
			round(w, workers)
		}
		w.want("gang", w.c.jobs["job-2"].running, 2)
		w.want("tasks in the other zone", w.c.jobs["job-0"].running, 4)
	})
	t.Run("a task that exits stops the rest, and all start again with one attempt", func(t *testing.T) {
		w, workers := setup(t)
		w.submit(spec)
		round(w, workers)
		round(w, workers)
		first := w.c.jobs["job-1"].gangAttempt
		workers[0].exitTask(0, CausePeersLost)
		for range 4 {
			w.advance(Second)
			round(w, workers)
		}
		attempts := map[uint64]int{}
		for _, f := range workers {
			for _, task := range f.status.Tasks {
				if task.State != Exited {
					attempts[task.Attempt]++
				}
			}
		}
		w.want("attempts", len(attempts) == 1 && attempts[first] == 0 && attempts[w.c.jobs["job-1"].gangAttempt] == 6, true)
	})
}

// TestGangReplacesMissingTasks checks that a gang that has not started keeps its placements and
// that missing tasks are replaced with the same attempt.
func TestGangReplacesMissingTasks(t *testing.T) {
	for _, c := range []struct {
		name string
		do   func(w *world, workers []*fakeWorker) // the gang's two tasks are on n-0 and n-1
		want string                                // the gang's tasks on n-0, n-1 and n-2; f: first attempt, n: new attempt
	}{
		{"a task that waited for too long waits again", func(w *world, workers []*fakeWorker) {
			workers[0].exitTask(0, CausePeersMissing)
		}, "[f f ]"},
		{"a task does not wait again for ever", func(w *world, workers []*fakeWorker) {
			for range maxWaitRetries + 1 {
				if len(workers[0].status.Tasks) > 0 {
					workers[0].exitTask(0, CausePeersMissing)
				}
				workers[0].report()
				workers[0].report()
			}
		}, "[n n ]"},
		{"the answer that restarts the task is lost", func(w *world, workers []*fakeWorker) {
			workers[0].exitTask(0, CausePeersMissing)
			r := workers[0].status
			r.Seq++
			workers[0].status.Seq++
			w.c.HandleReport(w.now, &r)
		}, "[f f ]"},
		{"a lost machine is replaced", func(w *world, workers []*fakeWorker) {
			w.c.HandleReleaseResult(w.now, []string{"n-0"}, true)
			workers[0].status.Tasks = nil
		}, "[ f f]"},
		{"a machine with a spot notice is replaced once its task is gone", func(w *world, workers []*fakeWorker) {
			workers[0].status.SpotNotice = 20 * Second
		}, "[ f f]"},
		{"no room for the missing task", func(w *world, workers []*fakeWorker) {
			w.c.HandleReleaseResult(w.now, []string{"n-2"}, true)
			workers[0].status.SpotNotice = 20 * Second
			for range 4 {
				workers[0].report()
				workers[1].report()
				w.advance(3 * Second)
			}
		}, "[  ]"},
		{"a running gang restarts with a new attempt", func(w *world, workers []*fakeWorker) {
			workers[0].status.Tasks[0].State, workers[1].status.Tasks[0].State = Running, Running
			workers[0].report()
			workers[1].report()
			workers[0].status.SpotNotice = 20 * Second
		}, "[ n n]"},
		{"a new leader completes the gang", func(w *world, workers []*fakeWorker) {
			var jobs []JobRecord
			for _, j := range w.c.jobs {
				jobs = append(jobs, j.record)
			}
			workers[0].status.Tasks = nil // the start was never delivered
			w.beginTerm(200, jobs, Snapshot{MachineGroups: recordedMachines("n-0", "n-1", "n-2"), Started: []string{"job-1"}})
		}, "[f f ]"},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(t, Team{Name: "blue"})
			w.beginTerm(100, nil, Snapshot{})
			var workers []*fakeWorker
			for i := range 3 {
				f := w.newWorker(fmt.Sprintf("n-%d", i), "a").report()
				f.fetchesImage = true
				workers = append(workers, f)
			}
			round := func() {
				for _, f := range workers {
					if w.c.machines[f.status.Machine] != nil {
						f.executeDirect()
						f.report()
					}
				}
			}
			w.submit(JobSpec{ID: "job-1", Kind: Gang, Tasks: 2, Resources: Resources{8000, 0, 1000}, OneZone: true})
			round()
			first := w.c.jobs["job-1"].gangAttempt
			for _, f := range workers[:2] {
				w.want("fetching", len(f.status.Tasks) == 1 && f.status.Tasks[0].State == Fetching, true)
				f.status.Tasks[0].State = WaitingForPeers
				f.report()
			}
			c.do(w, workers)
			for range 4 {
				w.advance(Second)
				round()
			}
			got := make([]string, len(workers))
			for i, f := range workers {
				for _, task := range f.status.Tasks {
					if task.State != Exited && task.Attempt == first {
						got[i] += "f"
					} else if task.State != Exited {
						got[i] += "n"
					}
				}
			}
			w.want("on machines", fmt.Sprint(got), c.want)
		})
	}
}
