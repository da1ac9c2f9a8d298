package core

import (
	"fmt"
	"strings"
	"testing"
)

// TestGang: all or none, one attempt, and a stopped task stops its gang.
func TestGang(t *testing.T) {
	spec := JobSpec{ID: "job-1", Kind: Gang, Tasks: 6, Request: Resources{2000, 0, 1000}}
	setup := func(t *testing.T) (*world, []*fakeWorker) {
		w := newWorld(t, Team{Name: "blue"})
		w.beginTerm(100, nil, Snapshot{})
		return w, []*fakeWorker{w.newWorker("n-1", "a").report(), w.newWorker("n-2", "b").report()}
	}
	round := func(w *world, fs []*fakeWorker) {
		for _, f := range fs {
			f.executeDirect()
			f.report()
		}
	}
	t.Run("none without room for all", func(t *testing.T) {
		w, fs := setup(t)
		big := spec
		big.Tasks = 9
		w.submit(big)
		round(w, fs)
		w.want("tasks", len(fs[0].status.Tasks)+len(fs[1].status.Tasks), 0)
	})
	t.Run("no victims unless all fit", func(t *testing.T) {
		w, fs := setup(t)
		w.submit(JobSpec{ID: "job-0", Tasks: 8, Priority: Low})
		round(w, fs)
		big := spec
		big.Tasks, big.Priority = 9, High
		w.submit(big)
		round(w, fs)
		w.want("running", len(fs[0].liveTasks())+len(fs[1].liveTasks()) > 0 && w.c.jobs["job-0"].occupying == 8, true)
		w.submit(JobSpec{ID: "job-2", Kind: Gang, Tasks: 6, Request: Resources{2000, 0, 1000}, Priority: High})
		round(w, fs)
		round(w, fs)
		w.want("gang after eviction", w.c.jobs["job-2"].running, 6)
		w.want("left", w.c.jobs["job-0"].occupying, 2)
	})
	t.Run("a plan that is dropped leaves no trace", func(t *testing.T) {
		w, fs := setup(t)
		round(w, fs)
		m := w.c.machines["n-1"]
		idle := m.idleSince
		big := spec
		big.Tasks = 9
		w.submit(big)
		w.advance(5 * Second)
		w.want("idle since, images", fmt.Sprint(m.idleSince, m.images), fmt.Sprint(idle, []cachedImage(nil)))
		w.want("another pass at once", w.c.NextStepAt() < w.now+Second, false)
	})
	t.Run("it rather waits for its image than for a fetch, but not for long", func(t *testing.T) {
		for _, c := range []struct {
			name   string
			within Micros
			frees  bool // the machine with the image falls free
			wait   Micros
			want   string
		}{
			{"falls free", 0, true, Second, "1 0"},
			{"does not", 0, false, Second, "0 0"},
			{"has not for as long as a fetch", 0, false, 9 * Second, "0 1"},
			{"there is no time to wait", 11 * Second, false, Second, "0 1"},
		} {
			w := newWorld(t, Team{Name: "blue"})
			if c.within > 0 {
				w.c.cfg.StartObjectives = map[string][]Micros{"train": {c.within}}
			}
			w.beginTerm(100, nil, Snapshot{})
			fs := []*fakeWorker{w.newWorker("n-1", "a").report()}
			w.submit(JobSpec{ID: "job-0", Tasks: 1, Request: Resources{8000, 0, 1000}, Image: "big", ImageMB: 8000})
			round(w, fs)
			fs = append(fs, w.newWorker("n-2", "a").report())
			w.submit(JobSpec{ID: "job-1", Class: "train", Kind: Gang, Tasks: 1, Request: Resources{8000, 0, 1000}, Image: "big", ImageMB: 8000, EstimatedRun: Second})
			if c.frees {
				fs[0].exitTask(0, CauseDone)
			}
			fs[0].report()
			w.advance(c.wait)
			round(w, fs)
			w.advance(Second)
			round(w, fs)
			w.want(c.name, fmt.Sprint(strings.Count(fs[0].liveTasks(), "job-1"), strings.Count(fs[1].liveTasks(), "job-1")), c.want)
		}
	})
	t.Run("a gang that borrows goes as a whole, or not at all", func(t *testing.T) {
		for _, c := range []struct {
			min  int64 // of the gang's team
			want string
		}{{0, "0 4"}, {4000, "2 0"}} {
			w := newWorld(t, Team{Name: "blue", Min: Resources{CPU: c.min}}, Team{Name: "green", Min: Resources{CPU: 16000}})
			w.beginTerm(100, nil, Snapshot{})
			fs := []*fakeWorker{w.newWorker("n-1", "a").report(), w.newWorker("n-2", "b").report()}
			w.submit(JobSpec{ID: "job-1", Kind: Gang, Tasks: 2, Request: Resources{8000, 0, 1000}})
			round(w, fs)
			w.submit(JobSpec{ID: "job-2", Kind: Gang, Tasks: 4, Request: Resources{4000, 0, 1000}, Team: "green"})
			for range 4 {
				w.advance(Second)
				round(w, fs)
			}
			w.want("running", fmt.Sprint(w.c.jobs["job-1"].running, w.c.jobs["job-2"].running), c.want)
		}
	})
	t.Run("victims in the zone where the gang fits", func(t *testing.T) {
		w, fs := setup(t)
		fs = append(fs, w.newWorker("n-3", "b").report())
		w.submit(JobSpec{ID: "job-0", Tasks: 4, Zone: "a", Priority: Low})
		w.submit(JobSpec{ID: "job-1", Tasks: 8, Zone: "b", Priority: Low, CheckpointInterval: Second, CheckpointCost: 6 * Second})
		round(w, fs)
		// The victims in zone a are cheaper, but only zone b has room for all.
		w.submit(JobSpec{ID: "job-2", Kind: Gang, Tasks: 2, Request: Resources{8000, 0, 1000}, Priority: High, OneZone: true})
		for range 3 {
			w.advance(Second)
			round(w, fs)
		}
		w.want("gang", w.c.jobs["job-2"].running, 2)
		w.want("left alone", w.c.jobs["job-0"].running, 4)
	})
	t.Run("a task that exits stops the rest, and all start again with one attempt", func(t *testing.T) {
		w, fs := setup(t)
		w.submit(spec)
		round(w, fs)
		round(w, fs)
		first := w.c.jobs["job-1"].gangAttempt
		fs[0].exitTask(0, CausePeersLost)
		for range 4 {
			w.advance(Second)
			round(w, fs)
		}
		attempts := map[uint64]int{}
		for _, f := range fs {
			for _, task := range f.status.Tasks {
				if task.State != Exited {
					attempts[task.Attempt]++
				}
			}
		}
		w.want("attempts", len(attempts) == 1 && attempts[first] == 0 && attempts[w.c.jobs["job-1"].gangAttempt] == 6, true)
	})
}

