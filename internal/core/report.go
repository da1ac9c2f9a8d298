package core

// HandleReport applies a worker's periodic report and returns the commands and the token for
// the answer. ok is false if the report must not be answered.
func (c *Core) HandleReport(now Micros, r *Report) (cmds []Command, token uint64, ok bool) {
	if !c.leading {
		return nil, 0, false
	}
	m := c.machines[r.Machine]
	if m == nil {
		if c.deletedMachines[r.Machine] {
			return nil, c.token, true
		}
		// The rental completed late, or its leader ended before it stored the result. The
		// machine was never recorded, so no task was ever started on it.
		m = &machine{name: r.Machine, typeName: r.Type, zone: r.Zone, spot: r.Spot, discoveredAt: now, booting: true, reconciled: true, unverified: true}
		c.addMachine(m)
		c.log("unexpected machine reports", "machine", m.name, "type", m.typeName, "zone", m.zone)
	}
	if c.isDelayedDuplicate(m, r) {
		return nil, 0, false
	}
	if c.mayStartCancelled(m, r, now) {
		c.wantTokenRaise()
		return nil, 0, false
	}
	if !m.isNewer(r) {
		m.acknowledgeOldReport(r)
		return nil, c.token, true
	}
	if m.typeName == "" {
		m.typeName, m.zone, m.spot = r.Type, r.Zone, r.Spot
		m.typ = c.machineTypes[m.typeName]
	}
	if !c.shouldAnswer(m, r, now) {
		// Withholding the answer costs nothing: an answer that does not arrive renews no
		// lease. Reports are answered again once a probe gets through.
		c.applyReport(m, r, true, now)
		return nil, 0, false
	}
	c.applyReport(m, r, true, now)
	// Until the worker has seen this token a former leader may still answer it, so
	// lastAcknowledged may lie in the future. It is not lowered.
	m.lastAcknowledged = max(m.lastAcknowledged, now)
	return c.commands(m, now, true), c.token, true
}

// mayStartCancelled reports whether an unanswered direct start may still arrive at the machine
// although the task's job was cancelled so long ago that the task must not start any more. Only
// a higher token or a new session invalidates such a start. If the token can't be raised
// because the state service refuses writes, the machine's lease has to expire, so its reports
// are not answered.
func (c *Core) mayStartCancelled(m *machine, r *Report, now Micros) bool {
	for _, p := range m.placements {
		if p.startUnanswered && p.job != nil && p.job.cancelled && now-p.job.cancelledAt >= c.cfg.MaxCancelStaleness &&
			r.Session == m.session && !p.directStart.copiesRefused(max(r.Token, c.token)) {
			return true
		}
	}
	return false
}

// HandleReportInGrace applies a report while the leader's own lease may have expired: the
// answer renews the worker's lease but carries no commands. ok is false if the report must not
// be answered, for example because the worker has seen the higher token of another leader.
func (c *Core) HandleReportInGrace(now Micros, r *Report) (token uint64, ok bool) {
	m := c.machines[r.Machine]
	if !c.leading || m == nil || r.Token > c.token || c.isDelayedDuplicate(m, r) {
		return 0, false
	}
	if c.mayStartCancelled(m, r, now) {
		return 0, false
	}
	if m.isNewer(r) {
		c.applyReport(m, r, true, now)
		m.lastAcknowledged = max(m.lastAcknowledged, now)
	} else {
		m.acknowledgeOldReport(r)
	}
	return c.token, true
}

// isDelayedDuplicate reports whether a report can only be a delayed duplicate of an old one; see
// applyReport.
func (c *Core) isDelayedDuplicate(m *machine, r *Report) bool {
	return m.unverified && len(r.Tasks) > 0 && r.Token < c.termToken
}

// isNewer reports whether a report is newer than all earlier ones of the machine.
func (m *machine) isNewer(r *Report) bool {
	return r.Session > m.session || r.Session == m.session && r.Seq > m.seq
}

// acknowledgeOldReport accounts for the answer to a report that is not the newest. The report
// itself is not applied. A worker that still waits for this answer counts its lease from a time
// before it sent the newest report, so the lease is counted from the arrival of that one. A
// duplicate, or a report of an earlier session, renews no lease.
func (m *machine) acknowledgeOldReport(r *Report) {
	if r.Session == m.session {
		m.lastAcknowledged = max(m.lastAcknowledged, m.lastReport)
	}
}

