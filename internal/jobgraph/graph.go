// Package jobgraph follows which jobs wait for which others: their dependencies, all of which have to be
// done before a task of the job may start. If a dependency is cancelled, so are its dependents.
//
// A user names only jobs that were accepted before, so there are no cycles among accepted jobs.
// Records may be read in any order, though: a dependency that is not known yet is waited for.
package jobgraph

import "slices"

// State is the state of a job as far as its dependents are concerned.
type State uint8

// The states of a job.
const (
	Unsettled State = iota // pending, or not known yet
	Done
	Cancelled
)

// Readiness is whether the tasks of a job may start.
type Readiness uint8

// The values of Readiness.
const (
	Ready Readiness = iota // all dependencies are done
	Waiting
	Orphaned // a dependency, or one of its own, is cancelled
)

// Graph has the jobs that wait and those that they wait for. The zero value is empty. Jobs that are
// settled are not in it, so its size follows the jobs that wait.
type Graph struct {
	missing    map[string]int      // the number of dependencies that are not done, by waiting job
	dependents map[string][]string // the jobs that wait for a job
}

// Add adds a job that is pending, with the names of its dependencies and a function that returns their
// states. It must be called once for each job; a repeated call returns what the first one did, as far
// as nothing has changed since.
func (g *Graph) Add(id string, dependencies []string, state func(id string) State) Readiness {
	if _, known := g.missing[id]; known {
		return Waiting
	}
	var unsettled []string
	for _, dependency := range dependencies {
		switch state(dependency) {
		case Cancelled:
			return Orphaned
		case Unsettled:
			unsettled = append(unsettled, dependency)
		}
	}
	if len(unsettled) == 0 {
		return Ready
	}
	if g.missing == nil {
		g.missing, g.dependents = map[string]int{}, map[string][]string{}
	}
	g.missing[id] = len(unsettled)
	for _, dependency := range unsettled {
		g.dependents[dependency] = append(g.dependents[dependency], id)
	}
	return Waiting
}

// Waits reports whether a job waits for others.
func (g *Graph) Waits(id string) bool { return g.missing[id] > 0 }

// HasDependents reports whether jobs wait for a job, or did so.
func (g *Graph) HasDependents(id string) bool { return len(g.dependents[id]) > 0 }

// Dependents returns the jobs that wait for a job.
func (g *Graph) Dependents(id string) []string {
	return slices.DeleteFunc(slices.Clone(g.dependents[id]), func(dependent string) bool { return !g.Waits(dependent) })
}

// Size returns the number of jobs that wait.
func (g *Graph) Size() int { return len(g.missing) }

// Finish records that a job is done, and returns the jobs that are ready by it. The cost follows the
// number of its dependents.
func (g *Graph) Finish(id string) (ready []string) {
	for _, dependent := range g.dependents[id] {
		missing, waits := g.missing[dependent]
		switch {
		case !waits: // it was cancelled meanwhile
		case missing == 1:
			delete(g.missing, dependent)
			ready = append(ready, dependent)
		default:
			g.missing[dependent] = missing - 1
		}
	}
	delete(g.dependents, id)
	return ready
}

// Cancel records that a job is cancelled, and returns the jobs that are orphaned by it, directly or
// through others, those that depend on it directly first. The cost follows their number.
func (g *Graph) Cancel(id string) (orphaned []string) {
	delete(g.missing, id)
	next := []string{id}
	for len(next) > 0 {
		dependents := g.dependents[next[0]]
		delete(g.dependents, next[0])
		next = next[1:]
		for _, dependent := range dependents {
			if _, waits := g.missing[dependent]; !waits {
				continue
			}
			delete(g.missing, dependent)
			orphaned = append(orphaned, dependent)
			next = append(next, dependent)
		}
	}
	return orphaned
}
