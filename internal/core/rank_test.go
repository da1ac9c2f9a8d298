package core

import (
	"fmt"
	"testing"
)

// TestOverload checks that with more work than capacity, the largest late jobs are deferred so that
// the others are on time.
func TestOverload(t *testing.T) {
	w := newWorld(t, Team{Name: "blue"})
	w.beginTerm(100, nil, Snapshot{})
	w.newWorker("n-1", "a").report()
	job := func(id string, tasks int, due Micros) {
		w.submit(JobSpec{ID: id, Tasks: tasks, EstimatedRun: 20 * Second, Deadline: due, Resources: Resources{8000, 0, 1000}})
	}
	job("job-1", 1, 45*Second)
	job("job-2", 4, 60*Second) // 80 s of work: it cannot meet its deadline
	job("job-3", 1, 70*Second)
	job("job-4", 1, 10*Second) // already too late
	job("job-5", 3, 5*Second)  // already too late, with more work but an earlier deadline
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

// TestOrderLateJobs checks that jobs that miss every objective run in order of least work, with the
// same amount of work taken in order of age. With least work first alone, only a quarter of the
// largest jobs of an overload scenario were done at its end, against nearly 90 % of all jobs.
func TestOrderLateJobs(t *testing.T) {
	k := &jobClass{}
	make := func(id, tasks int, submitted Micros) *job {
		return newJob(JobRecord{Spec: JobSpec{ID: fmt.Sprint("job-", id), Tasks: tasks, EstimatedRun: Second, Resources: Resources{CPU: 1000}}}, submitted)
	}
	for _, c := range []struct {
		tasks []int // number of tasks of each job, the oldest first
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

// TestStartOverdueArrays checks that a large array at the end of the queue starts with one task
// after maxStartWait. A small array, with three tasks where most arrays have one, starts after
// maxStartWaitSmall. An array of a lower priority does not start ahead of the others.
func TestStartOverdueArrays(t *testing.T) {
	w := newWorld(t, Team{Name: "blue"})
	w.beginTerm(100, nil, Snapshot{})
	f := w.newWorker("n-1", "a").report()
	submit := func(id string, tasks int, p Priority) {
		w.submit(JobSpec{ID: id, Tasks: tasks, Priority: p, EstimatedRun: 10 * Second, Deadline: 20 * Second, Resources: Resources{8000, 0, 1000}})
	}
	startedAt := map[string]Micros{}
	for s := range 250 {
		submit(fmt.Sprint("job-s", s), 1, Normal) // small jobs keep arriving
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
				if startedAt[task.Job] == 0 {
					startedAt[task.Job] = w.now
				}
				if s%2 == 0 {
					f.exitTask(i, CauseDone)
				}
			}
		}
	}
	if at := startedAt["job-0"]; at == 0 || at > 170*Second {
		t.Errorf("the large array started at %d s", at/Second)
	}
	if at := startedAt["job-2"]; at < 200*Second || at > 230*Second {
		t.Errorf("the small array started at %d s", at/Second)
	}
	w.want("start of the array of lower priority", startedAt["job-1"], Micros(0))
}