// applyReport applies a report that is newer than all earlier ones. periodic is false for the
// reply to a direct command.
//
// A machine that a former leader recorded becomes reconciled by a report that shows this term's
// token. Reports with a lower token, delayed duplicates among them, may show an earlier state.
//
// A machine without a record was never given a task, so it needs no reconciliation. But a former
// leader may have released it and deleted its record, and then only a delayed duplicate of an
// old report arrives. Such a machine is unverified: it gets no task until it reports the token,
// which takes one more report, and a report of tasks without the token is such a duplicate.
func (c *Core) applyReport(m *machine, r *Report, periodic bool, now Micros) {
	if r.Session > m.session && m.session > 0 {
		// The worker's lease expired: it has killed and forgotten its tasks. Direct commands
		// that are still in flight name the previous session and are refused.
		c.clearMachine(m, now)
		if ago := now - m.lastAcknowledged; ago >= 0 && ago < c.cfg.WorkerLease/2 {
			c.markInboundLost(m, "its lease expired although its reports were answered", now)
		}
	}
	newSession := r.Session != m.session
	m.session, m.seq = r.Session, r.Seq
	m.reportedToken = max(m.reportedToken, r.Token)
	m.lastReport, m.commandFailures = now, 0
	if m.retainedIn != nil {
		c.nextFleetReviewAt = now // the review ends the partition record
	}
	if m.unreachable {
		m.unreachable = false
		if m.releasing && m.releaseReason == unreachableReason {
			c.cancelRelease(m)
		}
	}
	if r.Address != "" {
		m.address = r.Address
	}
	c.addToGroup(m, now)
	if m.booting {
		c.recordBoot(m, now)
	}
	if m.booting || m.lost {
		m.booting, m.lost = false, false
		m.idleSince = now
		c.needsPlacement = true
	}
	if periodic {
		m.directCommandFailed = false
		m.lastPeriodicReport = now
	}
	if newSession {
		// The lease of a new session counts from the start of the session, whenever the last
		// answer was.
		m.lastAcknowledged = max(m.lastAcknowledged, now)
		c.queueCommands(m)
	}
	if r.SpotNotice >= 0 && !m.draining {
		c.log("spot notice", "machine", m.name, "in_s", float64(r.SpotNotice)/1e6)
		c.drain(m, now, now+r.SpotNotice)
	}
	for _, p := range m.placements {
		p.inCurrentReport = false
	}
	m.fetchingTasks = 0
	m.resetListed()
	for i := range r.Tasks {
		if !m.listsExited(&r.Tasks[i]) {
			c.applyTaskReport(m, &r.Tasks[i], now)
		}
	}
	m.dropUnlisted()
	c.handleUnreportedTasks(m, r, periodic, now)
	if m.used == (Resources{}) && m.idleSince == 0 {
		m.idleSince = now // adopted from a former leader without tasks
	}
	if r.Token >= c.termToken && r.Token > 0 {
		c.tokenAcknowledged = true
		if m.unverified {
			m.unverified = false
			c.needsPlacement = true
		}
		// The worker rejects answers of former leaders from now on.
		m.lastAcknowledged = min(m.lastAcknowledged, now)
		c.markReconciled(m)
	}
}

// applyTaskReport updates the placement of one reported task, or adopts the task if it is
// unknown.
func (c *Core) applyTaskReport(m *machine, t *TaskReport, now Micros) {
	var p *placement
	for _, o := range m.placements {
		if o.attempt == t.Attempt && o.index == t.Index && o.jobID == t.Job {
			p = o
			break
		}
	}
	if p == nil {
		p = c.adopt(m, t, now)
		if t.State == Exited {
			p.reported, p.inCurrentReport, p.state, p.cause = true, true, Exited, t.Cause
			m.placements = append(m.placements, p)
			c.taskExited(p, now)
			c.queueCommands(m)
			return
		}
		c.addPlacement(p)
	}
	p.inCurrentReport, p.fromPartitionRecord = true, false
	if t.State != Exited || t.Cause != CauseStopped {
		// A task that ended in any other way had its image.
		p.fetching = t.State == Fetching
	}
	if p.retryPending && !p.stopRequested && t.State == Exited && t.Cause == CausePeersMissing {
		return // the worker has not received the new start yet
	}
	p.retryPending = false
	wasExited := p.reported && p.state == Exited
	if t.State != Exited {
		if p.job != nil && (t.State == Running || t.State == Checkpointing) {
			p.job.lastRunAttempt = p.attempt
		}
		if p.job != nil && t.State == Running && p.state == Running && now-p.runningAt >= provenRunTime {
			c.markProven(p.job, now)
		}
		if t.State == Running && p.state != Running {
			p.runningAt = now
			if p.job != nil {
				if p.job.firstStart == 0 {
					p.job.firstStart = now
				}
				p.job.lastStart = now
				m.markImageUsed(p.job.imageID, p.job.spec.ImageMB)
				delete(m.failedJobs, p.jobID)
			}
		}
		if t.State == Fetching {
			m.fetchingTasks++
		}
		if !p.reported {
			p.reported, p.startSent = true, true
		}
		p.state = t.State
		c.setRunning(p, t.State == Running)
		if j := p.job; j != nil && !j.allStarted && j.running+j.done == len(j.status) {
			j.allStarted = true
			c.logDebug("all tasks started", "job", j.spec.ID, "class", j.spec.Class, "team", j.spec.Team, "tasks", len(j.status),
				"after_ms", (now-j.readyAt)/Millisecond)
		}
		return
	}
	if wasExited {
		return
	}
	wasOccupying := p.occupies()
	p.reported, p.startSent = true, true
	p.state, p.cause = Exited, t.Cause
	if wasOccupying {
		c.deallocate(p, now)
		if c.restartAfterPeersMissing(p) {
			return
		}
	}
	c.taskExited(p, now)
	c.queueCommands(m)
}

