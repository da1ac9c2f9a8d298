package core

import "fmt"

// commandCountsInterval is the time between two entries of the log with the counts of commands.
const commandCountsInterval = 60 * Second

// commandCounts counts commands since they were last logged.
type commandCounts struct {
	loggedAt           Micros
	directStarts       int
	answerStarts       int
	forgets            int
	mostPendingForgets int // exited tasks on one machine that wait to be forgotten
}

// String returns the command for the log.
func (cmd Command) String() string {
	return fmt.Sprintf("%s/%d@%d", cmd.Job, cmd.Index, cmd.Attempt)
}

// logCommands counts and logs the commands of a message that start and forget tasks.
func (c *Core) logCommands(b *messageBuilder) {
	if len(b.forgets)+len(b.starts) == 0 {
		return
	}
	counts := &c.commandCounts
	counts.forgets += len(b.forgets)
	if b.inReply {
		counts.answerStarts += len(b.starts)
	} else {
		counts.directStarts += len(b.starts)
	}
	c.logDebug("commands", "machine", b.m.name, "token", c.token, "session", b.m.session, "direct", !b.inReply, "seq", b.m.seq,
		"forgets", b.forgets, "restarts", b.restarts, "starts", b.starts)
}

// logCommandCounts logs the counts of commands if they are due, and begins to count anew.
func (c *Core) logCommandCounts(now Micros) {
	counts := &c.commandCounts
	if now-max(counts.loggedAt, c.termBeganAt) < commandCountsInterval {
		return
	}
	c.log("commands sent", "token", c.token, "direct_starts", counts.directStarts, "starts_in_answers", counts.answerStarts,
		"forgets", counts.forgets, "most_waiting_to_be_forgotten", counts.mostPendingForgets)
	*counts = commandCounts{loggedAt: now}
}

// logUnexpectedAttempt logs that a machine reports an attempt of this term which this leader does not
// know, so that it was forgotten or its machine was given up: a copy of its start was executed.
func (c *Core) logUnexpectedAttempt(m *machine, t *TaskReport) {
	if t.Attempt>>attemptTokenShift >= c.termToken {
		c.log("an attempt of this term is reported that is not known", "machine", m.name, "job", t.Job, "task", t.Index,
			"attempt", t.Attempt, "token", c.token, "reported_token", m.reportedToken, "session", m.session, "seq", m.seq)
	}
}
