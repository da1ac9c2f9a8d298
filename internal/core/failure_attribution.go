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
	suspectThreshold = 3
	// attributeJobs is how many jobs that are not suspect fail on a machine before it
	// is taken out of use.
	quarantineThreshold = 2
	// provenAfter is how long a task has to run to have run well: one that fails
	// does so once it has its image, or soon after.
	provenRunTime = 3 * Second
	// The pause of a suspect job doubles from the first to the most.
	suspectBackoff    = 2 * Second
	maxSuspectBackoff = 64 * Second
)

// suspect reports whether the job is taken to fail wherever it runs.
func (j *job) suspect() bool { return !j.proven && len(j.failedOn) >= suspectThreshold }

// failed notes that a task failed.
func (c *Core) recordFailure(p *placement, now Micros) {
	m, j := p.machine, p.job
	if j.failedOn == nil {
		j.failedOn = map[string]bool{}
	}
	before := j.suspect()
	j.failedOn[m.name] = true
	c.log("task failed", "machine", m.name, "job", p.jobID, "task", p.index, "machines_failed_on", len(j.failedOn), "proven", j.proven)
	if !j.suspect() {
		c.attributeToMachine(m, p.jobID, now)
		return
	}
	if !before {
		for name := range j.failedOn {
			if o := c.machines[name]; o != nil {
				delete(o.failedJobs, p.jobID)
			}
		}
	}
	if now >= j.notBefore { // or it is one more of those that were started together
		pause := min(suspectBackoff<<j.backoffs, maxSuspectBackoff)
		j.notBefore = now + pause
		j.backoffs = min(j.backoffs+1, 10)
		c.log("job backs off: it failed on several machines", "job", p.jobID, "machines", len(j.failedOn), "for_ms", pause/Millisecond)
	}
}

// blame lays a failure to a machine, which is taken out of use when several jobs
// failed there.
func (c *Core) attributeToMachine(m *machine, job string, now Micros) {
	if m.failedJobs == nil {
		m.failedJobs = map[string]bool{}
	}
	m.failedJobs[job] = true
	if len(m.failedJobs) >= quarantineThreshold && now >= m.quarantinedUntil {
		m.quarantinedUntil = now + c.cfg.Tuning.Quarantine
		c.log("quarantine: several jobs failed here", "machine", m.name)
		c.drain(m, now, 0)
	}
}

// ranWell notes that a task of the job did: where others of it failed, the
// machines are to blame.
func (c *Core) markProven(j *job, now Micros) {
	if j.proven {
		return
	}
	if j.suspect() {
		c.log("job is not at fault: a task of it runs", "job", j.spec.ID, "machines_failed_on", len(j.failedOn))
		j.notBefore = 0
		c.needsPlacement = true
	}
	j.proven = true
	if len(j.failedOn) == 0 {
		return
	}
	for _, m := range c.sortedMachines {
		if j.failedOn[m.name] {
			c.attributeToMachine(m, j.spec.ID, now)
		}
	}
}
