package simulator

import "time"

// dependencyTasks returns the number of tasks of each job that a job depends on.
func (c *Checker) dependencyTasks(s *Spec) map[string]int {
	if s == nil || len(s.Awaits) == 0 {
		return nil
	}
	out := map[string]int{}
	for _, id := range s.Awaits {
		if dependency := c.Job(id); dependency != nil {
			out[id] = dependency.Tasks
		}
	}
	return out
}

// unfinished returns a dependency of which a task is not done, or ""; c.mu is held.
func (c *Checker) unfinished(tasks map[string]int) string {
	for id, count := range tasks {
		if len(c.doneTasks[id]) < count {
			return id
		}
	}
	return ""
}

// ancestors returns the jobs that a job depends on, directly and through others.
func (c *Checker) ancestors(id string) []string {
	var out []string
	seen := map[string]bool{id: true}
	for next := []string{id}; len(next) > 0; next = next[1:] {
		s := c.Job(next[0])
		if s == nil {
			continue
		}
		for _, dependency := range s.Awaits {
			if !seen[dependency] {
				seen[dependency] = true
				out = append(out, dependency)
				next = append(next, dependency)
			}
		}
	}
	return out
}

// checkOrphaned reports a job that is called pending or running long after its user was told that one
// of its ancestors is cancelled; c.mu is held.
func (c *Checker) checkOrphaned(id, state string, ancestors []string) {
	if state != "pending" && state != "running" {
		return
	}
	for _, ancestor := range ancestors {
		if at, ok := c.cancelledAt[ancestor]; ok && c.Now().Sub(at) > c.CancelTimeout {
			c.reportViolation("orphaned: %s is %s, %v after %s was cancelled", id, state, c.Now().Sub(at).Round(time.Second), ancestor)
		}
	}
}

// mayBeCancelled reports whether the cancellation of a job or of one of its ancestors was requested;
// c.mu is held.
func (c *Checker) mayBeCancelled(id string, ancestors []string) bool {
	for _, ancestor := range ancestors {
		if c.cancelRequested[ancestor] {
			return true
		}
	}
	return c.cancelRequested[id]
}

// dependenciesRefused reports a job that was refused although all jobs that it names were accepted.
func (c *Checker) dependenciesRefused(s *Spec, status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range s.Awaits {
		if !c.accepted[id] {
			return
		}
	}
	if len(s.Awaits) > 0 {
		c.reportViolation("forgotten: %s, which waits for %v, is answered with %d", s.ID, s.Awaits, status)
	}
}
