package core

// Beat takes a worker's report and returns the commands for the answer. ok is
// false if this node may not answer it.
func (c *Core) HandleReport(now Micros, r *Report) (cmds []Command, token uint64, ok bool) {
	if !c.leading {
		return nil, 0, false
	}
	m := c.machines[r.Machine]
	if m == nil {
		if c.deletedMachines[r.Machine] {
			return nil, c.token, true
		}
		// Rented late, or by a leader that died before it could say so: it was
		// never recorded, so it was never given a task.
		m = &machine{name: r.Machine, typeName: r.Type, zone: r.Zone, spot: r.Spot, discoveredAt: now, booting: true, reconciled: true, unverified: true}
		c.addMachine(m)
		c.log("unexpected machine reports", "machine", m.name, "type", m.typeName, "zone", m.zone)
	}
	if c.isDelayedDuplicate(m, r) {
		return nil, 0, false
	}
	if c.mayStartCancelled(m, r, now) {
		c.tokenRaiseWanted = true
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
	if !c.shouldAnswer(m, r) {
		// It has nothing to lose: what it does not get renews nothing. Once a probe
		// gets through it is answered again.
		c.applyReport(m, r, true, now)
		return nil, 0, false
	}
	c.applyReport(m, r, true, now)
	// A former leader may answer it until it has seen this token.
	m.lastAcknowledged = max(m.lastAcknowledged, now)
	return c.commands(m, now, true), c.token, true
}

// startsCancelled reports whether a direct start of a job's task may still be under way
// to the machine although the job was cancelled so long ago that it must not begin any
// more. Only a raised token or a new session makes it void: where the token can't be
// raised, since the state service refuses, the machine's lease has to end.
func (c *Core) mayStartCancelled(m *machine, r *Report, now Micros) bool {
	for _, p := range m.placements {
		if p.startUnanswered && p.job != nil && p.job.cancelled && now-p.job.cancelledAt >= c.cfg.MaxCancelStaleness &&
			r.Session == m.session && max(r.Token, c.token) <= p.startUnansweredToken {
			return true
		}
	}
	return false
}

// BeatInGrace takes a report while the leader's lease is not certain to be
// alive: the worker's lease is renewed and it is told nothing. ok is false if
// the worker has seen a higher token, so that there is another leader.
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

// isCopy reports whether a report can only be a copy of an old one: see absorb.
func (c *Core) isDelayedDuplicate(m *machine, r *Report) bool {
	return m.unverified && len(r.Tasks) > 0 && r.Token < c.termToken
}

// newer reports whether a report is newer than all before it.
func (m *machine) isNewer(r *Report) bool {
	return r.Session > m.session || r.Session == m.session && r.Seq > m.seq
}

// answerOld notes that a report is answered that is older than what is known: it changes
// nothing. A worker that still waits for the answer counts its lease from before it made
// the newer one; a copy, or one of an earlier session, renews nothing.
func (m *machine) acknowledgeOldReport(r *Report) {
	if r.Session == m.session {
		m.lastAcknowledged = max(m.lastAcknowledged, m.lastReport)
	}
}

// absorb takes over a report that is newer than all before it.
//
// A machine that a former leader recorded is settled by a report that shows this term's
// token: older ones, copies among them, say what was on it once. One without a record was
// never given a task, so there is nothing to settle; but a former leader may have returned
// it, and dropped its record, and then a copy of what it once said is all that comes of it.
// It is unproven: it is given nothing before it shows the token, which takes one more
// report, and a report of tasks without it is such a copy.
func (c *Core) applyReport(m *machine, r *Report, beat bool, now Micros) {
	if r.Session > m.session && m.session > 0 {
		// Its lease ran out: the worker has killed and forgotten its tasks, and
		// direct commands that are still under way name a session that is over.
		c.clearMachine(m, now)
		if ago := now - m.lastAcknowledged; ago >= 0 && ago < c.cfg.WorkerLease/2 {
			c.markInboundLost(m, "its lease ran out although it was answered")
		}
	}
	newSession := r.Session != m.session
	m.session, m.seq = r.Session, r.Seq
	m.reportedToken = max(m.reportedToken, r.Token)
	m.lastReport, m.commandFailures = now, 0
	if m.retainedIn != nil {
		c.nextFleetReviewAt = now // its record ends
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
	if beat {
		m.directCommandFailed = false
		m.lastPeriodicReport = now
	}
	if newSession {
		// Its lease runs from when it began, whatever was answered before.
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
	for i := range r.Tasks {
		c.applyTaskReport(m, &r.Tasks[i], now)
	}
	c.handleUnreportedTasks(m, r, beat, now)
	if m.used == (Resources{}) && m.idleSince == 0 {
		m.idleSince = now // taken over empty from a former leader
	}
	if r.Token >= c.termToken && r.Token > 0 {
		c.tokenAcknowledged = true
		if m.unverified {
			m.unverified = false
			c.needsPlacement = true
		}
		m.lastAcknowledged = min(m.lastAcknowledged, now) // a former leader's answers it drops
		c.markReconciled(m)
	}
}

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
		p.fetching = t.State == Fetching // other ends come after it has its image
	}
	if p.retryPending && !p.stopRequested && t.State == Exited && t.Cause == CausePeersMissing {
		return // it has not been told yet
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
			c.actions = append(c.actions, LogEntry{Message: "all tasks started", Debug: true, Args: []any{
				"job", j.spec.ID, "class", j.spec.Class, "team", j.spec.Team, "tasks", len(j.status), "after_ms", (now - j.submitted) / Millisecond}})
		}
		return
	}
	if wasExited {
		return
	}
	held := p.occupies()
	p.reported, p.startSent = true, true
	p.state, p.cause = Exited, t.Cause
	if held {
		c.deallocate(p, now)
		if c.retryWait(p) {
			return
		}
	}
	c.taskExited(p, now)
	c.queueCommands(m)
}

