package core

// Beat takes a worker's report and returns the commands for the answer. ok is
// false if this node may not answer it.
func (c *Core) Beat(now Micros, r *Report) (cmds []Command, token uint64, ok bool) {
	if !c.leading {
		return nil, 0, false
	}
	m := c.machines[r.Machine]
	if m == nil {
		if c.gone[r.Machine] {
			return nil, c.token, true
		}
		// Rented late, or by a leader that died before it could say so: it was
		// never recorded, so it was never given a task.
		m = &machine{name: r.Machine, typeName: r.Type, zone: r.Zone, spot: r.Spot, seen: now, booting: true, settled: true, unproven: true}
		c.addMachine(m)
		c.note("unexpected machine reports", "machine", m.name, "type", m.typeName, "zone", m.zone)
	}
	if c.isCopy(m, r) {
		return nil, 0, false
	}
	if c.startsCancelled(m, r, now) {
		c.wantRaise = true
		return nil, 0, false
	}
	if !m.newer(r) {
		m.answerOld(r)
		return nil, c.token, true
	}
	if m.typeName == "" {
		m.typeName, m.zone, m.spot = r.Type, r.Zone, r.Spot
		m.typ = c.types[m.typeName]
	}
	if !c.hears(m, r) {
		// It has nothing to lose: what it does not get renews nothing. Once a probe
		// gets through it is answered again.
		c.absorb(m, r, true, now)
		return nil, 0, false
	}
	c.absorb(m, r, true, now)
	// A former leader may answer it until it has seen this token.
	m.answered = max(m.answered, now)
	return c.commands(m, now, true), c.token, true
}

// startsCancelled reports whether a direct start of a job's task may still be under way
// to the machine although the job was cancelled so long ago that it must not begin any
// more. Only a raised token or a new session makes it void: where the token can't be
// raised, since the state service refuses, the machine's lease has to end.
func (c *Core) startsCancelled(m *machine, r *Report, now Micros) bool {
	for _, p := range m.tasks {
		if p.late && p.j != nil && p.j.cancelled && now-p.j.cancelAt >= c.cfg.Blind &&
			r.Session == m.session && max(r.Token, c.token) <= p.lateToken {
			return true
		}
	}
	return false
}

// BeatInGrace takes a report while the leader's lease is not certain to be
// alive: the worker's lease is renewed and it is told nothing. ok is false if
// the worker has seen a higher token, so that there is another leader.
func (c *Core) BeatInGrace(now Micros, r *Report) (token uint64, ok bool) {
	m := c.machines[r.Machine]
	if !c.leading || m == nil || r.Token > c.token || c.isCopy(m, r) {
		return 0, false
	}
	if c.startsCancelled(m, r, now) {
		return 0, false
	}
	if m.newer(r) {
		c.absorb(m, r, true, now)
		m.answered = max(m.answered, now)
	} else {
		m.answerOld(r)
	}
	return c.token, true
}

// isCopy reports whether a report can only be a copy of an old one: see absorb.
func (c *Core) isCopy(m *machine, r *Report) bool {
	return m.unproven && len(r.Tasks) > 0 && r.Token < c.settleToken
}

// newer reports whether a report is newer than all before it.
func (m *machine) newer(r *Report) bool {
	return r.Session > m.session || r.Session == m.session && r.Seq > m.seq
}

