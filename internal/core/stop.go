package core

// stopPlacement requests that a placement is stopped within the grace period. A placement whose
// start was never sent is removed immediately. A shorter grace period replaces an earlier one.
func (c *Core) stopPlacement(p *placement, now Micros, grace Micros) {
	if p.stopRequested && grace >= p.grace {
		return
	}
	if p.stopRequested {
		p.stopSentAt = 0
	}
	p.stopRequested, p.grace = true, grace
	c.queueCommands(p.machine)
	if p.unsent() {
		c.removePlacement(p, now)
	}
}

// drain stops all tasks of a machine, so that they start elsewhere. They get time to write a
// checkpoint if the deadline allows it; 0 means no deadline.
func (c *Core) drain(m *machine, now, deadline Micros) {
	if m.draining {
		return
	}
	m.draining = true
	c.needsPlacement = true
	for i := len(m.placements) - 1; i >= 0; i-- {
		if i >= len(m.placements) {
			continue
		}
		p := m.placements[i]
		if !p.occupies() || p.stopRequested {
			continue
		}
		c.stopTask(p, now, deadline)
	}
}

// stopTask stops a task, and all of its gang if that has started. The task gets time to write a
// checkpoint if this is worthwhile and can be done before the deadline; 0 means no deadline.
func (c *Core) stopTask(p *placement, now, deadline Micros) {
	if p.job == nil {
		c.stopPlacement(p, now, 0)
		return
	}
	grace := Micros(0)
	// Without a new checkpoint, half an interval of work is lost on average. Writing one occupies
	// the machine for the duration of the write.
	if p.job.spec.CheckpointCost < p.job.spec.CheckpointInterval/2 && (deadline == 0 || now+p.job.spec.CheckpointCost < deadline) {
		grace = p.job.spec.CheckpointCost + Second
	}
	if p.job.spec.Kind == Gang && !p.job.awaitsGangStart() {
		c.stopGang(p.job, now, grace)
		return
	}
	c.stopPlacement(p, now, grace)
}

// removeUnsentStopped removes placements that are to be stopped and whose start has not been sent.
func (c *Core) removeUnsentStopped(m *machine, now Micros) {
	for i := len(m.placements) - 1; i >= 0; i-- {
		if i < len(m.placements) {
			if p := m.placements[i]; p.stopRequested && p.unsent() {
				c.removePlacement(p, now)
			}
		}
	}
}
