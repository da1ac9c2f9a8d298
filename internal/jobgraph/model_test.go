package jobgraph_test

import (
	"fmt"
	"slices"
	"testing"

	"aspenstall/internal/jobgraph"
)

// The model has two nodes and three jobs. Final records go to a log; each node's view is a prefix of it.
// Writes are on condition that the job's record is not final, and one cancellation gets no answer and may
// be executed at any later time. Any node may start tasks by its view, as a leader that does not know of
// its successor would.

// modelJobs are the dependencies of each job in the models.
var modelJobs = map[string][3][]int{
	"a chain":                 {nil, {0}, {1}},
	"two before one":          {nil, nil, {0, 1}},
	"two behind one":          {nil, {0}, {0}},
	"a chain with a shortcut": {nil, {0}, {0, 1}},
}

// finalRecord is a job's record in the log.
type finalRecord struct {
	job   int
	state jobgraph.State
}

// modelState is a state of the model.
type modelState struct {
	log     [3]finalRecord // the first written entries
	written int
	views   [2]int  // entries that each node has read
	started [3]bool // tasks that have started
	told    [3]jobgraph.State
	late    int // the job of a cancellation without an answer, or -1
}

// record returns the state of a job as recorded in the first entries of the log.
func (s *modelState) record(job, entries int) jobgraph.State {
	for _, r := range s.log[:entries] {
		if r.job == job {
			return r.state
		}
	}
	return jobgraph.Unsettled
}

// write appends a final record if the job has none, and reports whether it did.
func (s *modelState) write(job int, state jobgraph.State) bool {
	if s.record(job, s.written) != jobgraph.Unsettled {
		return false
	}
	s.log[s.written] = finalRecord{job, state}
	s.written++
	return true
}

// model explores the states of one set of jobs.
type model struct {
	t            *testing.T
	dependencies [3][]int
	seen         map[modelState]bool
	queue        []modelState
}

// view returns how each job counts by the first entries of the log, worked out with a Graph.
func (m *model) view(s *modelState, entries int) (readiness [3]jobgraph.Readiness, state [3]jobgraph.State) {
	var g jobgraph.Graph
	known := func(id string) jobgraph.State {
		for job := range state {
			if name(job) == id {
				return state[job]
			}
		}
		return jobgraph.Unsettled
	}
	for job, dependencies := range m.dependencies {
		var names []string
		for _, d := range dependencies {
			names = append(names, name(d))
		}
		readiness[job] = g.Add(name(job), names, known)
	}
	for _, r := range s.log[:entries] {
		state[r.job] = r.state
		if r.state == jobgraph.Done {
			ready := g.Finish(name(r.job))
			for job := range readiness {
				if slices.Contains(ready, name(job)) {
					readiness[job] = jobgraph.Ready
				}
			}
			continue
		}
		orphaned := g.Cancel(name(r.job))
		for job := range readiness {
			if slices.Contains(orphaned, name(job)) {
				readiness[job], state[job] = jobgraph.Orphaned, jobgraph.Cancelled
			}
		}
	}
	return readiness, state
}

// ancestorTold reports whether a user was told that a job before this one is cancelled.
func (m *model) ancestorTold(s *modelState, job int) bool {
	return slices.ContainsFunc(m.dependencies[job], func(d int) bool { return s.told[d] == jobgraph.Cancelled || m.ancestorTold(s, d) })
}

// add adds a state that is reached.
func (m *model) add(s modelState) {
	if !m.seen[s] {
		m.seen[s] = true
		m.queue = append(m.queue, s)
	}
}

// tell answers a question about a job, and checks the answer.
func (m *model) tell(s modelState, job int, answer jobgraph.State) {
	if s.told[job] != jobgraph.Unsettled && s.told[job] != answer {
		m.t.Errorf("went_back: job %d was %d, now %d in %+v", job, s.told[job], answer, s)
	}
	if answer != jobgraph.Cancelled && m.ancestorTold(&s, job) {
		m.t.Errorf("orphaned: job %d is %d in %+v", job, answer, s)
	}
	s.told[job] = answer
	m.add(s)
}

// start starts the tasks of a job, and checks that they may.
func (m *model) start(s modelState, job int) {
	for _, d := range m.dependencies[job] {
		if s.record(d, s.written) != jobgraph.Done {
			m.t.Errorf("too_early: job %d starts in %+v", job, s)
		}
	}
	s.started[job] = true
	m.add(s)
}

// step adds the states that follow a state by what one node does about one job.
func (m *model) step(s modelState, node, job int) {
	readiness, state := m.view(&s, s.views[node])
	_, current := m.view(&s, s.written)
	if readiness[job] == jobgraph.Ready && state[job] == jobgraph.Unsettled && !s.started[job] {
		m.start(s, job)
	}
	if next := s; s.started[job] && next.write(job, jobgraph.Done) {
		m.add(next)
	}
	if next := s; readiness[job] == jobgraph.Orphaned && next.write(job, jobgraph.Cancelled) {
		m.add(next) // the leader records what counts already
	}
	if next := s; state[job] == jobgraph.Unsettled && next.write(job, jobgraph.Cancelled) {
		m.tell(next, job, jobgraph.Cancelled) // a user's cancellation
		if s.late < 0 {
			unanswered := s
			unanswered.late = job
			m.add(unanswered)
		}
	}
	// A question: a final state from the view, any other after a read.
	if state[job] != jobgraph.Unsettled {
		m.tell(s, job, state[job])
	} else {
		next := s
		next.views[node] = s.written
		m.tell(next, job, current[job])
	}
}

// TestModel explores every state of the models, and checks too_early, orphaned and went_back in each.
func TestModel(t *testing.T) {
	for what, dependencies := range modelJobs {
		t.Run(what, func(t *testing.T) {
			m := &model{t: t, dependencies: dependencies, seen: map[modelState]bool{}}
			m.add(modelState{late: -1})
			for ; len(m.queue) > 0 && !t.Failed(); m.queue = m.queue[1:] {
				s := m.queue[0]
				for node := range s.views {
					if s.views[node] < s.written {
						next := s
						next.views[node]++
						m.add(next)
					}
					for job := range m.dependencies {
						m.step(s, node, job)
					}
				}
				if s.late >= 0 {
					next := s
					next.late = -1
					next.write(s.late, jobgraph.Cancelled) // at last
					m.add(next)
				}
			}
			t.Log(fmt.Sprint(len(m.seen), " states"))
			if len(m.seen) < 1000 {
				t.Errorf("only %d states", len(m.seen))
			}
		})
	}
}
