package core

import (
	"cmp"
	"iter"
	"slices"
)

// JobStats counts the jobs of a team and class by their outcome.
type JobStats struct {
	Team, Class string
	Accepted    int
	Done        int
	Cancelled   int
	Started     int          // neither done nor cancelled, and recorded as possibly started
	Waiting     int          // not started
	LongestWait Micros       // the longest time since submission among those waiting
	Largest     LargestStats // the largest eighth of the jobs, by number of tasks
}

// LargestStats counts the largest jobs of a team and class. Cancelled jobs are not counted.
type LargestStats struct {
	Jobs, Done, Started int    // Started includes Done
	LongestWait         Micros // the longest time since submission among those not started
}

// largestDivisor defines the largest jobs of a class: one in largestDivisor, by number of tasks.
const largestDivisor = 8

// readyFor returns how long a job's tasks could have started; 0 while it waits for other jobs.
func (r *JobRecord) readyFor(wall Micros) Micros {
	if r.Spec.Chain != nil && r.Spec.Chain.ReadyAt == 0 {
		return 0
	}
	return wall - r.ReadyAt()
}

// largestStats counts the largest of the jobs, which it sorts by number of tasks.
func largestStats(jobs []JobRecord, wall Micros, started func(id string) bool) LargestStats {
	slices.SortStableFunc(jobs, func(a, b JobRecord) int { return cmp.Compare(b.Spec.Tasks, a.Spec.Tasks) })
	var s LargestStats
	for _, r := range jobs[:(len(jobs)+largestDivisor-1)/largestDivisor] {
		switch {
		case r.Phase == Cancelled:
			continue
		case r.Phase == Done:
			s.Done++
			s.Started++
		case started(r.Spec.ID):
			s.Started++
		default:
			s.LongestWait = max(s.LongestWait, r.readyFor(wall))
		}
		s.Jobs++
	}
	return s
}

// CollectJobStats counts jobs by team and class, ordered by these. It counts from the records of
// the jobs, so the result does not depend on which node leads or for how long. wall is the
// wall-clock time. started reports whether tasks of a job may have been started.
func CollectJobStats(jobs iter.Seq[JobRecord], wall Micros, started func(id string) bool) []JobStats {
	type pair struct{ team, class string }
	stats := map[pair]*JobStats{}
	records := map[pair][]JobRecord{}
	for r := range jobs {
		k := pair{r.Spec.Team, r.Spec.Class}
		t := stats[k]
		if t == nil {
			t = &JobStats{Team: k.team, Class: k.class}
			stats[k] = t
		}
		t.Accepted++
		records[k] = append(records[k], r)
		switch {
		case r.Phase == Done:
			t.Done++
		case r.Phase == Cancelled:
			t.Cancelled++
		case started(r.Spec.ID):
			t.Started++
		default:
			t.Waiting++
			t.LongestWait = max(t.LongestWait, r.readyFor(wall))
		}
	}
	out := make([]JobStats, 0, len(stats))
	for k, t := range stats {
		t.Largest = largestStats(records[k], wall, started)
		out = append(out, *t)
	}
	slices.SortFunc(out, func(a, b JobStats) int {
		return cmp.Or(cmp.Compare(a.Team, b.Team), cmp.Compare(a.Class, b.Class))
	})
	return out
}

// MayHaveStarted reports whether it is recorded that tasks of an unfinished job may have been
// started.
func (c *Core) MayHaveStarted(id string) bool {
	j := c.jobs[id]
	return j != nil && j.mayHaveStarted
}
