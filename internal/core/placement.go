package core

import "slices"

// placement is one start of a task on a machine, from the decision until the
// machine no longer knows it.
type placement struct {
	job     *job // nil: a task of no unfinished job
	jobID   string
	index   int
	attempt uint64
	machine *machine
	need    Resources

	startSent            bool   // a start was sent, by a beat's answer or directly
	startReportSeq       uint64 // the report in whose answer the start went out last
	inDirectCommand      bool   // the start is in the direct command under way
	startUnanswered      bool   // a direct start went unanswered and may still arrive
	startUnansweredToken uint64
	reported             bool // the machine has reported it
	state                TaskState
	cause                Cause
	countedRunning       bool // as running

	stopRequested       bool
	grace               Micros
	stopSentAt          Micros // 0: never
	completionRecorded  bool   // its end is recorded, or needs no record
	placedAt            Micros // when it was decided
	runningAt           Micros
	inCurrentReport     bool // shown by the report being taken over
	resendStart         bool // repeat the start in the answer to this beat
	fetching            bool // last it was reported, it waited for its image
	retryPending        bool // a gang task that gave up waiting: to be forgotten and started once more
	waitRetries         int  // how often it was
	fromPartitionRecord bool // taken from a former leader's record of what it kept
	onSpare             bool // on spare room, by a job that had waited for long
}

func (p *placement) occupies() bool { return !(p.reported && p.state == Exited) }

// onWorker reports whether the worker may be counting the task's resources.
func (p *placement) mayOccupyWorker() bool { return (p.startSent || p.reported) && p.occupies() }

// add puts a placement on its machine and counts it.
func (c *Core) addPlacement(p *placement) {
	p.machine.placements = append(p.machine.placements, p)
	if p.occupies() {
		c.allocate(p)
	}
}

// hold counts a placement.
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

// release stops counting a placement: it has exited or is gone.
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
		// It may be there: it starts nowhere before that is over.
		j.live[p.index] = j.duplicates[i]
		j.duplicates = slices.Delete(j.duplicates, i, i+1)
	} else if j.status[p.index] == taskPlaced {
		j.setStatus(p.index, taskPending)
	}
}

// countRunning keeps the job's count of tasks that run.
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

// remove takes a placement off its machine for good.
func (c *Core) removePlacement(p *placement, now Micros) {
	if p.occupies() {
		c.deallocate(p, now)
		c.handleGangTaskLost(p, now)
	}
	ts := p.machine.placements
	for i, o := range ts {
		if o == p {
			p.machine.placements = append(ts[:i], ts[i+1:]...)
			break
		}
	}
	if p.job != nil && p.job.stopping {
		c.finishGangStop(p.job)
	}
}

// clear drops everything on a machine: its lease is over, or it is gone.
func (c *Core) clearMachine(m *machine, now Micros) {
	for len(m.placements) > 0 {
		c.removePlacement(m.placements[len(m.placements)-1], now)
	}
	m.fetchingTasks = 0
}
