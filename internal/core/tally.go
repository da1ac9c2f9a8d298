package core

import (
	"cmp"
	"iter"
	"slices"
)

// Tally is what became of the jobs of a team and class.
type JobStats struct {
	Team, Class string
	Accepted    int
	Done        int
	Cancelled   int
	Started     int          // begun, as far as it is recorded, and neither done nor cancelled
	Waiting     int          // not begun
	LongestWait Micros       // of those
	Largest     LargestStats // the eighth of them with the most tasks
}

// Share is what became of some jobs, without those that were cancelled.
type LargestStats struct {
	Jobs, Done, Started int    // begun or done
	LongestWait         Micros // of those that are not begun
}

// largestShare: the largest jobs of a class are the first of so many by their tasks.
const largestDivisor = 8

// largestOf counts them.
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
			s.LongestWait = max(s.LongestWait, wall-r.SubmittedAt)
		}
		s.Jobs++
	}
	return s
}

// TallyJobs counts jobs by team and class, from their records: what it says does
// not depend on who leads, or since when. wall is the time of day; begun says
// whether a job has been.
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
			t.LongestWait = max(t.LongestWait, wall-r.SubmittedAt)
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

// Begun reports whether it is recorded that tasks of an unfinished job may have
// been started.
func (c *Core) MayHaveStarted(id string) bool {
	j := c.jobs[id]
	return j != nil && j.mayHaveStarted
}
