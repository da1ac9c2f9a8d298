package core

import "slices"

// placement is one attempt to run a task on a machine. It exists from the placement decision
// until the machine has forgotten the task.
type placement struct {
	job     *job // nil: the task belongs to no unfinished job
	jobID   string
	index   int
	attempt uint64
	machine *machine
	need    Resources

	startSent       bool   // a start was sent, in the answer to a report or directly
	startReportSeq  uint64 // sequence number of the report whose answer last carried the start
	inDirectCommand bool   // the start is in the direct command that is in flight
	startUnanswered bool   // a direct start was not answered and may still arrive
	directStart     startToken
	reported        bool // the machine has reported it
	state           TaskState
	cause           Cause
	countedRunning  bool // included in the job's count of running tasks

	stopRequested       bool
	grace               Micros
	stopSentAt          Micros // 0: never
	placedAt            Micros // when the placement was decided
	runningAt           Micros // when the task was first reported as running; 0: never
	inCurrentReport     bool   // listed in the report that is being applied
	resendStart         bool   // the answer to the current report repeats the start
	fetching            bool   // waiting for its image, as of the last report
	retryPending        bool   // a gang task that stopped waiting for its peers: to be forgotten and started again
	waitRetries         int    // number of such restarts
	fromPartitionRecord bool   // known only from a former leader's partition record
	onSpare             bool   // uses spare capacity, because its job was starving
}

// taskAttempt identifies the attempt.
func (p *placement) taskAttempt() TaskAttempt { return TaskAttempt{p.jobID, p.index, p.attempt} }

// unsent reports whether no start of the placement was sent and no machine has reported it.
func (p *placement) unsent() bool { return !p.startSent && !p.inDirectCommand && !p.reported }

// occupies reports whether the placement occupies its resources: it does until the machine
// reports that the task has exited.
func (p *placement) occupies() bool { return !(p.reported && p.state == Exited) }

// mayOccupyWorker reports whether the worker may count the task's resources as used.
func (p *placement) mayOccupyWorker() bool { return (p.startSent || p.reported) && p.occupies() }

// addPlacement adds a placement to its machine and allocates its resources.
func (c *Core) addPlacement(p *placement) {
	p.machine.placements = append(p.machine.placements, p)
	if p.occupies() {
		c.allocate(p)
	}
}

// allocate counts a placement's resources as used by its machine, team and job.
func (c *Core) allocate(p *placement) {
	p.machine.used = p.machine.used.Add(p.need)
	p.machine.idleSince = 0
	if p.job == nil {
		return
	}
	t := p.job.team
	t.used = t.used.Add(p.need)
	t.placedByPriority[p.job.spec.Priority]++
	p.job.placedByZone[p.machine.zone]++
	p.job.occupying++
	if p.job.live[p.index] == nil && p.job.status[p.index] != taskDone {
		p.job.live[p.index] = p
		p.job.setStatus(p.index, taskPlaced)
		c.notifyProgress(p.job)
	} else if q := p.job.live[p.index]; q != nil && q != p {
		p.job.duplicates = append(p.job.duplicates, p)
	}
}

// deallocate undoes allocate for a placement that has exited or is gone.
func (c *Core) deallocate(p *placement, now Micros) {
	m := p.machine
	m.used = m.used.Sub(p.need)
	if p.onSpare {
		m.spareUsed, p.onSpare = m.spareUsed.Sub(p.need), false
	}
	c.changedMachines = append(c.changedMachines, m)
	c.needsPlacement = true
	if m.used == (Resources{}) {
		m.idleSince = now
	}
	if p.job == nil {
		return
	}
	c.setRunning(p, false)
	if p.reported && p.fetching {
		m.dropImage(p.job.imageID)
	}
	t := p.job.team
	t.used = t.used.Sub(p.need)
	t.placedByPriority[p.job.spec.Priority]--
	p.job.placedByZone[m.zone]--
	p.job.occupying--
	j := p.job
	j.duplicates = slices.DeleteFunc(j.duplicates, func(o *placement) bool { return o == p })
	if j.live[p.index] != p {
		return
	}
	delete(j.live, p.index)
	if i := slices.IndexFunc(j.duplicates, func(o *placement) bool { return o.index == p.index }); i >= 0 {
		// The task may still run as a duplicate on another machine, so it is not started
		// again before that placement ends.
		j.live[p.index] = j.duplicates[i]
		j.duplicates = slices.Delete(j.duplicates, i, i+1)
	} else if j.status[p.index] == taskPlaced {
		j.setStatus(p.index, taskPending)
	}
}

// setRunning records whether the task runs and updates the job's count of running tasks.
func (c *Core) setRunning(p *placement, running bool) {
	if p.countedRunning == running || p.job == nil {
		return
	}
	p.countedRunning = running
	if running {
		p.job.running++
	} else {
		p.job.running--
	}
	c.notifyProgress(p.job)
}

// removePlacement removes a placement from its machine and deallocates its resources.
func (c *Core) removePlacement(p *placement, now Micros) {
	if p.occupies() {
		c.deallocate(p, now)
		c.handleGangTaskLost(p, now)
	}
	p.machine.detach(p)
	if p.job != nil && p.job.stopping {
		c.finishGangStop(p.job)
	}
}

// detach removes a placement from the machine's list, and reports whether it was there.
func (m *machine) detach(p *placement) bool {
	i := slices.Index(m.placements, p)
	if i < 0 {
		return false
	}
	m.placements = append(m.placements[:i], m.placements[i+1:]...)
	return true
}

// clearMachine removes all placements of a machine whose lease is over or that is gone.
func (c *Core) clearMachine(m *machine, now Micros) {
	for len(m.placements) > 0 {
		c.removePlacement(m.placements[len(m.placements)-1], now)
	}
	m.exited = nil
	m.fetchingTasks = 0
}
