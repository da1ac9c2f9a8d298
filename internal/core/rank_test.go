package core

import (
	"fmt"
	"testing"
)

// TestOverload: once there is more work than room, the largest late jobs go
// behind, so that the others are on time.
func TestOverload(t *testing.T) {
	w := newWorld(t, Team{Name: "blue"})
	w.beginTerm(100, nil, Snapshot{})
	w.newWorker("n-1", "a").report()
	job := func(id string, tasks int, due Micros) {
		w.submit(JobSpec{ID: id, Tasks: tasks, EstimatedRun: 20 * Second, Deadline: due, Request: Resources{8000, 0, 1000}})
	}
	job("job-1", 1, 45*Second)
	job("job-2", 4, 60*Second) // 80 s of work: cannot be done by then
	job("job-3", 1, 70*Second)
	job("job-4", 1, 10*Second) // too late already
	job("job-5", 3, 5*Second)  // the same, and more work, though due first
	w.advance(Second)
	for id, rank := range map[string]int{"job-1": 0, "job-2": 4, "job-3": 0, "job-4": 2, "job-5": 3} {
		w.want(id, w.c.jobs[id].rank, rank)
	}
	order := ""
	for _, j := range w.c.queue {
		order += j.spec.ID + " "
	}
	w.want("queue", order, "job-1 job-3 job-4 job-5 job-2 ")
}

// TestLateOrder: of jobs that are late for every aim the least work goes first, and as much
// work by age: by the least work alone, a quarter of the largest of a flood was done at the
// day's end, and nearly nine in ten of all.
func TestOrderLateJobs(t *testing.T) {
	k := &jobClass{}
	make := func(id, tasks int, submitted Micros) *job {
		return newJob(JobRecord{Spec: JobSpec{ID: fmt.Sprint("job-", id), Tasks: tasks, EstimatedRun: Second, Request: Resources{CPU: 1000}}}, submitted)
	}
	for _, c := range []struct {
		tasks []int // of jobs, the oldest first
		want  string
	}{
		{nil, ""},
		{[]int{1, 2, 3}, "job-0 job-1 job-2 "},
		{[]int{9, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1}, "job-1 job-0 job-2 job-3 job-4 job-5 job-6 job-7 job-8 job-9 job-10 job-11 "},
		{[]int{1, 9, 9, 1, 1}, "job-0 job-1 job-3 job-4 job-2 "},
	} {
		var jobs []*job
		for i, n := range c.tasks {
			j := make(i, n, Micros(i)*Second)
			j.class = k
			jobs = append(jobs, j)
		}
		got := ""
		for _, j := range orderLateJobs(jobs) {
			got += j.spec.ID + " "
		}
		if got != c.want {
			t.Errorf("%v: %s, want %s", c.tasks, got, c.want)
		}
	}
}

// TestBeginWaiting: an array that the order of the queue leaves for the end begins with one
// task once it has waited for long, a small one, of three tasks where most have one, later; one
// of a lower priority does not go before others.
func TestStartOverdueArrays(t *testing.T) {
	w := newWorld(t, Team{Name: "blue"})
	w.beginTerm(100, nil, Snapshot{})
	f := w.newWorker("n-1", "a").report()
	submit := func(id string, tasks int, p Priority) {
		w.submit(JobSpec{ID: id, Tasks: tasks, Priority: p, EstimatedRun: 10 * Second, Deadline: 20 * Second, Request: Resources{8000, 0, 1000}})
	}
	began := map[string]Micros{}
	for s := range 250 {
		submit(fmt.Sprint("job-s", s), 1, Normal) // small ones come all the time
		if s == 10 {
			submit("job-0", 40, Normal)
			submit("job-1", 40, Low)
			submit("job-2", 3, Normal)
		}
		w.advance(Second)
		f.executeDirect()
		f.report()
		for i, task := range f.status.Tasks {
			if task.State == Running {
				if began[task.Job] == 0 {
					began[task.Job] = w.now
				}
				if s%2 == 0 {
					f.exitTask(i, CauseDone)
				}
			}
		}
	}
	if at := began["job-0"]; at == 0 || at > 170*Second {
		t.Errorf("the large one began at %d s", at/Second)
	}
	if at := began["job-2"]; at < 200*Second || at > 230*Second {
		t.Errorf("the small one began at %d s", at/Second)
	}
	w.want("the one of lower priority", began["job-1"], Micros(0))
}
