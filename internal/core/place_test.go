package core

import (
	"fmt"
	"testing"
)

// TestPlacementConstraints checks that placement respects machine types, zones, spot and GPU
// requirements, the spread over zones and the restriction to one zone.
func TestPlacementConstraints(t *testing.T) {
	for _, c := range []struct {
		name string
		job  JobSpec
		want string // tasks on a1, a2 (spot), b1
	}{
		{"zone", JobSpec{Tasks: 2, Zone: "b"}, "0 0 2"},
		{"no spot", JobSpec{Tasks: 4, Zone: "a"}, "4 0 0"},
		{"spread", JobSpec{Tasks: 4, Spread: true}, "2 0 2"},
		{"spread, uneven", JobSpec{Tasks: 3, Spread: true, Spot: true, Zone: "a"}, "0 2 0"},
		{"one zone", JobSpec{Tasks: 6, OneZone: true}, "4 0 0"},
		{"gang in one zone or not at all", JobSpec{Tasks: 5, Kind: Gang, OneZone: true}, "0 0 0"},
		{"gang in one zone with spot", JobSpec{Tasks: 5, Kind: Gang, OneZone: true, Spot: true}, "1 4 0"},
		{"no such type", JobSpec{Tasks: 1, Types: []string{"g"}}, "0 0 0"},
		{"no machine with GPUs", JobSpec{Tasks: 1, Resources: Resources{1000, 1000, 1000}}, "0 0 0"},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(t, Team{Name: "blue"})
			w.beginTerm(100, nil, Snapshot{})
			a1, a2, b1 := w.newWorker("a1", "a"), w.newWorker("a2", "a"), w.newWorker("b1", "b")
			a2.status.Spot = true
			workers := []*fakeWorker{a1, a2, b1}
			for _, f := range workers {
				f.report()
			}
			c.job.ID = "job-1"
			w.submit(c.job)
			n := [3]int{}
			for range 3 {
				for i, f := range workers {
					f.executeDirect()
					f.report()
					n[i] = len(f.status.Tasks)
				}
			}
			w.want("tasks", fmt.Sprint(n[0], n[1], n[2]), c.want)
		})
	}
}

// TestReservationOnlyBelowProvisioningTime checks that capacity is reserved only for a class whose
// tasks have to start sooner than a machine can be rented. When it was reserved for every class
// with a start objective, a class with an objective of 90 s had a machine rented for every waiting
// task, even if the tasks would have started in time.
func TestReservationOnlyBelowProvisioningTime(t *testing.T) {
	for _, c := range []struct {
		within     Micros
		wantRental bool
	}{{2 * Second, true}, {90 * Second, false}, {28 * Second, true}} {
		w := newWorld(t, Team{Name: "blue"})
		w.c.cfg.StartObjectives = map[string][]Micros{"sweep": {c.within}}
		w.beginTerm(100, nil, Snapshot{})
		f := w.newWorker("n-1", "a").report()
		w.submit(JobSpec{ID: "job-1", Class: "sweep", Tasks: 4, EstimatedRun: 10 * Second, Deadline: 300 * Second})
		w.reportRounds(3, []*fakeWorker{f})
		w.submit(JobSpec{ID: "job-2", Class: "sweep", Tasks: 4, EstimatedRun: 10 * Second, Deadline: 300 * Second})
		w.reportRounds(4, []*fakeWorker{f})
		w.want(fmt.Sprintf("machines rented for tasks that wait for 10 s and have to start within %d s", c.within/Second), len(w.rentals) > 0, c.wantRental)
	}
}

// TestWorkPerEvent counts how many machines and jobs the core examines for an ordinary report, with
// a thousand machines and ten thousand tasks. Going through all of them for every event made large
// deployments run short of CPU time.
func TestWorkPerEvent(t *testing.T) {
	w := newWorld(t, Team{Name: "blue"})
	w.beginTerm(100, nil, Snapshot{})
	workers := make([]*fakeWorker, 1000)
	for i := range workers {
		workers[i] = w.newWorker(fmt.Sprintf("n-%04d", i), "ab"[i%2:i%2+1])
		workers[i].status.Seq++
		r := workers[i].status
		w.c.HandleReport(w.now, &r)
	}
	w.step()
	for i := range 100 {
		w.c.HandleJob(w.now, w.now, JobRecord{Spec: JobSpec{ID: fmt.Sprintf("job-%d", i), Team: "blue", Tasks: 100, Resources: Resources{800, 0, 1000}, Image: "im"}, Revision: 5})
	}
	w.step()
	for _, s := range w.sent {
		w.c.HandleCommandResult(w.now, s.Machine, s.Token, Executed, nil)
	}
	w.step()
	w.want("jobs placed", w.c.jobs["job-99"].pending, 0)
	w.sent = nil

	// One worker reports: its tasks run, and one of them has completed.
	m := w.c.machines["n-0007"]
	r := workers[7].status
	r.Seq += 5
	for _, p := range m.placements {
		r.Tasks = append(r.Tasks, TaskReport{Job: p.jobID, Index: p.index, Attempt: p.attempt, State: Running})
	}
	r.Tasks[0].State, r.Tasks[0].Cause = Exited, CauseDone
	w.c.HandleReport(w.now, &r)
	w.want("machines in the command queue", len(w.c.commandQueue), 1)
	w.want("jobs in the completion queue", len(w.c.completionQueue), 1)
	w.want("a task waits", w.c.collectCandidates(w.now), false)
	w.step()

	// The waiting tasks fit only on the machine where the task completed.
	w.c.HandleJob(w.now, w.now, JobRecord{Spec: JobSpec{ID: "job-100", Team: "blue", Tasks: 500, Resources: Resources{800, 0, 1000}, Image: "im"}, Revision: 5})
	w.c.collectCandidates(w.now)
	w.want("machines examined for each task", len(w.c.candidates), 1)
	w.want("victims are searched where there can be none", w.c.mayReclaim(w.c.jobs["job-100"], false), false)

	// Of gangs with the same equivalence key that find neither room nor victims, only one is
	// examined in a pass, and not again before something changes.
	for i := range 50 {
		w.c.HandleJob(w.now, w.now, JobRecord{Spec: JobSpec{ID: fmt.Sprintf("job-2%02d", i), Team: "blue", Kind: Gang, Tasks: 4, Priority: High,
			Resources: Resources{8000, 0, 1000}, Types: []string{"g"}, OneZone: true, Image: "im"}, Revision: 5})
	}
	w.advance(Second / 2)
	w.c.machinesExamined = 0
	w.advance(Second)
	// There is one pass per second. It searches for victims in each of two zones, and for free
	// capacity.
	w.want("machines examined for gangs", w.c.machinesExamined >= 1000 && w.c.machinesExamined <= 2100, true)

	// Free CPUs alone are not enough: memory or GPUs may be exhausted.
	for _, c := range []struct {
		used Resources
		want int
	}{{Resources{}, 1}, {Resources{Mem: 32000}, 0}, {Resources{GPU: 1}, 0}} {
		m.used = c.used
		w.c.collectCandidates(w.now)
		w.want(fmt.Sprint("candidates when this is used: ", c.used), len(w.c.candidates), c.want)
	}
}
