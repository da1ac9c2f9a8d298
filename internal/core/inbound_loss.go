package core

import "slices"

// Inbound loss is a one-way partition: a machine's reports arrive, but answers and commands to
// the machine do not. Its lease expires although its reports are answered, and tasks placed on
// it never start. There are three signs of it: the worker keeps reporting a lower token than it
// was answered with, it does not execute the commands of the answers, or its lease expires
// although its reports were answered. A reply to a direct command shows that commands arrive
// again.

// inboundLossThreshold is the number of consecutive answers without effect after which inbound
// loss is assumed. A single answer may be lost or late.
const inboundLossThreshold = 2

// shouldAnswer reports whether a periodic report that is newer than all earlier ones is to be
// answered, and counts the answers that the worker ignored. It returns false for a machine that
// is not reconciled and keeps reporting a former leader's token. Only the end of such a
// machine's lease makes known what runs on it, and the lease ends only if the reports are not
// answered. A probe may still get through before that.
func (c *Core) shouldAnswer(m *machine, r *Report, now Micros) bool {
	switch {
	case r.Session != m.session || r.Token >= m.lastAnswerToken:
		m.ignoredAnswers = 0
	default:
		if m.ignoredAnswers++; m.ignoredAnswers >= inboundLossThreshold {
			c.markInboundLost(m, "it keeps reporting a lower token", now)
		}
	}
	m.lastAnswerToken = c.token
	return m.reconciled || m.ignoredAnswers < inboundLossThreshold
}

// noteUnexecutedAnswer counts an answer to a report whose commands the worker did not execute.
func (c *Core) noteUnexecutedAnswer(m *machine, now Micros) {
	if m.unexecutedAnswers++; m.unexecutedAnswers >= inboundLossThreshold {
		c.markInboundLost(m, "it does not execute commands", now)
	}
}

// markInboundLost stops placing tasks on the machine and frees the tasks whose start was never
// sent to it, so that they start elsewhere.
func (c *Core) markInboundLost(m *machine, reason string, now Micros) {
	if !m.inboundLost {
		m.inboundLost = true
		c.needsPlacement = true
		c.log("machine does not hear", "machine", m.name, "reason", reason, "tasks", len(m.placements))
	}
	for _, p := range slices.Clone(m.placements) {
		if p.unsent() && !p.startUnanswered {
			c.removePlacement(p, now)
		}
	}
}

// noteCommandAnswered ends the inbound loss of a machine that replied to a direct command.
func (c *Core) noteCommandAnswered(m *machine) {
	m.ignoredAnswers, m.unexecutedAnswers = 0, 0
	if m.inboundLost {
		m.inboundLost = false
		c.needsPlacement = true
		c.log("machine hears again", "machine", m.name)
	}
}
