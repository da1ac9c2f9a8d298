package jobgraph_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"aspenstall/internal/jobgraph"
)

// randomGraph is a random history of jobs: each names some of those before it.
type randomGraph struct {
	dependencies [][]int
	state        []jobgraph.State // as recorded
}

// name returns a job's id.
func name(job int) string { return fmt.Sprint("job-", job) }

// orphaned reports whether some ancestor of a job is cancelled, by definition.
func (r *randomGraph) orphaned(job int) bool {
	return slices.ContainsFunc(r.dependencies[job], func(d int) bool { return r.state[d] == jobgraph.Cancelled || r.orphaned(d) })
}

// ready reports whether all dependencies of a job are done, by definition.
func (r *randomGraph) ready(job int) bool {
	return !slices.ContainsFunc(r.dependencies[job], func(d int) bool { return r.state[d] != jobgraph.Done })
}

// TestGraph compares the graph with the definitions: jobs are added in any order, as records of a list
// are read, while others finish and are cancelled. A job that is ready too early starts before its
// dependencies are done (too_early); one that is not orphaned stays pending for ever (orphaned).
func TestGraph(t *testing.T) {
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 11))
		const jobs = 14
		r := randomGraph{make([][]int, jobs), make([]jobgraph.State, jobs)}
		for job := range jobs {
			for d := range job {
				if random.IntN(4) == 0 {
					r.dependencies[job] = append(r.dependencies[job], d)
				}
			}
		}
		var g jobgraph.Graph
		added := make([]bool, jobs)
		readiness := make([]jobgraph.Readiness, jobs) // as the graph told last
		visible := func(id string) jobgraph.State {
			for job := range jobs {
				if name(job) == id && added[job] {
					if readiness[job] == jobgraph.Orphaned {
						return jobgraph.Cancelled
					}
					return r.state[job]
				}
			}
			return jobgraph.Unsettled
		}
		apply := func(ids []string, now jobgraph.Readiness) {
			for job := range jobs {
				if slices.Contains(ids, name(job)) {
					readiness[job] = now
				}
			}
		}
		add := func(job int) {
			var names []string
			for _, d := range r.dependencies[job] {
				names = append(names, name(d))
			}
			added[job] = true
			if r.state[job] == jobgraph.Unsettled {
				readiness[job] = g.Add(name(job), names, visible)
			}
			switch {
			case r.state[job] == jobgraph.Done:
				apply(g.Finish(name(job)), jobgraph.Ready)
			case r.state[job] == jobgraph.Cancelled || readiness[job] == jobgraph.Orphaned:
				apply(g.Cancel(name(job)), jobgraph.Orphaned)
			}
		}
		check := func(when string) {
			for job := range jobs {
				if !added[job] || r.state[job] != jobgraph.Unsettled {
					continue
				}
				want := jobgraph.Waiting
				switch {
				case r.orphaned(job):
					want = jobgraph.Orphaned
				case r.ready(job):
					want = jobgraph.Ready
				}
				if readiness[job] != want || g.Waits(name(job)) != (want == jobgraph.Waiting) {
					t.Fatalf("seed %d, %s: job %d is %d, want %d", seed, when, job, readiness[job], want)
				}
			}
		}
		// Some jobs end before the records are read.
		settle := func(job int) {
			switch {
			case r.state[job] != jobgraph.Unsettled || r.orphaned(job):
			case random.IntN(3) == 0:
				r.state[job] = jobgraph.Cancelled
			case r.ready(job):
				r.state[job] = jobgraph.Done
			}
		}
		for range jobs / 2 {
			settle(random.IntN(jobs))
		}
		for _, job := range random.Perm(jobs) {
			add(job)
		}
		check("after the list")
		for range 3 * jobs {
			job := random.IntN(jobs)
			before := r.state[job]
			settle(job)
			switch {
			case r.state[job] == before:
			case r.state[job] == jobgraph.Done:
				apply(g.Finish(name(job)), jobgraph.Ready)
			default:
				apply(g.Cancel(name(job)), jobgraph.Orphaned)
			}
			check("later")
		}
	}
}

// TestWideAndDeep checks that a closure of a thousand dependents, and one a hundred deep, are found.
func TestWideAndDeep(t *testing.T) {
	pending := func(string) jobgraph.State { return jobgraph.Unsettled }
	var wide, deep jobgraph.Graph
	for job := range 1000 {
		wide.Add(name(job+1), []string{name(0)}, pending)
	}
	for job := range 100 {
		deep.Add(name(job+1), []string{name(job)}, pending)
	}
	if n, m := len(wide.Cancel(name(0))), len(deep.Cancel(name(0))); n != 1000 || m != 100 || wide.Size()+deep.Size() != 0 {
		t.Errorf("%d and %d jobs are orphaned, %d and %d are left", n, m, wide.Size(), deep.Size())
	}
}
