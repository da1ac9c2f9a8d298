package core

// A worker refuses a direct command whose token is lower than the highest that it has seen. Raising
// the token is therefore what ends the time in which a direct command, or a copy of one that was
// executed and answered, can still be executed.

const (
	// tokenRaiseInterval is the time between two raises that only let exited tasks be forgotten. Each
	// raise costs a write, and one more report of each worker.
	tokenRaiseInterval = 60 * Second
	// tokenRaiseRetryDelay is the time after which a raise without a result is requested again.
	tokenRaiseRetryDelay = 10 * Second
	// earlyRaiseForgets is the number of exited tasks on one machine that wait to be forgotten and
	// make the next raise come early. Half a worker's lease is the least time between two raises: a
	// worker reports a higher token at once only as often.
	earlyRaiseForgets = 64
	// maxPendingForgets is the number of exited tasks on one machine that wait to be forgotten from
	// which on its starts are sent in answers only: with the tasks that run there they have to fit a
	// report of 64 KiB.
	maxPendingForgets = 256
)

// tokenRaiseState says when the fencing token is to be raised.
type tokenRaiseState struct {
	wanted      bool   // as soon as possible
	dueAt       Micros // to let exited tasks be forgotten; 0: there are none
	notBefore   Micros // while a raise has no result yet
	lastRaiseAt Micros // 0: not raised in this term
}

// wantTokenRaise requests a raise of the token as soon as possible.
func (c *Core) wantTokenRaise() { c.tokenRaise.wanted = true }

// notePendingForgets requests a raise of the token for exited tasks of one machine that can't be
// forgotten under the present one.
func (c *Core) notePendingForgets(count int) {
	if count == 0 {
		return
	}
	c.commandCounts.mostPendingForgets = max(c.commandCounts.mostPendingForgets, count)
	interval := tokenRaiseInterval
	if count >= earlyRaiseForgets {
		interval = min(interval, c.cfg.WorkerLease/2)
	}
	due := max(c.tokenRaise.lastRaiseAt, c.termBeganAt) + interval
	if c.tokenRaise.dueAt == 0 || due < c.tokenRaise.dueAt {
		c.tokenRaise.dueAt = due
	}
}

// raiseTokenIfDue requests a new token if one is wanted or due.
func (c *Core) raiseTokenIfDue(now Micros) {
	r := &c.tokenRaise
	due := r.dueAt > 0 && now >= r.dueAt
	if !r.wanted && !due || now < r.notBefore {
		return
	}
	c.logDebug("raising the token", "token", c.token, "for_exited_tasks", !r.wanted)
	r.wanted, r.dueAt, r.notBefore = false, 0, now+tokenRaiseRetryDelay
	c.actions = append(c.actions, RaiseToken{})
}

// HandleTokenRaised applies the result of RaiseToken: the leader key was written again, and token
// is the new token.
func (c *Core) HandleTokenRaised(now Micros, token uint64) {
	c.tokenRaise.notBefore = 0
	if token > c.token {
		c.log("token raised", "from", c.token, "to", token)
		c.token, c.attemptCount = token, 0
		c.tokenRaise = tokenRaiseState{lastRaiseAt: now}
		for _, m := range c.sortedMachines {
			// Other machines see the token in the answer to their next report, which is soon
			// enough.
			if m.hasUnansweredStart() {
				c.queueProbe(m)
			}
		}
	}
}

// nextAttempt returns an attempt number that no leader has used or will use.
func (c *Core) nextAttempt() uint64 {
	c.attemptCount++
	// Tokens are unique across leaders, and so are attempts that contain them.
	return c.token<<attemptTokenShift | c.attemptCount
}

// attemptTokenShift is the number of an attempt's low bits that hold its count under the token.
const attemptTokenShift = 24

// startToken is the highest token under which a direct start of an attempt may have been sent; 0: none
// was.
type startToken uint64

// copiesRefused reports whether a worker that has seen the token refuses every direct start of the
// attempt, also a copy of one that it has executed.
func (s startToken) copiesRefused(token uint64) bool { return token > uint64(s) }

// adoptedStartToken returns the highest token under which a direct start of an attempt that this
// leader does not know may have been sent. An attempt of an earlier term was started by an earlier
// leader, unless it is a gang's: its replacements have the same attempt in later terms.
func (c *Core) adoptedStartToken(j *job, attempt uint64) startToken {
	if j != nil && j.spec.Kind != Gang && attempt>>attemptTokenShift < c.termToken {
		return startToken(c.termToken - 1)
	}
	return startToken(c.token)
}
