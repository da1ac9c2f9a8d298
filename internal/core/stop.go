package core

// unwant marks a placement to be stopped; one that was never sent goes at once.
func (c *Core) unwant(p *placement, now Micros, grace Micros) {
	if p.unwanted && grace >= p.grace {
		return
	}
	if p.unwanted {
		p.stopSent = 0
	}
	p.unwanted, p.grace = true, grace
	c.touch(p.m)
	if !p.sent && !p.shown && !p.inDo {
		c.remove(p, now)
	}
}

// drain empties a machine: its tasks are stopped, with time to save where
// there is some, and start elsewhere.
func (c *Core) drain(m *machine, now, by Micros) {
	if m.draining {
		return
	}
	m.draining = true
	c.dirty = true
	for i := len(m.tasks) - 1; i >= 0; i-- {
		if i >= len(m.tasks) {
			continue
		}
		p := m.tasks[i]
		if !p.holds() || p.unwanted {
			continue
		}
		c.stopTask(p, now, by)
	}
}

// stopTask stops a task, and with it its gang.
func (c *Core) stopTask(p *placement, now, by Micros) {
	if p.j == nil {
		c.unwant(p, now, 0)
		return
	}
	grace := Micros(0)
	// Going back to the last checkpoint loses half an interval, on the average;
	// saving holds the machine up for as long as it takes.
	if p.j.spec.SaveCost < p.j.spec.Checkpoint/2 && (by == 0 || now+p.j.spec.SaveCost < by) {
		grace = p.j.spec.SaveCost + Second
	}
	if p.j.spec.Kind == Gang && !p.j.waiting() {
		c.stopGang(p.j, now, grace)
		return
	}
	c.unwant(p, now, grace)
}

func (c *Core) dropUnwantedUnsent(m *machine, now Micros) {
	for i := len(m.tasks) - 1; i >= 0; i-- {
		if i < len(m.tasks) {
			if p := m.tasks[i]; p.unwanted && !p.sent && !p.shown && !p.inDo {
				c.remove(p, now)
			}
		}
	}
}
