package core

import "slices"

// A deaf machine's reports arrive, and what it is answered or sent does not. Its lease
// runs out whatever it is answered, and what it is given never starts. What tells: it
// goes on under a lower token than it was answered with, does not do what it was told,
// or lets its lease run out although it was answered. A direct command that it answers
// tells that it hears again.

// deafAfter is how many answers in a row a machine does not take before it is taken as
// deaf: single ones are lost or late.
const inboundLossThreshold = 2

// hears reports whether a beat that is newer than all before it is to be answered. A
// machine that a new leader knows nothing certain of, and that goes on under a former
// leader's token, is not: only the end of its lease tells what is on it, and that is
// known once it is not answered any more. Until then a probe may get through.
func (c *Core) shouldAnswer(m *machine, r *Report) bool {
	switch {
	case r.Session != m.session || r.Token >= m.lastAnswerToken:
		m.ignoredAnswers = 0
	default:
		if m.ignoredAnswers++; m.ignoredAnswers >= inboundLossThreshold {
			c.markInboundLost(m, "it goes on under a lower token")
		}
	}
	m.lastAnswerToken = c.token
	return m.reconciled || m.ignoredAnswers < inboundLossThreshold
}

// missed notes that a machine did not do what it was told in the answer to a beat.
func (c *Core) noteUnexecutedAnswer(m *machine) {
	if m.unexecutedAnswers++; m.unexecutedAnswers >= inboundLossThreshold {
		c.markInboundLost(m, "it does not do what it is told")
	}
}

// becomesDeaf gives the machine nothing more, and what never reached it to others.
func (c *Core) markInboundLost(m *machine, why string) {
	if !m.inboundLost {
		m.inboundLost = true
		c.needsPlacement = true
		c.log("machine does not hear", "machine", m.name, "reason", why, "tasks", len(m.placements))
	}
	for _, p := range slices.Clone(m.placements) {
		if !p.startSent && !p.reported && !p.inDirectCommand && !p.startUnanswered {
			c.removePlacement(p, m.lastReport)
		}
	}
}

// heardUs notes that the machine answered a direct command.
func (c *Core) noteCommandAnswered(m *machine) {
	m.ignoredAnswers, m.unexecutedAnswers = 0, 0
	if m.inboundLost {
		m.inboundLost = false
		c.needsPlacement = true
		c.log("machine hears again", "machine", m.name)
	}
}
