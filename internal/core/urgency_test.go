package core

import "testing"

// TestUrgency checks that a job that others need goes by their priority and deadline, before and after
// its tasks are placed, and by its own again later; and that the counts by which a job may stop others
// of its team stay right.
func TestUrgency(t *testing.T) {
	w := newWorld(t, Team{Name: "blue"})
	w.beginTerm(100, nil, Snapshot{})
	f := w.newWorker("n-1", "a").report()
	w.submit(JobSpec{ID: "job-1", Tasks: 4, Priority: Low})
	w.submit(JobSpec{ID: "job-2", Tasks: 1, Priority: Low})
	w.submit(JobSpec{ID: "job-3", Tasks: 1, Priority: Low})
	w.want("waits", w.c.jobs["job-3"].occupying, 0)
	needed := Urgency{Priority: High, DueAt: w.now + 60*Second}
	w.c.SetUrgency(w.now, "job-3", needed)
	w.want("first in the queue", w.c.queue[0].spec.ID, "job-3")
	w.want("deadline", w.c.jobs["job-3"].deadline, needed.DueAt)
	w.reportRounds(5, []*fakeWorker{f})
	w.want("placed before the job that came earlier", w.c.jobs["job-3"].occupying, 1)
	team := w.c.teams["blue"]
	w.want("placed with high priority", team.placedByPriority[High], 1)
	w.c.SetUrgency(w.now, "job-3", Urgency{Priority: Low})
	w.want("placed with high priority, once nobody needs it", team.placedByPriority[High], 0)
	w.want("deadline, once nobody needs it", w.c.jobs["job-3"].deadline, 0*Second)
	w.c.SetUrgency(w.now, "job-9", needed) // not known
	w.want("jobs", len(w.c.queue), 3)
	w.want("record", w.c.jobs["job-3"].record.Spec.Priority, Low)
}
