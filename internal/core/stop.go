package core

// unwant marks a placement to be stopped; one that was never sent goes at once.
func (c *Core) stopPlacement(p *placement, now Micros, grace Micros) {
	if p.stopRequested && grace >= p.grace {
		return
	}
	if p.stopRequested {
		p.stopSentAt = 0
	}
	p.stopRequested, p.grace = true, grace
	c.queueCommands(p.machine)
	if !p.startSent && !p.reported && !p.inDirectCommand {
		c.removePlacement(p, now)
	}
}

// drain empties a machine: its tasks are stopped, with time to save where
// there is some, and start elsewhere.
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

// stopTask stops a task, and with it its gang.
func (c *Core) stopTask(p *placement, now, deadline Micros) {
	if p.job == nil {
		c.stopPlacement(p, now, 0)
		return
	}
	grace := Micros(0)
	// Going back to the last checkpoint loses half an interval, on the average;
	// saving holds the machine up for as long as it takes.
	if p.job.spec.CheckpointCost < p.job.spec.CheckpointInterval/2 && (deadline == 0 || now+p.job.spec.CheckpointCost < deadline) {
		grace = p.job.spec.CheckpointCost + Second
	}
	if p.job.spec.Kind == Gang && !p.job.awaitsGangStart() {
		c.stopGang(p.job, now, grace)
		return
	}
	c.stopPlacement(p, now, grace)
}

func (c *Core) removeUnsentStopped(m *machine, now Micros) {
	for i := len(m.placements) - 1; i >= 0; i-- {
		if i < len(m.placements) {
			if p := m.placements[i]; p.stopRequested && !p.startSent && !p.reported && !p.inDirectCommand {
				c.removePlacement(p, now)
			}
		}
	}
}
