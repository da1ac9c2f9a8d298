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

// messageBuilder collects the commands of one message to a machine.
type messageBuilder struct {
	c       *Core
	m       *machine
	now     Micros
	inReply bool // the message is the answer to a report

	forgets  []Command // exited tasks
	restarts []Command // forgets of tasks that are in starts, too
	stops    []Command
	starts   []Command
	occupied Resources // by the tasks that the worker may count as using resources
}

// commands returns the commands for a machine: the difference between the desired tasks and those
// that it has reported. In reply to a report it returns all of them, for a direct command only
// those that have not been sent yet. Beyond MaxCommands, stops go first, then starts; the others are
// sent with a later message.
func (c *Core) commands(m *machine, now Micros, inReply bool) []Command {
	if m.lost {
		return nil
	}
	b := &messageBuilder{c: c, m: m, now: now, inReply: inReply}
	for _, p := range m.placements {
		if p.mayOccupyWorker() {
			b.occupied = b.occupied.Add(p.need)
		}
	}
	b.addStops()
	pendingForgets := m.pendingForgets(c.token)
	c.notePendingForgets(pendingForgets)
	if inReply || pendingForgets < maxPendingForgets {
		b.addStarts()
	}
	if inReply {
		forgets := m.forgets(c.token)
		b.forgets = forgets[:min(len(forgets), MaxCommands-b.size())]
	}
	c.logCommands(b)
	return slices.Concat(b.forgets, b.restarts, b.stops, b.starts)
}

// size returns the number of commands.
func (b *messageBuilder) size() int {
	return len(b.forgets) + len(b.restarts) + len(b.stops) + len(b.starts)
}

// addStops adds the stop commands that are due.
func (b *messageBuilder) addStops() {
	for _, p := range b.m.placements {
		if p.inDirectCommand || !p.reported || p.state == Exited || !p.stopRequested || len(b.stops) >= MaxCommands {
			continue
		}
		if p.stopSentAt != 0 && !(b.inReply && b.now-p.stopSentAt > 2*Second) {
			continue
		}
		cmd := p.command(Stop)
		cmd.GracePeriod = p.grace
		b.stops = append(b.stops, cmd)
		p.stopSentAt = b.now
		if p.job == nil || p.job.spec.CheckpointInterval == 0 || p.grace < p.job.spec.CheckpointCost {
			b.occupied = b.occupied.Sub(p.need)
		}
	}
}

// addStarts adds the start commands that are due, as far as the worker has room for the tasks. A
// machine that is being released may stay up until the cloud deletes it, so it still gets stop
// commands, but no starts.
func (b *messageBuilder) addStarts() {
	if b.m.releasing {
		return
	}
	for _, p := range b.m.placements {
		if b.size()+1 >= MaxCommands {
			return
		}
		switch {
		case p.retryPending && b.inReply && !p.stopRequested:
			b.restarts = append(b.restarts, p.command(Forget))
			b.starts = append(b.starts, p.command(Start))
		case b.mayStart(p):
			b.addStart(p)
		}
	}
}

// mayStart reports whether the start of a placement is due and its task has room on the worker.
func (b *messageBuilder) mayStart(p *placement) bool {
	if p.inDirectCommand || p.reported || p.stopRequested || p.startSent && !(b.inReply && p.resendStart) {
		return false
	}
	if !b.m.recorded() || p.job == nil || !b.c.ensureStartedRecord(p.job, b.now) {
		return false
	}
	return p.startSent || b.m.typ != nil && b.occupied.Add(p.need).Fits(b.m.typ.Capacity)
}

// addStart adds the start of a placement.
func (b *messageBuilder) addStart(p *placement) {
	if !p.startSent {
		b.occupied = b.occupied.Add(p.need)
	}
	p.resendStart = false
	p.startSent = true
	if b.inReply {
		p.startReportSeq = b.m.seq
	} else {
		p.inDirectCommand, p.directStart = true, startToken(b.c.token)
	}
	b.starts = append(b.starts, p.command(Start))
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
			p.startUnanswered = true
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
