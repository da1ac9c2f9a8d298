package core

// queueProbe queues a probe of the machine: a direct command, empty if nothing is to be sent,
// whose reply shows that the machine is reachable.
func (c *Core) queueProbe(m *machine) {
	if !m.probeQueued {
		m.probeQueued = true
		c.probeQueue = append(c.probeQueue, m)
	}
}

// maxProbesInFlight limits concurrent probes. After a takeover every machine is queued for a
// probe, but most report by themselves before their turn comes, and each connection costs
// processor time.
const maxProbesInFlight = 32

// finishProbe ends the probe in flight: it has a result, or its machine is gone.
func (c *Core) finishProbe(m *machine) {
	if m.probeStarted > 0 {
		m.probeStarted = 0
		c.probesInFlight--
	}
}

// unreachableTimeoutPassed reports whether a machine that did not reply to a direct command has not
// reported for so long that it counts as unreachable. After a takeover, once at most 5% of all
// machines are not reconciled, the timeout is halved for those of them that failed to reply twice:
// all unaccounted tasks of started jobs wait for them.
func (c *Core) unreachableTimeoutPassed(m *machine, now Micros) bool {
	amongLast := !m.reconciled && m.commandFailures >= 2 && c.unreconciled*20 <= len(c.sortedMachines)
	return now-m.lastReport >= c.cfg.Tuning.SuspectAfter || amongLast && now-m.lastReport >= c.cfg.Tuning.SuspectAfter/2
}

// expireLeases marks the machines as lost whose lease has expired. It queues probes of those that
// are late with their report, are not reconciled or have inbound loss. It also retries deferred
// commands. It runs every half second.
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
			c.nextFleetReviewAt = now // the review releases the machine or waits for it
			continue
		}
		if m.releasing {
			continue
		}
		// A live worker reports within the interval and its jitter of a quarter.
		if now-m.lastReport >= c.cfg.ReportInterval*5/4+Second/10 || !m.reconciled || m.inboundLost {
			c.queueProbe(m)
		}
	}
}
