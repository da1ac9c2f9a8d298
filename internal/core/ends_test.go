package core

import (
	"fmt"
	"testing"
)

// TestDone: a job is done only once all its tasks are, and what was finished is
// kept as ranges; exited tasks are forgotten only after that.
func TestDone(t *testing.T) {
	w := newWorld(t, Team{Name: "blue"})
	w.begin(100, nil, Snapshot{})
	f := w.machine("n-1", "a").beat()
	w.submit(JobSpec{ID: "job-1", Tasks: 4})
	f.direct()
	f.beat()
	w.failWrites = true
	for _, i := range []int{0, 1, 3} {
		f.exit(f.index("job-1", f.r.Tasks[i].Index, f.r.Tasks[i].Attempt), CauseDone)
	}
	left := f.r.Tasks[2].Index
	f.beat()
	w.pass(3 * Second)
	f.beat()
	w.want("kept until recorded", len(f.r.Tasks), 4)
	w.failWrites = false
	w.pass(12 * Second)
	f.beat()
	rec, _ := w.puts[RangeKey("job-1", 0, 0)].(RangeRecord)
	want := map[int]string{0: "[1 3]", 1: "[0 0 2 3]", 2: "[0 1 3 3]", 3: "[0 2]"}[left]
	w.want("ranges", fmt.Sprint(rec.Ranges), want)
	w.want("forgotten", len(f.r.Tasks), 1)
	if _, ok := w.puts[""]; ok {
		t.Error("done before the last task")
	}
	f.exit(0, CauseDone)
	f.beat()
	d, ok := w.puts[""].(JobDone)
	w.want("final record", ok && d.Record.Phase == Done, true)
	w.want("bookkeeping dropped", w.drops[RangeKey("job-1", 0, 0)] && w.drops[OpenPrefix+"job-1"], true)

	// A write of ranges that gets no answer does not hold up the final record.
	w.submit(JobSpec{ID: "job-2", Tasks: 2})
	f.direct()
	f.beat()
	f.exit(0, CauseDone)
	f.beat()
	w.hold = RangesPrefix
	w.pass(11 * Second)
	f.exit(1, CauseDone)
	delete(w.puts, "")
	f.beat()
	_, ok = w.puts[""]
	w.want("final record while ranges wait", ok, true)
	for _, id := range w.held {
		w.c.Written(w.now, id, WriteRefused)
	}
	w.pass(3 * Second)
	f.beat()
	w.want("forgotten", len(w.held) > 0 && len(f.r.Tasks) == 0, true)

	// A new leader takes the ranges over and runs only the rest.
	spec := JobSpec{ID: "job-9", Team: "blue", Tasks: 20, Need: Res{1000, 0, 1000}, Image: "im"}
	w2 := newWorld(t, Team{Name: "blue"})
	w2.begin(200, []JobRecord{{Spec: spec, Stamp: 3}}, Snapshot{Ranges: []RangeRecord{{RangeKey("job-9", 0, 0), "job-9", 0, []int{0, 14}}, {RangeKey("job-9", 1, 0), "job-9", 1, []int{1, 2}}}, Open: []string{"job-9"}})
	w2.want("left", w2.c.jobs["job-9"].pending, 3)
	// What is left of jobs that are over is dropped.
	w2.begin(300, nil, Snapshot{Ranges: []RangeRecord{{RangeKey("job-9", 0, 0), "job-9", 0, nil}}, Open: []string{"job-9"}})
	w2.want("dropped", w2.drops[RangeKey("job-9", 0, 0)] && w2.drops[OpenPrefix+"job-9"], true)
}

// TestFaults: machines that fail several jobs are emptied and returned; a job
// that fails everywhere backs off and evicts nobody.
func TestFaults(t *testing.T) {
	t.Run("quarantine", func(t *testing.T) {
		w := newWorld(t, Team{Name: "blue"})
		w.begin(100, nil, Snapshot{})
		f := w.machine("n-1", "a").beat()
		w.submit(JobSpec{ID: "job-1", Tasks: 1})
		w.submit(JobSpec{ID: "job-2", Tasks: 1})
		f.direct()
		f.beat()
		f.exit(0, CauseError)
		f.exit(1, CauseError)
		f.beat()
		w.pass(Second)
		f.beat()
		w.pass(2 * Second)
		w.want("returned", len(w.backs) == 1 && w.backs[0].Reason == "drained", true)
	})
	t.Run("job that fails everywhere", func(t *testing.T) {
		w := newWorld(t, blue, green)
		w.begin(100, nil, Snapshot{})
		var fs []*fake
		for i := range 3 {
			fs = append(fs, w.machine(fmt.Sprintf("n-%d", i), "a").beat())
		}
		w.submit(JobSpec{ID: "job-1", Team: "green", Tasks: 1})
		for range 12 {
			w.pass(Second / 2)
			for _, f := range fs {
				f.direct()
				for i := range f.r.Tasks {
					if f.r.Tasks[i].State != Exited {
						f.exit(i, CauseError)
					}
				}
				f.beat()
			}
		}
		j := w.c.jobs["job-1"]
		w.want("machines it failed on", len(j.errors), 3)
		w.want("backs off", j.notBefore > w.now, true)
		w.want("no machine is blamed for one job", len(w.backs), 0)
		w.submit(JobSpec{ID: "job-2", Tasks: 6})
		for range 3 {
			for _, f := range fs {
				f.direct()
				f.beat()
			}
		}
		w.want("borrowers stay", w.c.reclaim(j, Res{}, w.now, "", &reclaimPlan{}) == nil, true)
	})
}

func TestRanges(t *testing.T) {
	for _, c := range []struct {
		done []int
		want string
	}{
		{nil, "[]"}, {[]int{0}, "[0 0]"}, {[]int{0, 1, 2, 5}, "[0 2 5 5]"}, {[]int{15, 16, 17}, "[15 15]"},
	} {
		j := newJob(JobRecord{Spec: JobSpec{Tasks: 20}}, 0)
		for _, i := range c.done {
			j.set(i, taskDone)
		}
		if got := fmt.Sprint(j.ranges(0, 16)); got != c.want {
			t.Errorf("%v: got %s, want %s", c.done, got, c.want)
		}
	}
}
