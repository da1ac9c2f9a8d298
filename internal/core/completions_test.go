package core

import (
	"fmt"
	"testing"
)

// TestJobCompletion checks that a job is done only when all its tasks are, that completed tasks are
// recorded as ranges, and that workers forget exited tasks only after that.
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
	w.want("tasks reported until recorded", len(f.status.Tasks), 4)
	w.failWrites = false
	w.advance(12 * Second)
	w.raiseToken()
	f.report()
	rec, _ := w.puts[CompletionKey("job-1", 16, 0, 0)].(CompletionRecord)
	want := map[int]string{0: "[1 3]", 1: "[0 0 2 3]", 2: "[0 1 3 3]", 3: "[0 2]"}[left]
	w.want("ranges", fmt.Sprint(rec.Ranges), want)
	w.want("forgotten", len(f.status.Tasks), 1)
	if _, ok := w.puts[""]; ok {
		t.Error("job is done before its last task")
	}
	f.exitTask(0, CauseDone)
	f.report()
	d, ok := w.puts[""].(FinalRecord)
	w.want("final record", ok && d.Record.Phase == Done, true)
	w.want("records of the job deleted", w.deletes[CompletionKey("job-1", 16, 0, 0)] && w.deletes[StartedPrefix+"job-1"], true)

	// A write of completions without an answer does not delay the final record.
	w.raiseToken()
	f.report()
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
	w.want("final record while a write of completions is in flight", ok, true)
	for _, id := range w.heldWrites {
		w.c.HandleWriteResult(w.now, id, WriteRefused)
	}
	w.advance(3 * Second)
	w.raiseToken()
	f.report()
	w.want("forgotten", len(w.heldWrites) > 0 && len(f.status.Tasks) == 0, true)

	// A new leader reads the ranges and runs only the remaining tasks.
	spec := JobSpec{ID: "job-9", Team: "blue", Tasks: 20, Resources: Resources{1000, 0, 1000}, Image: "im"}
	next := newWorld(t, Team{Name: "blue"})
	next.beginTerm(200, []JobRecord{{Spec: spec, Revision: 3}}, Snapshot{Completions: []CompletionRecord{{CompletionPrefix + "job-9/0", "job-9", 0, []int{0, 14}}, {CompletionPrefix + "job-9/1", "job-9", 1, []int{1, 2}}}, Started: []string{"job-9"}})
	next.want("left", next.c.jobs["job-9"].pending, 3)
	// Records of jobs that have ended are deleted.
	next.beginTerm(300, nil, Snapshot{Completions: []CompletionRecord{{CompletionKey("job-9", 16, 0, 0), "job-9", 0, nil}}, Started: []string{"job-9"}})
	next.want("dropped", next.deletes[CompletionKey("job-9", 16, 0, 0)] && next.deletes[StartedPrefix+"job-9"], true)
}

// TestFailingMachinesAndJobs checks that a machine on which several jobs fail is drained and
// released, and that a job that fails on every machine backs off and preempts no tasks.
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
		w.want("machines on which the job failed", len(j.failedOn), 3)
		w.want("job backs off", j.notBefore > w.now, true)
		w.want("no machine is released because of one job", len(w.releases), 0)
		w.submit(JobSpec{ID: "job-2", Tasks: 6})
		for range 3 {
			for _, f := range fs {
				f.executeDirect()
				f.report()
			}
		}
		w.want("tasks that borrow are not preempted", w.c.planReclaim(j, Resources{}, w.now, "", &reclaimPlan{}) == nil, true)
	})
}

// TestCompletedRanges checks the ranges of the first chunk of a job.
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
