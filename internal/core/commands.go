package core

import "slices"

// touch has the machine looked at for commands.
func (c *Core) touch(m *machine) {
	if !m.dirty {
		m.dirty = true
		c.touched = append(c.touched, m)
	}
}

// touchLater does so after a pause.
func (c *Core) touchLater(m *machine) {
	if !m.later {
		m.later = true
		c.retouch = append(c.retouch, m)
	}
}

// commands works out what the machine is to be told: the difference between
// what is wanted there and what it has shown. In the answer to a beat that is
// everything; directly, only what was not sent yet.
func (c *Core) commands(m *machine, now Micros, beat bool) []Command {
	var forget, stop, start []Command
	if m.lost {
		return nil
	}
	var on Res
	for _, p := range m.tasks {
		if p.onWorker() {
			on = on.Add(p.need)
		}
	}
	for _, p := range m.tasks {
		switch {
		case p.inDo:
		case p.shown && p.state == Exited:
			// A start that may still arrive would run again an attempt that the
			// worker has been told to forget.
			if p.finalOK && !(p.late && m.token <= p.lateToken) {
				forget = append(forget, p.command(Forget))
			} else if p.finalOK && beat {
				c.wantRaise = true
			}
		case p.unwanted && p.shown:
			if p.stopSent == 0 || beat && now-p.stopSent > 2*Second {
				cmd := p.command(Stop)
				cmd.Grace = p.grace
				stop = append(stop, cmd)
				p.stopSent = now
				if p.j == nil || p.j.spec.Checkpoint == 0 || p.grace < p.j.spec.SaveCost {
					on = on.Sub(p.need)
				}
			}
		}
	}
	for _, p := range m.tasks {
		// A machine that is being returned may be alive for as long as the cloud
		// takes: it is still told what to stop.
		if p.again && beat && !p.unwanted && !m.returning {
			forget = append(forget, p.command(Forget))
			start = append(start, p.command(Start))
			continue
		}
		if m.returning || p.inDo || p.shown || p.unwanted || p.sent && !(beat && p.resend) {
			continue
		}
		if !m.recorded || p.j == nil || !c.open(p.j, now) {
			continue
		}
		if !p.sent {
			if m.typ == nil || !on.Add(p.need).Fits(m.typ.Cap) {
				continue
			}
			on = on.Add(p.need)
		}
		p.resend = false
		p.sent = true
		if beat {
			p.beatSeq = m.seq
		} else {
			p.inDo = true
		}
		start = append(start, p.command(Start))
	}
	if !beat && len(stop) == 0 && len(start) == 0 {
		return nil // what is over can wait for the next beat
	}
	return append(append(forget, stop...), start...)
}

func (p *placement) command(op Op) Command {
	return Command{Op: op, Job: p.job, Index: p.index, Attempt: p.attempt}
}

// Outcome says what became of a direct command.
type Outcome uint8

// The outcomes.
const (
	Executed   Outcome = iota // the report is as of after the commands
	Refused                   // nothing was executed; the report is current
	NotSent                   // no connection was made, so it will never arrive
	Unanswered                // it may be executed, now or minutes later
)

// direct sends what cannot wait for a beat.
func (c *Core) direct(now Micros) {
	touched := c.touched
	c.touched = nil
	for _, m := range touched {
		m.dirty = false
		// What can't be told now is told when that changes, and with a beat.
		if m.noDo || !c.reachable(m) {
			continue
		}
		if cmds := c.commands(m, now, false); len(cmds) > 0 {
			c.send(m, cmds)
		}
	}
	n := 0
	for ; n < len(c.probes) && c.probing < probesMost; n++ {
		m := c.probes[n]
		m.probe = false
		if !c.reachable(m) || m.settled && now-m.heard < c.cfg.ReportGap && !m.hasLate() && !m.deaf {
			continue // or it has reported meanwhile
		}
		m.probed = now
		c.probing++
		c.send(m, c.commands(m, now, false))
	}
	c.probes = slices.Delete(c.probes, 0, n)
}

// reachable reports whether a direct command can be sent to the machine now.
func (c *Core) reachable(m *machine) bool {
	return !m.doing && m.address != "" && !m.lost && !m.booting && c.machines[m.name] == m
}

func (c *Core) send(m *machine, cmds []Command) {
	session := m.session
	if session == 0 {
		session = 1
	}
	m.doing = true
	c.out = append(c.out, SendCommands{m.name, m.address, c.token, session, cmds})
}

// Commanded is the result of SendCommands.
func (c *Core) Commanded(now Micros, machine string, token uint64, o Outcome, r *Report) {
	if !c.leading {
		return
	}
	m := c.machines[machine]
	if m == nil {
		return
	}
	m.doing = false
	c.probeOver(m)
	c.touch(m)
	for _, p := range m.tasks {
		if !p.inDo {
			continue
		}
		p.inDo = false
		switch o {
		case Refused, NotSent:
			p.sent = p.late
		case Unanswered:
			p.late, p.lateToken = true, max(p.lateToken, token)
		}
	}
	c.dropUnwantedUnsent(m, now)
	if r != nil {
		c.heardUs(m)
		if m.newer(r) {
			c.absorb(m, r, false, now)
		}
		if !m.settled && (r.Session != m.session || o == Refused) {
			c.probe(m)
		}
		return
	}
	m.noDo = true
	m.misses++
	if !m.silent && c.isSilent(m, now) {
		m.silent = true
		c.fleetAt = now // its tasks wait for what is done about it
	}
	c.note("direct command failed", "machine", m.name, "delivered", map[Outcome]string{NotSent: "no", Unanswered: "unknown"}[o])
}