// answerOld notes that a report is answered that is older than what is known: it changes
// nothing. A worker that still waits for the answer counts its lease from before it made
// the newer one; a copy, or one of an earlier session, renews nothing.
func (m *machine) answerOld(r *Report) {
	if r.Session == m.session {
		m.answered = max(m.answered, m.heard)
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
func (c *Core) absorb(m *machine, r *Report, beat bool, now Micros) {
	if r.Session > m.session && m.session > 0 {
		// Its lease ran out: the worker has killed and forgotten its tasks, and
		// direct commands that are still under way name a session that is over.
		c.clear(m, now)
		if ago := now - m.answered; ago >= 0 && ago < c.cfg.Lease/2 {
			c.becomesDeaf(m, "its lease ran out although it was answered")
		}
	}
	newSession := r.Session != m.session
	m.session, m.seq = r.Session, r.Seq
	m.token = max(m.token, r.Token)
	m.heard, m.misses = now, 0
	if m.kept != nil {
		c.fleetAt = now // its record ends
	}
	if m.silent {
		m.silent = false
		if m.returning && m.returnWhy == silentWhy {
			c.keep(m)
		}
	}
	if r.Address != "" {
		m.address = r.Address
	}
	c.enlist(m, now)
	if m.booting {
		c.booted(m, now)
	}
	if m.booting || m.lost {
		m.booting, m.lost = false, false
		m.idle = now
		c.dirty = true
	}
	if beat {
		m.noDo = false
		m.reported = now
	}
	if newSession {
		// Its lease runs from when it began, whatever was answered before.
		m.answered = max(m.answered, now)
		c.touch(m)
	}
	if r.Notice >= 0 && !m.draining {
		c.note("spot notice", "machine", m.name, "in_s", float64(r.Notice)/1e6)
		c.drain(m, now, now+r.Notice)
	}
	for _, p := range m.tasks {
		p.beatMark = false
	}
	m.fetching = 0
	for i := range r.Tasks {
		c.absorbTask(m, &r.Tasks[i], now)
	}
	c.absorbMissing(m, r, beat, now)
	if m.used == (Res{}) && m.idle == 0 {
		m.idle = now // taken over empty from a former leader
	}
	if r.Token >= c.settleToken && r.Token > 0 {
		c.taken = true
		if m.unproven {
			m.unproven = false
			c.dirty = true
		}
		m.answered = min(m.answered, now) // a former leader's answers it drops
		c.settle(m)
	}
}

func (c *Core) absorbTask(m *machine, t *TaskReport, now Micros) {
	var p *placement
	for _, o := range m.tasks {
		if o.attempt == t.Attempt && o.index == t.Index && o.job == t.Job {
			p = o
			break
		}
	}
	if p == nil {
		p = c.adopt(m, t, now)
		if t.State == Exited {
			p.shown, p.beatMark, p.state, p.cause = true, true, Exited, t.Cause
			m.tasks = append(m.tasks, p)
			c.exited(p, now)
			c.touch(m)
			return
		}
		c.add(p)
	}
	p.beatMark, p.listed = true, false
	if t.State != Exited || t.Cause != CauseStopped {
		p.fetching = t.State == Fetching // other ends come after it has its image
	}
	if p.again && !p.unwanted && t.State == Exited && t.Cause == CauseAlone {
		return // it has not been told yet
	}
	p.again = false
	wasExited := p.shown && p.state == Exited
	if t.State != Exited {
		if p.j != nil && (t.State == Running || t.State == Saving) {
			p.j.ran = p.attempt
		}
		if p.j != nil && t.State == Running && p.state == Running && now-p.runningAt >= provenAfter {
			c.ranWell(p.j, now)
		}
		if t.State == Running && p.state != Running {
			p.runningAt = now
			if p.j != nil {
				if p.j.firstStart == 0 {
					p.j.firstStart = now
				}
				p.j.lastStart = now
				m.useImage(p.j.image, p.j.spec.ImageMB)
				delete(m.failed, p.job)
			}
		}
		if t.State == Fetching {
			m.fetching++
		}
		if !p.shown {
			p.shown, p.sent = true, true
		}
		p.state = t.State
		c.countRunning(p, t.State == Running)
		if j := p.j; j != nil && !j.started && j.running+j.done == len(j.status) {
			j.started = true
			c.out = append(c.out, Note{Text: "all tasks started", Debug: true, Args: []any{
				"job", j.spec.ID, "class", j.spec.Class, "team", j.spec.Team, "tasks", len(j.status), "after_ms", (now - j.submitted) / Millisecond}})
		}
		return
	}
	if wasExited {
		return
	}
	held := p.holds()
	p.shown, p.sent = true, true
	p.state, p.cause = Exited, t.Cause
	if held {
		c.release(p, now)
		if c.waitAgain(p) {
			return
		}
	}
	c.exited(p, now)
	c.touch(m)
}

// adopt makes a placement for a task that a former leader started.
func (c *Core) adopt(m *machine, t *TaskReport, now Micros) *placement {
	p := &placement{job: t.Job, index: t.Index, attempt: t.Attempt, m: m, sent: true, at: now}
	j := c.jobs[t.Job]
	if j == nil || t.Index >= len(j.status) {
		p.unwanted, p.finalOK = true, true
		c.touch(m)
		return p
	}
	p.j, p.need = j, j.spec.Need
	j.opened = true
	switch {
	case j.cancelled, j.status[t.Index] == taskDone:
		p.unwanted = true
	case t.State != Exited:
		switch q := j.live[t.Index]; {
		case q == nil:
		case t.Attempt <= q.attempt:
			// One of the reports is a copy of an old one, and this attempt the earlier: it
			// was known to be gone before the other was started. Until its machine shows
			// that, it counts, and keeps the task from starting elsewhere (release).
			p.unwanted = true
			c.note("task reported on two machines", "job", t.Job, "task", t.Index, "machine", m.name, "other", q.m.name)
		case q.listed:
			c.unlist(q, now) // it was replaced after it was recorded
		default:
			c.note("task reported on two machines", "job", t.Job, "task", t.Index, "machine", q.m.name, "other", m.name)
			delete(j.live, t.Index)
			j.doubles = append(j.doubles, q)
			c.unwant(q, now, 0)
		}
		if j.spec.Kind == Gang && !p.unwanted {
			j.attempt = max(j.attempt, t.Attempt)
		}
	}
	if p.unwanted {
		c.touch(m)
	}
	return p
}

// absorbMissing looks at placements that a newer report does not show.
func (c *Core) absorbMissing(m *machine, r *Report, beat bool, now Micros) {
	missed := false
	for i := len(m.tasks) - 1; i >= 0; i-- {
		if i >= len(m.tasks) {
			continue
		}
		p := m.tasks[i]
		if p.beatMark || !p.sent {
			continue
		}
		switch {
		case p.shown:
			c.remove(p, now)
		case p.inDo:
			// The direct command may be executed after this report was made.
		case p.late && m.token <= p.lateToken:
			// An unanswered direct command can still arrive while the machine
			// accepts its token.
			if p.unwanted {
				c.wantRaise = true
			} else {
				p.resend = beat
				missed = missed || beat && p.beatSeq > 0 && r.Seq > p.beatSeq
			}
		case beat && r.Seq > p.beatSeq:
			// The answer that carried the start was lost or dropped: a worker
			// has one report in flight, so it will not be executed any more.
			p.late = false
			if p.unwanted {
				c.remove(p, now)
			} else {
				p.sent, missed = false, true
				c.touch(m)
			}
		}
	}
	if missed {
		c.missed(m)
	} else if beat {
		m.missed = 0
	}
}
