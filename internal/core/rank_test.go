package core

import "testing"

// TestOverload: once there is more work than room, the largest late jobs go
// behind, so that the others are on time.
func TestOverload(t *testing.T) {
	w := newWorld(t, Team{Name: "blue"})
	w.begin(100, nil, Snapshot{})
	w.machine("n-1", "a").beat()
	job := func(id string, tasks int, due Micros) {
		w.submit(JobSpec{ID: id, Tasks: tasks, Estimate: 20 * Second, Due: due, Need: Res{8000, 0, 1000}})
	}
	job("job-1", 1, 45*Second)
	job("job-2", 4, 60*Second) // 80 s of work: cannot be done by then
	job("job-3", 1, 70*Second)
	job("job-4", 1, 10*Second) // too late already
	job("job-5", 3, 5*Second)  // the same, and more work, though due first
	w.pass(Second)
	for id, rank := range map[string]int{"job-1": 0, "job-2": 4, "job-3": 0, "job-4": 2, "job-5": 3} {
		w.want(id, w.c.jobs[id].rank, rank)
	}
	order := ""
	for _, j := range w.c.queue {
		order += j.spec.ID + " "
	}
	w.want("queue", order, "job-1 job-3 job-4 job-5 job-2 ")
}
