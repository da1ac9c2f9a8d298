package core

import (
	"fmt"
	"testing"
)

// TestPlaces: types, zones, kinds of machine, spread and one zone.
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
		{"no GPU there", JobSpec{Tasks: 1, Request: Resources{1000, 1000, 1000}}, "0 0 0"},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(t, Team{Name: "blue"})
			w.beginTerm(100, nil, Snapshot{})
			a1, a2, b1 := w.newWorker("a1", "a"), w.newWorker("a2", "a"), w.newWorker("b1", "b")
			a2.status.Spot = true
			fs := []*fakeWorker{a1, a2, b1}
			for _, f := range fs {
				f.report()
			}
			c.job.ID = "job-1"
			w.submit(c.job)
			n := [3]int{}
			for range 3 {
				for i, f := range fs {
					f.executeDirect()
					f.report()
					n[i] = len(f.status.Tasks)
				}
			}
			w.want("tasks", fmt.Sprint(n[0], n[1], n[2]), c.want)
		})
	}
}

// TestHeldAtOnce: machines are held for a class whose tasks are to start sooner
// than a machine can be rented, and for no other. A class with a start aim of 90 s
// had a machine rented for every task that waited, in time or not.
func TestReservationOnlyBelowProvisioningTime(t *testing.T) {
	for _, c := range []struct {
		within Micros
		rents  bool
	}{{2 * Second, true}, {90 * Second, false}, {28 * Second, true}} {
		w := newWorld(t, Team{Name: "blue"})
		w.c.cfg.StartObjectives = map[string][]Micros{"sweep": {c.within}}
		w.beginTerm(100, nil, Snapshot{})
		f := w.newWorker("n-1", "a").report()
		w.submit(JobSpec{ID: "job-1", Class: "sweep", Tasks: 4, EstimatedRun: 10 * Second, Deadline: 300 * Second})
		w.reportRounds(3, []*fakeWorker{f})
		w.submit(JobSpec{ID: "job-2", Class: "sweep", Tasks: 4, EstimatedRun: 10 * Second, Deadline: 300 * Second})
		w.reportRounds(4, []*fakeWorker{f})
		w.want(fmt.Sprintf("rented for tasks that wait for 10 s, to start within %d s", c.within/Second), len(w.rentals) > 0, c.rents)
	}
}

// TestWorkPerEvent counts, with a thousand machines and ten thousand tasks,
// how many machines and jobs an ordinary beat has the core look at: a walk over
// all of them for every event is what made large deployments short of
// processor time.
func TestWorkPerEvent(t *testing.T) {
	w := newWorld(t, Team{Name: "blue"})
	w.beginTerm(100, nil, Snapshot{})
	fs := make([]*fakeWorker, 1000)
	for i := range fs {
		fs[i] = w.newWorker(fmt.Sprintf("n-%04d", i), "ab"[i%2:i%2+1])
		fs[i].status.Seq++
		r := fs[i].status
		w.c.HandleReport(w.now, &r)
	}
	w.step()
	for i := range 100 {
		w.c.UpdateJob(w.now, w.now, JobRecord{Spec: JobSpec{ID: fmt.Sprintf("job-%d", i), Team: "blue", Tasks: 100, Request: Resources{800, 0, 1000}, Image: "im"}, Revision: 5})
	}
	w.step()
	for _, s := range w.sent {
		w.c.CommandResult(w.now, s.Machine, s.Token, Executed, nil)
	}
	w.step()
	w.want("jobs placed", w.c.jobs["job-99"].pending, 0)
	w.sent = nil

	// One worker reports; its tasks run, and one of them has ended.
	m := w.c.machines["n-0007"]
	r := fs[7].status
	r.Seq += 5
	for _, p := range m.placements {
		r.Tasks = append(r.Tasks, TaskReport{Job: p.jobID, Index: p.index, Attempt: p.attempt, State: Running})
	}
	r.Tasks[0].State, r.Tasks[0].Cause = Exited, CauseDone
	w.c.HandleReport(w.now, &r)
	w.want("machines to be told something", len(w.c.commandQueue), 1)
	w.want("jobs with something to write", len(w.c.completionQueue), 1)
	w.want("the queue is not gone through: no task waits", w.c.collectCandidates(w.now), false)
	w.step()

	// Work waits that fits only where the task ended.
	w.c.UpdateJob(w.now, w.now, JobRecord{Spec: JobSpec{ID: "job-100", Team: "blue", Tasks: 500, Request: Resources{800, 0, 1000}, Image: "im"}, Revision: 5})
	w.c.collectCandidates(w.now)
	w.want("machines looked at for each task", len(w.c.candidates), 1)
	w.want("no victims are looked for where there can be none", w.c.mayReclaim(w.c.jobs["job-100"], false), false)

	// Gangs that find no room, nor victims who would make any, are looked at once
	// a pass for all of their shape, and not again before something changes.
	for i := range 50 {
		w.c.UpdateJob(w.now, w.now, JobRecord{Spec: JobSpec{ID: fmt.Sprintf("job-2%02d", i), Team: "blue", Kind: Gang, Tasks: 4, Priority: High,
			Request: Resources{8000, 0, 1000}, Types: []string{"g"}, OneZone: true, Image: "im"}, Revision: 5})
	}
	w.advance(Second / 2)
	w.c.machinesExamined = 0
	w.advance(Second)
	// A pass a second; victims in each of two zones and tries without any.
	w.want("machines looked at for gangs", w.c.machinesExamined >= 1000 && w.c.machinesExamined <= 2100, true)

	// CPUs alone make no room: GPUs or memory may be what is used up.
	for _, c := range []struct {
		used Resources
		want int
	}{{Resources{}, 1}, {Resources{Mem: 32000}, 0}, {Resources{GPU: 1}, 0}} {
		m.used = c.used
		w.c.collectCandidates(w.now)
		w.want(fmt.Sprint("machines with room where this is used: ", c.used), len(w.c.candidates), c.want)
	}
}
