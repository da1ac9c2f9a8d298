package core

import (
	"fmt"
	"testing"
)

// TestDone: a job is done only once all its tasks are, and what was finished is
// kept as ranges; exited tasks are forgotten only after that.
func TestJobCompletion(t *testing.T) {
	w := newWorld(t, Team{Name: "blue"})
	w.beginTerm(100, nil, Snapshot{})
	f := w.newWorker("n-1", "a").report()
	w.submit(JobSpec{ID: "job-1", Tasks: 4})
	f.executeDirect()
	f.report()
	w.failWrites = true
	for _, i := range []int{0, 1, 3} {
		f.exitTask(f.taskIndex("job-1", f.status.Tasks[i].Index, f.status.Tasks[i].Attempt), CauseDone)
	}
	left := f.status.Tasks[2].Index
	f.report()
	w.advance(3 * Second)
	f.report()
	w.want("kept until recorded", len(f.status.Tasks), 4)
	w.failWrites = false
	w.advance(12 * Second)
	f.report()
	rec, _ := w.puts[CompletionKey("job-1", 0, 0)].(CompletionRecord)
	want := map[int]string{0: "[1 3]", 1: "[0 0 2 3]", 2: "[0 1 3 3]", 3: "[0 2]"}[left]
	w.want("ranges", fmt.Sprint(rec.Ranges), want)
	w.want("forgotten", len(f.status.Tasks), 1)
	if _, ok := w.puts[""]; ok {
		t.Error("done before the last task")
	}
	f.exitTask(0, CauseDone)
	f.report()
	d, ok := w.puts[""].(FinalRecord)
	w.want("final record", ok && d.Record.Phase == Done, true)
	w.want("bookkeeping dropped", w.deletes[CompletionKey("job-1", 0, 0)] && w.deletes[StartedPrefix+"job-1"], true)

	// A write of ranges that gets no answer does not hold up the final record.
	w.submit(JobSpec{ID: "job-2", Tasks: 2})
	f.executeDirect()
	f.report()
	f.exitTask(0, CauseDone)
	f.report()
	w.holdPrefix = CompletionPrefix
	w.advance(11 * Second)
	f.exitTask(1, CauseDone)
	delete(w.puts, "")
	f.report()
	_, ok = w.puts[""]
	w.want("final record while ranges wait", ok, true)
	for _, id := range w.heldWrites {
		w.c.WriteResult(w.now, id, WriteRefused)
	}
	w.advance(3 * Second)
	f.report()
	w.want("forgotten", len(w.heldWrites) > 0 && len(f.status.Tasks) == 0, true)

	// A new leader takes the ranges over and runs only the rest.
	spec := JobSpec{ID: "job-9", Team: "blue", Tasks: 20, Request: Resources{1000, 0, 1000}, Image: "im"}
	w2 := newWorld(t, Team{Name: "blue"})
	w2.beginTerm(200, []JobRecord{{Spec: spec, Revision: 3}}, Snapshot{Completions: []CompletionRecord{{CompletionKey("job-9", 0, 0), "job-9", 0, []int{0, 14}}, {CompletionKey("job-9", 1, 0), "job-9", 1, []int{1, 2}}}, Started: []string{"job-9"}})
	w2.want("left", w2.c.jobs["job-9"].pending, 3)
	// What is left of jobs that are over is dropped.
	w2.beginTerm(300, nil, Snapshot{Completions: []CompletionRecord{{CompletionKey("job-9", 0, 0), "job-9", 0, nil}}, Started: []string{"job-9"}})
	w2.want("dropped", w2.deletes[CompletionKey("job-9", 0, 0)] && w2.deletes[StartedPrefix+"job-9"], true)
}

// TestFaults: machines that fail several jobs are emptied and returned; a job
// that fails everywhere backs off and evicts nobody.
func TestFailingMachinesAndJobs(t *testing.T) {
	t.Run("quarantine", func(t *testing.T) {
		w := newWorld(t, Team{Name: "blue"})
		w.beginTerm(100, nil, Snapshot{})
		f := w.newWorker("n-1", "a").report()
		w.submit(JobSpec{ID: "job-1", Tasks: 1})
		w.submit(JobSpec{ID: "job-2", Tasks: 1})
		f.executeDirect()
		f.report()
		f.exitTask(0, CauseError)
		f.exitTask(1, CauseError)
		f.report()
		w.advance(Second)
		f.report()
		w.advance(2 * Second)
		w.want("returned", len(w.releases) == 1 && w.releases[0].Reason == "drained", true)
	})
	t.Run("job that fails everywhere", func(t *testing.T) {
		w := newWorld(t, blue, green)
		w.beginTerm(100, nil, Snapshot{})
		var fs []*fakeWorker
		for i := range 3 {
			fs = append(fs, w.newWorker(fmt.Sprintf("n-%d", i), "a").report())
		}
		w.submit(JobSpec{ID: "job-1", Team: "green", Tasks: 1})
		for range 12 {
			w.advance(Second / 2)
			for _, f := range fs {
				f.executeDirect()
				for i := range f.status.Tasks {
					if f.status.Tasks[i].State != Exited {
						f.exitTask(i, CauseError)
					}
				}
				f.report()
			}
		}
		j := w.c.jobs["job-1"]
		w.want("machines it failed on", len(j.failedOn), 3)
		w.want("backs off", j.notBefore > w.now, true)
		w.want("no machine is blamed for one job", len(w.releases), 0)
		w.submit(JobSpec{ID: "job-2", Tasks: 6})
		for range 3 {
			for _, f := range fs {
				f.executeDirect()
				f.report()
			}
		}
		w.want("borrowers stay", w.c.planReclaim(j, Resources{}, w.now, "", &reclaimPlan{}) == nil, true)
	})
}

func TestCompletedRanges(t *testing.T) {
	for _, c := range []struct {
		done []int
		want string
	}{
		{nil, "[]"}, {[]int{0}, "[0 0]"}, {[]int{0, 1, 2, 5}, "[0 2 5 5]"}, {[]int{15, 16, 17}, "[15 15]"},
	} {
		j := newJob(JobRecord{Spec: JobSpec{Tasks: 20}}, 0)
		for _, i := range c.done {
			j.setStatus(i, taskDone)
		}
		if got := fmt.Sprint(j.completedRanges(0, 16)); got != c.want {
			t.Errorf("%v: got %s, want %s", c.done, got, c.want)
		}
	}
}
