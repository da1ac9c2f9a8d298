package core

import (
	"fmt"
	"testing"
)

// TestQuota: max caps what is placed, unused min is lent, and reclaim takes
// victims on one machine from teams over their min, none pushed below its own.
func TestQuota(t *testing.T) {
	for _, c := range []struct {
		name     string
		machines int
		first    JobSpec // runs already
		then     JobSpec
		first1   int // tasks of the first that run in the end
		then1    int
	}{
		{"max caps a team", 3, JobSpec{ID: "job-1", Tasks: 9}, JobSpec{ID: "job-2", Team: "green", Tasks: 1}, 6, 1},
		{"unused min is lent", 1, JobSpec{ID: "job-1", Tasks: 4}, JobSpec{ID: "job-2", Tasks: 1}, 4, 0},
		{"reclaim within min, down to the lender's min", 1, JobSpec{ID: "job-1", Tasks: 4}, JobSpec{ID: "job-2", Team: "green", Tasks: 4}, 2, 2},
		{"beyond min others are left alone", 2, JobSpec{ID: "job-1", Tasks: 6},
			JobSpec{ID: "job-2", Team: "green", Tasks: 3, Request: Resources{6000, 0, 1000}}, 5, 1},
		{"beyond min, own lower priorities", 1, JobSpec{ID: "job-1", Tasks: 4, Priority: Low}, JobSpec{ID: "job-2", Tasks: 2, Priority: High}, 2, 2},
		{"not own equal priorities", 1, JobSpec{ID: "job-1", Tasks: 4, Priority: High}, JobSpec{ID: "job-2", Tasks: 2, Priority: High}, 4, 0},
		{"no victims that would not make room", 1, JobSpec{ID: "job-1", Tasks: 3},
			JobSpec{ID: "job-2", Team: "green", Tasks: 1, Request: Resources{8000, 0, 1000}}, 3, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(t, blue, green)
			w.beginTerm(100, nil, Snapshot{})
			var fs []*fakeWorker
			for i := range c.machines {
				fs = append(fs, w.newWorker(fmt.Sprintf("n-%d", i), "a").report())
			}
			round := func() { w.reportRounds(4, fs) }
			w.submit(c.first)
			round()
			w.submit(c.then)
			round()
			count := map[string]int{}
			for _, f := range fs {
				for _, t := range f.status.Tasks {
					if t.State != Exited {
						count[t.Job]++
					}
				}
			}
			w.want("tasks of the first", count["job-1"], c.first1)
			w.want("tasks of the second", count["job-2"], c.then1)
		})
	}
}

// TestGPUs: they are placed and capped like CPUs.
func TestGPUs(t *testing.T) {
	w := newWorld(t, Team{Name: "blue", Max: Resources{GPU: 3000}})
	w.beginTerm(100, nil, Snapshot{})
	var fs []*fakeWorker
	for i := range 3 {
		f := w.newWorker(fmt.Sprintf("n-%d", i), "a")
		if i > 0 {
			f.status.Type = "g"
		}
		fs = append(fs, f.report())
	}
	w.submit(JobSpec{ID: "job-1", Tasks: 6, Request: Resources{1000, 1000, 1000}})
	n := [3]int{}
	for range 3 {
		for i, f := range fs {
			f.executeDirect()
			f.report()
			n[i] = len(f.status.Tasks)
		}
	}
	w.want("none without GPUs", n[0], 0)
	w.want("up to the team's limit", n[1]+n[2], 3)
}

// TestGuaranteedGPUs: a min that names GPUs alone is a guarantee, although tasks
// take CPUs as well: what is borrowed of it comes back.
func TestGuaranteedGPUs(t *testing.T) {
	w := newWorld(t, Team{Name: "blue", Min: Resources{GPU: 2000}}, Team{Name: "green", Min: Resources{GPU: 2000}})
	w.beginTerm(100, nil, Snapshot{})
	var fs []*fakeWorker
	for i := range 2 {
		f := w.newWorker(fmt.Sprintf("n-%d", i), "a")
		f.status.Type = "g"
		fs = append(fs, f.report())
	}
	round := func() { w.reportRounds(4, fs) }
	w.submit(JobSpec{ID: "job-1", Tasks: 4, Request: Resources{1000, 1000, 1000}})
	round()
	w.want("borrowed", w.c.jobs["job-1"].running, 4)
	w.submit(JobSpec{ID: "job-2", Team: "green", Tasks: 4, Request: Resources{1000, 1000, 1000}})
	round()
	w.want("the lender's", w.c.jobs["job-2"].running, 2)
	w.want("the borrower's", w.c.jobs["job-1"].running, 2)
	w.submit(JobSpec{ID: "job-3", Team: "green", Tasks: 4, Request: Resources{1000, 0, 1000}})
	round()
	w.submit(JobSpec{ID: "job-4", Tasks: 16, Request: Resources{1000, 0, 1000}})
	round()
	w.want("CPUs are not guaranteed by it", w.c.jobs["job-3"].running, 4)
}