// TestGangWaits: a gang that has not started keeps what it has, and what it
// lacks is replaced with the same attempt.
func TestGangReplacesMissingTasks(t *testing.T) {
	for _, c := range []struct {
		name string
		do   func(w *world, fs []*fakeWorker) // the gang's two tasks are on n-0 and n-1
		want string                           // its tasks on n-0, n-1, n-2: f for the first attempt, n for a new one
	}{
		{"a task that waited for too long waits again", func(w *world, fs []*fakeWorker) {
			fs[0].exitTask(0, CausePeersMissing)
		}, "[f f ]"},
		{"but not for ever", func(w *world, fs []*fakeWorker) {
			for range maxWaitRetries + 1 {
				if len(fs[0].status.Tasks) > 0 {
					fs[0].exitTask(0, CausePeersMissing)
				}
				fs[0].report()
				fs[0].report()
			}
		}, "[n n ]"},
		{"the answer that says so is lost", func(w *world, fs []*fakeWorker) {
			fs[0].exitTask(0, CausePeersMissing)
			r := fs[0].status
			r.Seq++
			fs[0].status.Seq++
			w.c.HandleReport(w.now, &r)
		}, "[f f ]"},
		{"a lost machine is replaced", func(w *world, fs []*fakeWorker) {
			w.c.ReleaseResult(w.now, []string{"n-0"}, true)
			fs[0].status.Tasks = nil
		}, "[ f f]"},
		{"a machine that is taken away is replaced once its task is gone", func(w *world, fs []*fakeWorker) {
			fs[0].status.SpotNotice = 20 * Second
		}, "[ f f]"},
		{"no room for what is lacking", func(w *world, fs []*fakeWorker) {
			w.c.ReleaseResult(w.now, []string{"n-2"}, true)
			fs[0].status.SpotNotice = 20 * Second
			for range 4 {
				fs[0].report()
				fs[1].report()
				w.advance(3 * Second)
			}
		}, "[  ]"},
		{"a gang that runs starts anew", func(w *world, fs []*fakeWorker) {
			fs[0].status.Tasks[0].State, fs[1].status.Tasks[0].State = Running, Running
			fs[0].report()
			fs[1].report()
			fs[0].status.SpotNotice = 20 * Second
		}, "[ n n]"},
		{"a new leader completes it", func(w *world, fs []*fakeWorker) {
			var jobs []JobRecord
			for _, j := range w.c.jobs {
				jobs = append(jobs, j.record)
			}
			fs[0].status.Tasks = nil // it was never told
			w.beginTerm(200, jobs, Snapshot{MachineGroups: recordedMachines("n-0", "n-1", "n-2"), Started: []string{"job-1"}})
		}, "[f f ]"},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(t, Team{Name: "blue"})
			w.beginTerm(100, nil, Snapshot{})
			var fs []*fakeWorker
			for i := range 3 {
				f := w.newWorker(fmt.Sprintf("n-%d", i), "a").report()
				f.fetchesImage = true
				fs = append(fs, f)
			}
			round := func() {
				for _, f := range fs {
					if w.c.machines[f.status.Machine] != nil {
						f.executeDirect()
						f.report()
					}
				}
			}
			w.submit(JobSpec{ID: "job-1", Kind: Gang, Tasks: 2, Request: Resources{8000, 0, 1000}, OneZone: true})
			round()
			first := w.c.jobs["job-1"].gangAttempt
			for _, f := range fs[:2] {
				w.want("fetching", len(f.status.Tasks) == 1 && f.status.Tasks[0].State == Fetching, true)
				f.status.Tasks[0].State = WaitingForPeers
				f.report()
			}
			c.do(w, fs)
			for range 4 {
				w.advance(Second)
				round()
			}
			got := make([]string, len(fs))
			for i, f := range fs {
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
