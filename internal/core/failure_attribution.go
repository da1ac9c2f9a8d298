package core

// A task's failure is attributed to its machine or to its job. A faulty machine fails the tasks of
// every job; a job that was submitted with a mistake fails on every machine. A job is proven once
// one of its tasks has run well: then each of its failures, also an earlier one, counts against the
// machine. A job is suspect if it has failed on several machines and is not proven: its failures
// count against no machine, and it is retried with one task at a time, with exponential back-off.
// The failures of a job that is neither count against the machine.
//
// Without this attribution a few jobs with mistakes quarantine most of the fleet: a hundred tasks
// of one job fail on as many machines at the same time.

const (
	// suspectThreshold is the number of machines on which an unproven job must have failed to be
	// suspect.
	suspectThreshold = 3
	// quarantineThreshold is the number of jobs, not suspect, that must have failed on a machine
	// for it to be quarantined.
	quarantineThreshold = 2
	// provenRunTime is the run time after which a task counts as having run well: a task with a
	// mistake fails when it has fetched its image, or soon after.
	provenRunTime = 3 * Second
	// suspectBackoff is the first back-off of a suspect job. It doubles up to maxSuspectBackoff.
	suspectBackoff    = 2 * Second
	maxSuspectBackoff = 64 * Second
)

// suspect reports whether the job is assumed to fail on every machine.
func (j *job) suspect() bool { return !j.proven && len(j.failedOn) >= suspectThreshold }

// recordFailure attributes the failure of a task to its machine, or to its job, which then backs
// off.
func (c *Core) recordFailure(p *placement, now Micros) {
	m, j := p.machine, p.job
	if j.failedOn == nil {
		j.failedOn = map[string]bool{}
	}
	wasSuspect := j.suspect()
	j.failedOn[m.name] = true
	c.log("task failed", "machine", m.name, "job", p.jobID, "task", p.index, "machines_failed_on", len(j.failedOn), "proven", j.proven)
	if !j.suspect() {
		c.attributeToMachine(m, p.jobID, now)
		return
	}
	if !wasSuspect {
		for name := range j.failedOn {
			if other := c.machines[name]; other != nil {
				delete(other.failedJobs, p.jobID)
			}
		}
	}
	if now >= j.notBefore { // tasks that were started together cause one back-off
		backoff := min(suspectBackoff<<j.backoffs, maxSuspectBackoff)
		j.notBefore = now + backoff
		j.backoffs = min(j.backoffs+1, 10)
		c.log("job backs off: it failed on several machines", "job", p.jobID, "machines", len(j.failedOn), "for_ms", backoff/Millisecond)
	}
}

// attributeToMachine counts a job's failure against a machine, and quarantines the machine once
// several jobs have failed on it.
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

// markProven records that a task of the job has run well. The job's earlier failures are attributed
// to the machines.
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
