package node

import (
	"testing"

	"aspenstall/internal/core"
)

// TestUrgencyOfDependencies checks which priority and deadline count for jobs that others wait for, in
// whatever order their records come, and that they count no longer once nobody needs the job.
func TestUrgencyOfDependencies(t *testing.T) {
	const s = core.Second
	job := func(id string, priority core.Priority, deadline core.Micros, dependencies ...string) core.JobRecord {
		rec := core.JobRecord{Spec: core.JobSpec{ID: id, Team: "blue", Tasks: 1, Priority: priority, Deadline: deadline, EstimatedRun: 10 * s}, SubmittedAt: 1000 * s, Revision: 5}
		if len(dependencies) > 0 {
			rec.Spec.Chain = &core.Chain{Dependencies: dependencies}
		}
		return rec
	}
	first, second, last := job("job-1", core.Low, 0), job("job-2", core.Low, 0, "job-1"), job("job-3", core.High, 100*s, "job-2")
	other := job("job-4", core.Normal, 50*s, "job-1")
	cancelled := func(rec core.JobRecord) core.JobRecord {
		rec = rec.Final(core.Cancelled, 2000*s)
		rec.Revision = 6
		return rec
	}
	dueBefore := func(u core.Micros, steps int) core.Micros { return u - core.Micros(steps)*20*s } // 1.5 runs and 5 s
	for _, c := range []struct {
		name          string
		records       []core.JobRecord
		first, second core.Urgency
	}{
		{"a chain", []core.JobRecord{first, second, last},
			core.Urgency{Priority: core.High, DueAt: dueBefore(1100*s, 2)}, core.Urgency{Priority: core.High, DueAt: dueBefore(1100*s, 1)}},
		{"the same, the last first", []core.JobRecord{last, second, first},
			core.Urgency{Priority: core.High, DueAt: dueBefore(1100*s, 2)}, core.Urgency{Priority: core.High, DueAt: dueBefore(1100*s, 1)}},
		{"two chains share the first", []core.JobRecord{first, second, last, other},
			core.Urgency{Priority: core.High, DueAt: dueBefore(1050*s, 1)}, core.Urgency{Priority: core.High, DueAt: dueBefore(1100*s, 1)}},
		{"the last is cancelled", []core.JobRecord{first, second, last, other, cancelled(last)},
			core.Urgency{Priority: core.Normal, DueAt: dueBefore(1050*s, 1)}, core.Urgency{Priority: core.Low}},
		{"all others are cancelled", []core.JobRecord{first, second, last, cancelled(second)},
			core.Urgency{Priority: core.Low}, core.Urgency{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			n := newTestNode()
			for _, rec := range c.records {
				n.applyJob(rec)
			}
			for id, want := range map[string]core.Urgency{"job-1": c.first, "job-2": c.second} {
				rec := n.view.jobs[id]
				got, ok := n.chains.urgency[id]
				if !ok && rec.Phase == core.Pending {
					got = ownUrgency(&rec)
				}
				if got != want {
					t.Errorf("%s: %+v, want %+v", id, got, want)
				}
			}
		})
	}
}
