package core

import (
	"cmp"
	"iter"
	"slices"
)

// Tally is what became of the jobs of a team and class.
type Tally struct {
	Team, Class string
	Accepted    int
	Done        int
	Cancelled   int
	Running     int    // begun, as far as it is recorded, and neither done nor cancelled
	Waiting     int    // not begun
	LongestWait Micros // of those
	Largest     Share  // the eighth of them with the most tasks
}

// Share is what became of some jobs, without those that were cancelled.
type Share struct {
	Jobs, Done, Begun int    // begun or done
	LongestWait       Micros // of those that are not begun
}

// largestShare: the largest jobs of a class are the first of so many by their tasks.
const largestShare = 8

// largestOf counts them.
func largestOf(jobs []JobRecord, wall Micros, begun func(id string) bool) Share {
	slices.SortStableFunc(jobs, func(a, b JobRecord) int { return cmp.Compare(b.Spec.Tasks, a.Spec.Tasks) })
	var s Share
	for _, r := range jobs[:(len(jobs)+largestShare-1)/largestShare] {
		switch {
		case r.Phase == Cancelled:
			continue
		case r.Phase == Done:
			s.Done++
			s.Begun++
		case begun(r.Spec.ID):
			s.Begun++
		default:
			s.LongestWait = max(s.LongestWait, wall-r.Submitted)
		}
		s.Jobs++
	}
	return s
}

// TallyJobs counts jobs by team and class, from their records: what it says does
// not depend on who leads, or since when. wall is the time of day; begun says
// whether a job has been.
func TallyJobs(jobs iter.Seq[JobRecord], wall Micros, begun func(id string) bool) []Tally {
	type pair struct{ team, class string }
	by := map[pair]*Tally{}
	all := map[pair][]JobRecord{}
	for r := range jobs {
		k := pair{r.Spec.Team, r.Spec.Class}
		t := by[k]
		if t == nil {
			t = &Tally{Team: k.team, Class: k.class}
			by[k] = t
		}
		t.Accepted++
		all[k] = append(all[k], r)
		switch {
		case r.Phase == Done:
			t.Done++
		case r.Phase == Cancelled:
			t.Cancelled++
		case begun(r.Spec.ID):
			t.Running++
		default:
			t.Waiting++
			t.LongestWait = max(t.LongestWait, wall-r.Submitted)
		}
	}
	out := make([]Tally, 0, len(by))
	for k, t := range by {
		t.Largest = largestOf(all[k], wall, begun)
		out = append(out, *t)
	}
	slices.SortFunc(out, func(a, b Tally) int {
		return cmp.Or(cmp.Compare(a.Team, b.Team), cmp.Compare(a.Class, b.Class))
	})
	return out
}

// Begun reports whether it is recorded that tasks of an unfinished job may have
// been started.
func (c *Core) Begun(id string) bool {
	j := c.jobs[id]
	return j != nil && j.opened
}
