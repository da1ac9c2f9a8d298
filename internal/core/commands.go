package core

import "slices"

// queueCommands queues a machine for a check whether it needs direct commands.
func (c *Core) queueCommands(m *machine) {
	if !m.commandsQueued {
		m.commandsQueued = true
		c.commandQueue = append(c.commandQueue, m)
	}
}

// queueCommandsLater does the same as queueCommands after a delay.
func (c *Core) queueCommandsLater(m *machine) {
	if !m.commandsDeferred {
		m.commandsDeferred = true
		c.commandRetryQueue = append(c.commandRetryQueue, m)
	}
}

// MaxCommands is the maximum number of commands in one message, which has to fit the protocol's 64 KiB.
const MaxCommands = 400

// commands returns the commands for a machine: the difference between the desired tasks and those
// that it has reported. In reply to a report it returns all of them, for a direct command only
// those that have not been sent yet. Beyond MaxCommands, stops go first, then starts; the others are
// sent with a later message.
func (c *Core) commands(m *machine, now Micros, inReply bool) []Command {
	var forget, forgetAndStart, stop, start []Command
	if m.lost {
		return nil
	}
	var occupied Resources
	for _, p := range m.placements {
		if p.mayOccupyWorker() {
			occupied = occupied.Add(p.need)
		}
	}
	for _, p := range m.placements {
		switch {
		case p.inDirectCommand:
		case p.reported && p.state == Exited:
			// If a start of the attempt may still arrive, the worker must not forget the
			// attempt: it would run the attempt again.
			if p.completionRecorded && !(p.startUnanswered && m.reportedToken <= p.startUnansweredToken) {
				forget = append(forget, p.command(Forget))
			} else if p.completionRecorded && inReply {
				c.tokenRaiseWanted = true
			}
		case p.stopRequested && p.reported:
			if len(stop) < MaxCommands && (p.stopSentAt == 0 || inReply && now-p.stopSentAt > 2*Second) {
				cmd := p.command(Stop)
				cmd.GracePeriod = p.grace
				stop = append(stop, cmd)
				p.stopSentAt = now
				if p.job == nil || p.job.spec.CheckpointInterval == 0 || p.grace < p.job.spec.CheckpointCost {
					occupied = occupied.Sub(p.need)
				}
			}
		}
	}
	for _, p := range m.placements {
		if len(stop)+len(start)+len(forgetAndStart)+1 >= MaxCommands {
			break
		}
		// A machine that is being released may stay up until the cloud deletes it, so it still
		// gets stop commands, but no starts.
		if p.retryPending && inReply && !p.stopRequested && !m.releasing {
			forgetAndStart = append(forgetAndStart, p.command(Forget))
			start = append(start, p.command(Start))
			continue
		}
		if m.releasing || p.inDirectCommand || p.reported || p.stopRequested || p.startSent && !(inReply && p.resendStart) {
			continue
		}
		if !m.recorded() || p.job == nil || !c.ensureStartedRecord(p.job, now) {
			continue
		}
		if !p.startSent {
			if m.typ == nil || !occupied.Add(p.need).Fits(m.typ.Capacity) {
				continue
			}
			occupied = occupied.Add(p.need)
		}
		p.resendStart = false
		p.startSent = true
		if inReply {
			p.startReportSeq = m.seq
		} else {
			p.inDirectCommand = true
		}
		start = append(start, p.command(Start))
	}
	if !inReply && len(stop) == 0 && len(start) == 0 {
		return nil // forgetting exited tasks can wait for the next report
	}
	forget = forget[:min(len(forget), MaxCommands-len(forgetAndStart)-len(stop)-len(start))]
	return slices.Concat(forget, forgetAndStart, stop, start)
}

// command returns a command for the attempt of the placement.
func (p *placement) command(op Op) Command {
	return Command{Op: op, Job: p.jobID, Index: p.index, Attempt: p.attempt}
}

// CommandOutcome is the outcome of a SendCommands action.
type CommandOutcome uint8

// The outcomes of a SendCommands action.
const (
	Executed   CommandOutcome = iota // the report in the answer was made after the execution
	Refused                          // nothing was executed; the report in the answer is current
	NotSent                          // no connection was made, so the commands never arrive
	Unanswered                       // the commands may be executed, now or minutes later
)

// sendDirectCommands sends the commands that cannot wait for the machine's next report, and then
// queued probes, as long as fewer than maxProbesInFlight are in flight.
func (c *Core) sendDirectCommands(now Micros) {
	queue := c.commandQueue
	c.commandQueue = nil
	for _, m := range queue {
		m.commandsQueued = false
		// Commands that cannot be sent now are sent when the machine becomes available or in
		// reply to its next report.
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
			continue // not available, or it has reported in the meantime
		}
		m.probeStarted = now
		c.probesInFlight++
		c.sendCommands(m, c.commands(m, now, false))
	}
	c.probeQueue = slices.Delete(c.probeQueue, 0, n)
}

// canCommand reports whether a direct command can be sent to the machine now.
func (c *Core) canCommand(m *machine) bool {
	return !m.commandInFlight && m.address != "" && !m.lost && !m.booting && c.machines[m.name] == m
}

// sendCommands sends commands directly to the machine. An empty list is a probe.
func (c *Core) sendCommands(m *machine, cmds []Command) {
	session := m.session
	if session == 0 {
		session = 1
	}
	m.commandInFlight = true
	c.actions = append(c.actions, SendCommands{m.name, m.address, c.token, session, cmds})
}

// HandleCommandResult handles the result of a SendCommands action that was sent with the token. r
// is the report of the worker, nil if there was no answer.
func (c *Core) HandleCommandResult(now Micros, machine string, token uint64, o CommandOutcome, r *Report) {
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
	if !m.unreachable && c.unreachableTimeoutPassed(m, now) {
		m.unreachable = true
		c.nextFleetReviewAt = now // its tasks wait for the review
	}
	c.log("direct command failed", "machine", m.name, "delivered", map[CommandOutcome]string{NotSent: "no", Unanswered: "unknown"}[o])
}
