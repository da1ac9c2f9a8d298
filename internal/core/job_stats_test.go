package core

import (
	"fmt"
	"slices"
	"testing"
)

// TestJobStats checks that jobs are counted by team and class from the records, and that a new
// leader gets the same result.
func TestJobStats(t *testing.T) {
	w := newWorld(t, Team{Name: "blue", Max: Resources{CPU: 8000}}, Team{Name: "green"})
	w.beginTerm(100, nil, Snapshot{})
	f := w.newWorker("n-1", "a").report()
	var recs []JobRecord
	job := func(id, team, class string, tasks int, phase Phase) {
		s := JobSpec{ID: id, Team: team, Class: class, Tasks: tasks, Resources: Resources{8000, 0, 1000}, Image: "im"}
		if phase == Pending {
			w.submit(s)
		}
		recs = append(recs, JobRecord{Spec: s, Phase: phase, SubmittedAt: w.now, Revision: 5})
	}
	job("job-1", "blue", "runs", 1, Pending)
	job("job-2", "blue", "runs", 2, Pending) // exceeds the max of its team
	job("job-3", "blue", "maps", 1, Done)
	job("job-4", "green", "runs", 1, Cancelled)
	w.reportRounds(3, []*fakeWorker{f})
	w.advance(7 * Second)
	want := "[{blue maps 1 1 0 0 0 0 {1 1 1 0}} {blue runs 2 0 0 1 1 10000000 {1 0 0 10000000}} {green runs 1 0 1 0 0 0 {0 0 0 0}}]"
	w.want("tally", fmt.Sprint(CollectJobStats(slices.Values(recs), w.now, w.c.MayHaveStarted)), want)

	o := newWorld(t, Team{Name: "blue"}, Team{Name: "green"})
	o.now = w.now
	o.beginTerm(200, recs, Snapshot{Started: []string{"job-1"}})
	w.want("tally by the next leader", fmt.Sprint(CollectJobStats(slices.Values(recs), o.now, o.c.MayHaveStarted)), want)
}