// adopt makes a placement for a task that a former leader started.
func (c *Core) adopt(m *machine, t *TaskReport, now Micros) *placement {
	p := &placement{jobID: t.Job, index: t.Index, attempt: t.Attempt, machine: m, startSent: true, placedAt: now}
	j := c.jobs[t.Job]
	if j == nil || t.Index >= len(j.status) {
		p.stopRequested, p.completionRecorded = true, true
		c.queueCommands(m)
		return p
	}
	p.job, p.need = j, j.spec.Request
	j.mayHaveStarted = true
	switch {
	case j.cancelled, j.status[t.Index] == taskDone:
		p.stopRequested = true
	case t.State != Exited:
		switch q := j.live[t.Index]; {
		case q == nil:
		case t.Attempt <= q.attempt:
			// One of the reports is a copy of an old one, and this attempt the earlier: it
			// was known to be gone before the other was started. Until its machine shows
			// that, it counts, and keeps the task from starting elsewhere (release).
			p.stopRequested = true
			c.log("task reported on two machines", "job", t.Job, "task", t.Index, "machine", m.name, "other", q.machine.name)
		case q.fromPartitionRecord:
			c.dropRecordedPlacement(q, now) // it was replaced after it was recorded
		default:
			c.log("task reported on two machines", "job", t.Job, "task", t.Index, "machine", q.machine.name, "other", m.name)
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

// absorbMissing looks at placements that a newer report does not show.
func (c *Core) handleUnreportedTasks(m *machine, r *Report, beat bool, now Micros) {
	missed := false
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
			// The direct command may be executed after this report was made.
		case p.startUnanswered && m.reportedToken <= p.startUnansweredToken:
			// An unanswered direct command can still arrive while the machine
			// accepts its token.
			if p.stopRequested {
				c.tokenRaiseWanted = true
			} else {
				p.resendStart = beat
				missed = missed || beat && p.startReportSeq > 0 && r.Seq > p.startReportSeq
			}
		case beat && r.Seq > p.startReportSeq:
			// The answer that carried the start was lost or dropped: a worker
			// has one report in flight, so it will not be executed any more.
			p.startUnanswered = false
			if p.stopRequested {
				c.removePlacement(p, now)
			} else {
				p.startSent, missed = false, true
				c.queueCommands(m)
			}
		}
	}
	if missed {
		c.noteUnexecutedAnswer(m)
	} else if beat {
		m.unexecutedAnswers = 0
	}
}
