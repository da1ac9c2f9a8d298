package core

// A task that fails is its machine's fault or its job's. A faulty machine fails
// every task, whatever its job; a job that was submitted with a mistake fails on
// every machine. So a job of which a task has run well is not at fault (proven),
// and each of its failures speaks against the machine; one that failed on several
// machines while nothing of it ran well anywhere is suspect, its failures speak
// against no machine, and it is tried with one task at a time, less and less
// often. While neither is known, its failures count against the machine.
//
// Without this a few jobs with a mistake put most of the fleet out of use: a
// hundred of one's tasks fail on as many machines in the same moment.

const (
	// suspectFrom is on how many machines a job fails before it is suspect.
	suspectFrom = 3
	// attributeJobs is how many jobs that are not suspect fail on a machine before it
	// is taken out of use.
	attributeJobs = 2
	// provenAfter is how long a task has to run to have run well: one that fails
	// does so once it has its image, or soon after.
	provenAfter = 3 * Second
	// The pause of a suspect job doubles from the first to the most.
	suspectPause     = 2 * Second
	suspectPauseMost = 64 * Second
)

// suspect reports whether the job is taken to fail wherever it runs.
func (j *job) suspect() bool { return !j.proven && len(j.errors) >= suspectFrom }

// failed notes that a task failed.
func (c *Core) failed(p *placement, now Micros) {
	m, j := p.m, p.j
	if j.errors == nil {
		j.errors = map[string]bool{}
	}
	before := j.suspect()
	j.errors[m.name] = true
	c.note("task failed", "machine", m.name, "job", p.job, "task", p.index, "machines_failed_on", len(j.errors), "proven", j.proven)
	if !j.suspect() {
		c.blame(m, p.job, now)
		return
	}
	if !before {
		for name := range j.errors {
			if o := c.machines[name]; o != nil {
				delete(o.failed, p.job)
			}
		}
	}
	if now >= j.notBefore { // or it is one more of those that were started together
		pause := min(suspectPause<<j.pauses, suspectPauseMost)
		j.notBefore = now + pause
		j.pauses = min(j.pauses+1, 10)
		c.note("job backs off: it failed on several machines", "job", p.job, "machines", len(j.errors), "for_ms", pause/Millisecond)
	}
}

// blame lays a failure to a machine, which is taken out of use when several jobs
// failed there.
func (c *Core) blame(m *machine, job string, now Micros) {
	if m.failed == nil {
		m.failed = map[string]bool{}
	}
	m.failed[job] = true
	if len(m.failed) >= attributeJobs && now >= m.quarantine {
		m.quarantine = now + c.cfg.Tuning.Quarantine
		c.note("quarantine: several jobs failed here", "machine", m.name)
		c.drain(m, now, 0)
	}
}

// ranWell notes that a task of the job did: where others of it failed, the
// machines are to blame.
func (c *Core) ranWell(j *job, now Micros) {
	if j.proven {
		return
	}
	if j.suspect() {
		c.note("job is not at fault: a task of it runs", "job", j.spec.ID, "machines_failed_on", len(j.errors))
		j.notBefore = 0
		c.dirty = true
	}
	j.proven = true
	if len(j.errors) == 0 {
		return
	}
	for _, m := range c.order {
		if j.errors[m.name] {
			c.blame(m, j.spec.ID, now)
		}
	}
}
