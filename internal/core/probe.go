package core

// probe has an empty command sent to the machine, to learn whether it is there.
func (c *Core) queueProbe(m *machine) {
	if !m.probeQueued {
		m.probeQueued = true
		c.probeQueue = append(c.probeQueue, m)
	}
}

// probesMost is how many probes may be under way: after a takeover every
// machine is to be asked, but most report by themselves before their turn
// comes, and each connection costs processor time.
const maxProbesInFlight = 32

// probeOver notes that a probe has its result, or will not be waited for.
func (c *Core) finishProbe(m *machine) {
	if m.probeStarted > 0 {
		m.probeStarted = 0
		c.probesInFlight--
	}
}

// isSilent reports whether a machine that a direct command did not reach is to be
// taken as silent. What nearly all others of a takeover do not wait for any more
// need not be waited for as long: everything that was opened does.
func (c *Core) isUnreachable(m *machine, now Micros) bool {
	last := !m.reconciled && m.commandFailures >= 2 && c.unreconciled*20 <= len(c.sortedMachines)
	return now-m.lastReport >= c.cfg.Tuning.SuspectAfter || last && now-m.lastReport >= c.cfg.Tuning.SuspectAfter/2
}

// expire ends what only time can end: the leases of machines that are no
// longer answered.
func (c *Core) expireLeases(now Micros) {
	if now < c.nextLeaseCheckAt {
		return
	}
	c.nextLeaseCheckAt = now + Second/2
	for _, m := range c.commandRetryQueue {
		m.commandsDeferred = false
		c.queueCommands(m)
	}
	c.commandRetryQueue = c.commandRetryQueue[:0]
	for _, m := range c.sortedMachines {
		if m.booting || m.lost {
			continue
		}
		if c.leaseExpired(m, now) {
			c.log("machine lost: its lease is over", "machine", m.name, "tasks", len(m.placements), "session", m.session,
				"answered_ms_ago", (now-m.lastAcknowledged)/Millisecond, "heard_ms_ago", (now-m.lastReport)/Millisecond, "seen_ms_ago", (now-m.discoveredAt)/Millisecond)
			m.lost, m.lostAt = true, now
			c.clearMachine(m, now)
			c.markReconciled(m)
			c.nextFleetReviewAt = now // it goes back, or is waited for
			continue
		}
		if m.releasing {
			continue
		}
		// A worker that is up reports within the gap and its spread.
		if now-m.lastReport >= c.cfg.ReportInterval*5/4+Second/10 || !m.reconciled || m.inboundLost {
			c.queueProbe(m)
		}
	}
}
