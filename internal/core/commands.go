package core

import "slices"

// touch has the machine looked at for commands.
func (c *Core) queueCommands(m *machine) {
	if !m.commandsQueued {
		m.commandsQueued = true
		c.commandQueue = append(c.commandQueue, m)
	}
}

// touchLater does so after a pause.
func (c *Core) queueCommandsLater(m *machine) {
	if !m.commandsDeferred {
		m.commandsDeferred = true
		c.commandRetryQueue = append(c.commandRetryQueue, m)
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
	var on Resources
	for _, p := range m.placements {
		if p.mayOccupyWorker() {
			on = on.Add(p.need)
		}
	}
	for _, p := range m.placements {
		switch {
		case p.inDirectCommand:
		case p.reported && p.state == Exited:
			// A start that may still arrive would run again an attempt that the
			// worker has been told to forget.
			if p.completionRecorded && !(p.startUnanswered && m.reportedToken <= p.startUnansweredToken) {
				forget = append(forget, p.command(Forget))
			} else if p.completionRecorded && beat {
				c.tokenRaiseWanted = true
			}
		case p.stopRequested && p.reported:
			if p.stopSentAt == 0 || beat && now-p.stopSentAt > 2*Second {
				cmd := p.command(Stop)
				cmd.GracePeriod = p.grace
				stop = append(stop, cmd)
				p.stopSentAt = now
				if p.job == nil || p.job.spec.CheckpointInterval == 0 || p.grace < p.job.spec.CheckpointCost {
					on = on.Sub(p.need)
				}
			}
		}
	}
	for _, p := range m.placements {
		// A machine that is being returned may be alive for as long as the cloud
		// takes: it is still told what to stop.
		if p.retryPending && beat && !p.stopRequested && !m.releasing {
			forget = append(forget, p.command(Forget))
			start = append(start, p.command(Start))
			continue
		}
		if m.releasing || p.inDirectCommand || p.reported || p.stopRequested || p.startSent && !(beat && p.resendStart) {
			continue
		}
		if !m.recorded || p.job == nil || !c.ensureStartedRecord(p.job, now) {
			continue
		}
		if !p.startSent {
			if m.typ == nil || !on.Add(p.need).Fits(m.typ.Capacity) {
				continue
			}
			on = on.Add(p.need)
		}
		p.resendStart = false
		p.startSent = true
		if beat {
			p.startReportSeq = m.seq
		} else {
			p.inDirectCommand = true
		}
		start = append(start, p.command(Start))
	}
	if !beat && len(stop) == 0 && len(start) == 0 {
		return nil // what is over can wait for the next beat
	}
	return append(append(forget, stop...), start...)
}

func (p *placement) command(op Op) Command {
	return Command{Op: op, Job: p.jobID, Index: p.index, Attempt: p.attempt}
}

// Outcome says what became of a direct command.
type CommandOutcome uint8

// The outcomes.
const (
	Executed   CommandOutcome = iota // the report is as of after the commands
	Refused                          // nothing was executed; the report is current
	NotSent                          // no connection was made, so it will never arrive
	Unanswered                       // it may be executed, now or minutes later
)

// direct sends what cannot wait for a beat.
func (c *Core) sendDirectCommands(now Micros) {
	touched := c.commandQueue
	c.commandQueue = nil
	for _, m := range touched {
		m.commandsQueued = false
		// What can't be told now is told when that changes, and with a beat.
		if m.directCommandFailed || !c.canCommand(m) {
			continue
		}
		if cmds := c.commands(m, now, false); len(cmds) > 0 {
			c.sendCommands(m, cmds)
		}
	}
	n := 0
	for ; n < len(c.probeQueue) && c.probesInFlight < maxProbesInFlight; n++ {
		m := c.probeQueue[n]
		m.probeQueued = false
		if !c.canCommand(m) || m.reconciled && now-m.lastReport < c.cfg.ReportInterval && !m.hasUnansweredStart() && !m.inboundLost {
			continue // or it has reported meanwhile
		}
		m.probeStarted = now
		c.probesInFlight++
		c.sendCommands(m, c.commands(m, now, false))
	}
	c.probeQueue = slices.Delete(c.probeQueue, 0, n)
}

// reachable reports whether a direct command can be sent to the machine now.
func (c *Core) canCommand(m *machine) bool {
	return !m.commandInFlight && m.address != "" && !m.lost && !m.booting && c.machines[m.name] == m
}

func (c *Core) sendCommands(m *machine, cmds []Command) {
	session := m.session
	if session == 0 {
		session = 1
	}
	m.commandInFlight = true
	c.actions = append(c.actions, SendCommands{m.name, m.address, c.token, session, cmds})
}

// Commanded is the result of SendCommands.
func (c *Core) CommandResult(now Micros, machine string, token uint64, o CommandOutcome, r *Report) {
	if !c.leading {
		return
	}
	m := c.machines[machine]
	if m == nil {
		return
	}
	m.commandInFlight = false
	c.finishProbe(m)
	c.queueCommands(m)
	for _, p := range m.placements {
		if !p.inDirectCommand {
			continue
		}
		p.inDirectCommand = false
		switch o {
		case Refused, NotSent:
			p.startSent = p.startUnanswered
		case Unanswered:
			p.startUnanswered, p.startUnansweredToken = true, max(p.startUnansweredToken, token)
		}
	}
	c.removeUnsentStopped(m, now)
	if r != nil {
		c.noteCommandAnswered(m)
		if m.isNewer(r) {
			c.applyReport(m, r, false, now)
		}
		if !m.reconciled && (r.Session != m.session || o == Refused) {
			c.queueProbe(m)
		}
		return
	}
	m.directCommandFailed = true
	m.commandFailures++
	if !m.unreachable && c.isUnreachable(m, now) {
		m.unreachable = true
		c.nextFleetReviewAt = now // its tasks wait for what is done about it
	}
	c.log("direct command failed", "machine", m.name, "delivered", map[CommandOutcome]string{NotSent: "no", Unanswered: "unknown"}[o])
}