// adopt returns a new placement for a reported or recorded task that this leader did not start.
// It marks the task to be stopped if its job is finished or cancelled, or if the same or a later
// attempt is known on another machine.
func (c *Core) adopt(m *machine, t *TaskReport, now Micros) *placement {
	j := c.jobs[t.Job]
	p := &placement{jobID: t.Job, index: t.Index, attempt: t.Attempt, machine: m, startSent: true, placedAt: now,
		directStart: c.adoptedStartToken(j, t.Attempt)}
	c.logUnexpectedAttempt(m, t)
	if j == nil || t.Index >= len(j.status) {
		p.stopRequested = true
		c.queueCommands(m)
		return p
	}
	p.job, p.need = j, j.spec.Resources
	j.mayHaveStarted = true
	switch {
	case j.cancelled, j.status[t.Index] == taskDone:
		p.stopRequested = true
	case t.State != Exited:
		switch q := j.live[t.Index]; {
		case q == nil:
		case t.Attempt <= q.attempt:
			// This attempt is not the later one, and a later attempt is started only once the
			// earlier is known to be gone. So one of the two reports is a delayed duplicate.
			// Until this machine reports that the attempt is gone, the placement occupies
			// resources and keeps the task from being started elsewhere (see deallocate).
			p.stopRequested = true
			c.log("task reported on two machines", "job", t.Job, "task", t.Index, "machine", m.name, "attempt", t.Attempt, "other", q.machine.name, "other_attempt", q.attempt)
		case q.fromPartitionRecord:
			c.dropRecordedPlacement(q, now) // the task was restarted after the record was written
		default:
			c.log("task reported on two machines", "job", t.Job, "task", t.Index, "machine", q.machine.name, "attempt", q.attempt, "other", m.name, "other_attempt", t.Attempt)
			delete(j.live, t.Index)
			j.duplicates = append(j.duplicates, q)
			c.stopPlacement(q, now, 0)
		}
		if j.spec.Kind == Gang && !p.stopRequested {
			j.gangAttempt = max(j.gangAttempt, t.Attempt)
		}
	}
	if p.stopRequested {
		c.queueCommands(m)
	}
	return p
}

// handleUnreportedTasks updates the placements that a new report does not list. A task that was
// reported before is gone. A start that the worker has not executed is sent again. If the task is
// to be stopped, its placement is removed once the start can no longer arrive.
func (c *Core) handleUnreportedTasks(m *machine, r *Report, periodic bool, now Micros) {
	unexecuted := false
	for i := len(m.placements) - 1; i >= 0; i-- {
		if i >= len(m.placements) {
			continue
		}
		p := m.placements[i]
		if p.inCurrentReport || !p.startSent {
			continue
		}
		switch {
		case p.reported:
			c.removePlacement(p, now)
		case p.inDirectCommand:
			// The worker may execute the direct command after it made this report.
		case p.startUnanswered && !p.directStart.copiesRefused(m.reportedToken):
			// An unanswered direct command can still arrive as long as the worker accepts its
			// token.
			if p.stopRequested {
				c.wantTokenRaise()
			} else {
				p.resendStart = periodic
				unexecuted = unexecuted || periodic && p.startReportSeq > 0 && r.Seq > p.startReportSeq
			}
		case periodic && r.Seq > p.startReportSeq:
			// The answer with the start was lost or rejected. A worker has one report in
			// flight at a time, so that answer is not executed any more.
			p.startUnanswered = false
			if p.stopRequested {
				c.removePlacement(p, now)
			} else {
				p.startSent, unexecuted = false, true
				c.queueCommands(m)
			}
		}
	}
	if unexecuted {
		c.noteUnexecutedAnswer(m, now)
	} else if periodic {
		m.unexecutedAnswers = 0
	}
}
