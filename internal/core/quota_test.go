package core

import (
	"fmt"
	"strings"
	"testing"
)

// TestQuota checks that a team's maximum limits its placements and that an unused minimum is lent
// to other teams. Reclaim stops tasks on one machine, of teams above their minimum, and takes no
// team below its own.
func TestQuota(t *testing.T) {
	for _, c := range []struct {
		name      string
		machines  int
		first     JobSpec // runs first
		then      JobSpec
		wantFirst int // tasks of the first job that run in the end
		wantThen  int
	}{
		{"max caps a team", 3, JobSpec{ID: "job-1", Tasks: 9}, JobSpec{ID: "job-2", Team: "green", Tasks: 1}, 6, 1},
		{"unused min is lent", 1, JobSpec{ID: "job-1", Tasks: 4}, JobSpec{ID: "job-2", Tasks: 1}, 4, 0},
		{"reclaim within min, down to the lender's min", 1, JobSpec{ID: "job-1", Tasks: 4}, JobSpec{ID: "job-2", Team: "green", Tasks: 4}, 2, 2},
		{"no reclaim from other teams beyond min", 2, JobSpec{ID: "job-1", Tasks: 6},
			JobSpec{ID: "job-2", Team: "green", Tasks: 3, Resources: Resources{6000, 0, 1000}}, 5, 1},
		{"beyond min, victims are the team's tasks of lower priority", 1, JobSpec{ID: "job-1", Tasks: 4, Priority: Low}, JobSpec{ID: "job-2", Tasks: 2, Priority: High}, 2, 2},
		{"no victims of equal priority", 1, JobSpec{ID: "job-1", Tasks: 4, Priority: High}, JobSpec{ID: "job-2", Tasks: 2, Priority: High}, 4, 0},
		{"no victims if they would not make room", 1, JobSpec{ID: "job-1", Tasks: 3},
			JobSpec{ID: "job-2", Team: "green", Tasks: 1, Resources: Resources{8000, 0, 1000}}, 3, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(t, blue, green)
			w.beginTerm(100, nil, Snapshot{})
			var workers []*fakeWorker
			for i := range c.machines {
				workers = append(workers, w.newWorker(fmt.Sprintf("n-%d", i), "a").report())
			}
			round := func() { w.reportRounds(4, workers) }
			w.submit(c.first)
			round()
			w.submit(c.then)
			round()
			count := map[string]int{}
			for _, f := range workers {
				for _, t := range f.status.Tasks {
					if t.State != Exited {
						count[t.Job]++
					}
				}
			}
			w.want("tasks of the first job", count["job-1"], c.wantFirst)
			w.want("tasks of the second job", count["job-2"], c.wantThen)
		})
	}
}

// TestGPUs checks that GPUs are placed and limited like CPUs.
func TestGPUs(t *testing.T) {
	w := newWorld(t, Team{Name: "blue", Max: Resources{GPU: 3000}})
	w.beginTerm(100, nil, Snapshot{})
	var workers []*fakeWorker
	for i := range 3 {
		f := w.newWorker(fmt.Sprintf("n-%d", i), "a")
		if i > 0 {
			f.status.Type = "g"
		}
		workers = append(workers, f.report())
	}
	w.submit(JobSpec{ID: "job-1", Tasks: 6, Resources: Resources{1000, 1000, 1000}})
	n := [3]int{}
	for range 3 {
		for i, f := range workers {
			f.executeDirect()
			f.report()
			n[i] = len(f.status.Tasks)
		}
	}
	w.want("tasks on the machine without GPUs", n[0], 0)
	w.want("tasks up to the team's maximum", n[1]+n[2], 3)
}

// TestGuaranteedGPUs checks that a minimum of GPUs alone is a guarantee, although the tasks need
// CPUs as well: borrowed GPUs are reclaimed.
func TestGuaranteedGPUs(t *testing.T) {
	w := newWorld(t, Team{Name: "blue", Min: Resources{GPU: 2000}}, Team{Name: "green", Min: Resources{GPU: 2000}})
	w.beginTerm(100, nil, Snapshot{})
	var workers []*fakeWorker
	for i := range 2 {
		f := w.newWorker(fmt.Sprintf("n-%d", i), "a")
		f.status.Type = "g"
		workers = append(workers, f.report())
	}
	round := func() { w.reportRounds(4, workers) }
	w.submit(JobSpec{ID: "job-1", Tasks: 4, Resources: Resources{1000, 1000, 1000}})
	round()
	w.want("borrowed", w.c.jobs["job-1"].running, 4)
	w.submit(JobSpec{ID: "job-2", Team: "green", Tasks: 4, Resources: Resources{1000, 1000, 1000}})
	round()
	w.want("tasks of the lender", w.c.jobs["job-2"].running, 2)
	w.want("tasks of the borrower", w.c.jobs["job-1"].running, 2)
	w.submit(JobSpec{ID: "job-3", Team: "green", Tasks: 4, Resources: Resources{1000, 0, 1000}})
	round()
	w.submit(JobSpec{ID: "job-4", Tasks: 16, Resources: Resources{1000, 0, 1000}})
	round()
	w.want("tasks that need only CPUs, which are not guaranteed", w.c.jobs["job-3"].running, 4)
}

// TestLoweredLimitWithdrawsUnsent checks that a placement whose start was not sent is taken back when
// its team's limit is lowered below what is used. Otherwise it starts once the record that it waits for
// is stored, and the team grows above the limit that is in force (quota).
func TestLoweredLimitWithdrawsUnsent(t *testing.T) {
	for _, c := range []struct {
		name   string
		kind   Kind
		tasks  int
		limit  int64 // CPUs in thousandths; each task takes 2000
		starts int   // tasks of job-2 that start once its record is stored
	}{
		{"below what runs", Array, 2, 1000, 0},
		{"at what runs", Array, 2, 2000, 0},
		{"room for one more", Array, 2, 4000, 1},
		{"room for all", Array, 2, 6000, 2},
		{"a service", Service, 2, 4000, 1},
		{"a gang that no longer fits", Gang, 2, 4000, 0},
		{"a gang that fits", Gang, 2, 6000, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(t, Team{Name: "blue"})
			w.beginTerm(100, nil, Snapshot{})
			f := w.newWorker("n-1", "a").report()
			w.submit(JobSpec{ID: "job-1", Tasks: 1})
			w.reportRounds(2, []*fakeWorker{f})
			w.want("before", f.liveTasks(), "job-1/0 ")
			w.holdPrefix = StartedPrefix
			w.submit(JobSpec{ID: "job-2", Tasks: c.tasks, Kind: c.kind})
			w.reportRounds(2, []*fakeWorker{f})
			w.want("placed and not sent", w.c.jobs["job-2"].occupying, c.tasks)
			w.c.Configure(w.now, []Team{{Name: "blue", Max: Resources{CPU: c.limit}}}, w.c.cfg.Tuning)
			for _, id := range w.heldWrites {
				w.c.HandleWriteResult(w.now, id, Stored)
			}
			w.holdPrefix = ""
			w.reportRounds(5, []*fakeWorker{f})
			w.want("tasks started", strings.Count(f.liveTasks(), "job-2/"), c.starts)
			w.c.Configure(w.now, []Team{{Name: "blue"}}, w.c.cfg.Tuning)
			w.reportRounds(5, []*fakeWorker{f})
			w.want("tasks once the limit is raised", strings.Count(f.liveTasks(), "job-2/"), c.tasks)
		})
	}
}
