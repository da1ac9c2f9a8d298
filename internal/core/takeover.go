package core

// Begin starts a term: jobs are all jobs that are unfinished, and the
// cancelled ones; snap is the bookkeeping, read after the leader's key was
// written. wall is the time of day at now.
func (c *Core) Begin(now, wall Micros, token uint64, jobs []JobRecord, snap Snapshot) {
	c.leading, c.token, c.settleToken, c.attempts = true, token, token, 0
	c.jobs = map[string]*job{}
	c.queue = nil
	c.machines = map[string]*machine{}
	c.order = nil
	c.touched, c.retouch, c.ended = nil, nil, nil
	c.probes, c.probing = nil, 0
	c.gone = map[string]bool{}
	c.rents = map[string]*rent{}
	c.rentOf = map[string]*rent{}
	c.chunks, c.kept = nil, nil
	c.unsettled = 0
	c.refused = map[offer]Micros{}
	c.backlog, c.returnOut, c.returnFrom = nil, false, 0
	c.vacating = nil
	c.begun, c.holdFleet, c.lookedBack, c.held, c.holds = now, true, now, nil, nil
	for _, k := range c.classes {
		k.services, k.batches = arrivals{}, holding{}
	}
	c.writes = map[uint64]func(Micros, WriteOutcome){}
	c.out = nil
	c.wantRaise, c.raising = false, 0
	c.fleetAt, c.probeAt = now, now
	for _, t := range c.teams {
		t.used, t.placed = Res{}, [Production + 1]int{}
	}
	c.zoneOf, c.aloneFrom, c.deafFrom, c.taken = map[string]*zone{}, 0, 0, false
	for _, ds := range c.deputies {
		for _, d := range ds {
			d.begin()
		}
	}
	for _, r := range snap.Machines {
		ch := &chunk{key: r.Key}
		c.chunks = append(c.chunks, ch)
		for _, rec := range r.Machines {
			if c.machines[rec.Name] != nil {
				ch.want(now) // it is in another record too
				continue
			}
			m := &machine{
				name: rec.Name, address: rec.Address, typeName: rec.Type, zone: rec.Zone, spot: rec.Spot,
				chunk: ch, recorded: true, seen: now, heard: now,
				// As if it had reported so lately that it is due again: what a probe finds is
				// of use until then.
				reported: now + c.silence() - c.cfg.Lease/2,
				// The former leader may have answered it for as long as it might.
				answered: now + c.cfg.AnswerGrace,
			}
			ch.machines = append(ch.machines, m)
			c.addMachine(m)
			c.probe(m)
			c.unsettled++
		}
		if len(ch.machines) == 0 {
			ch.want(now)
		}
	}
	open := map[string]bool{}
	for _, id := range snap.Open {
		open[id] = true
	}
	for _, rec := range jobs {
		if rec.Phase == Pending || rec.Phase == Cancelled && open[rec.Spec.ID] {
			c.addJob(now, wall, rec, open[rec.Spec.ID])
		}
	}
	stray := Write{}
	for _, id := range snap.Open {
		if c.jobs[id] == nil {
			stray.Drops = append(stray.Drops, OpenPrefix+id)
		}
	}
	for _, r := range snap.Ranges {
		j := c.jobs[r.Job]
		if j == nil {
			stray.Drops = append(stray.Drops, r.Key)
			continue
		}
		j.stored[r.Key] = true
		for i := 0; i+1 < len(r.Ranges); i += 2 {
			for n := r.Ranges[i]; n <= r.Ranges[i+1]; n++ {
				if k := r.Chunk*c.cfg.ChunkSize + n; k < len(j.status) {
					j.set(k, taskDone)
				}
			}
		}
	}
	for _, r := range snap.Rents {
		rt := &rent{RentRecord: r, granted: true, seen: now - max(wall-r.At, 0)}
		c.rents[r.Request] = rt
		if c.expect(rt, false); rt.coming == 0 {
			c.dropRent(rt)
		}
	}
	for _, r := range snap.Kept {
		if r.Zone != "" {
			c.takeKept(r, now, wall)
		} else {
			stray.Drops = append(stray.Drops, r.Key)
		}
	}
	if len(stray.Drops) > 0 {
		c.write(stray, nil) // of jobs and cuts that are over
	}
	c.dirty = true
	if c.unsettled == 0 {
		for _, j := range c.sortedJobs() {
			c.unhold(j)
		}
	}
	for _, j := range c.sortedJobs() {
		c.checkDone(j, now)
	}
	c.note("term begins", "token", token, "jobs", len(c.jobs), "machines", len(c.machines), "unsettled", c.unsettled)
}

// End ends the term; nothing of it is kept.
func (c *Core) End() {
	c.leading = false
	c.jobs, c.queue, c.machines, c.order, c.rents, c.writes, c.out = nil, nil, nil, nil, nil, nil, nil
}

// settle notes that all that can run on the machine is known.
func (c *Core) settle(m *machine) {
	if m.settled {
		return
	}
	m.settled = true
	c.unsettled--
	c.dirty = true
	if c.unsettled > 0 {
		return
	}
	// Every place has been heard of or is over: what was not seen runs nowhere.
	c.note("takeover settled")
	for _, j := range c.jobs {
		c.unhold(j)
	}
}

func (c *Core) unhold(j *job) {
	if !j.held {
		return
	}
	j.held = false
	c.dirty = true
	c.closeIfOver(j)
}

// Raised says that the leader's key was written again and what the token is now.
func (c *Core) Raised(now Micros, token uint64) {
	c.raising = 0
	if token > c.token {
		c.note("token raised", "from", c.token, "to", token)
		c.token, c.attempts = token, 0
		c.wantRaise = false
		for _, m := range c.order {
			// Others see the token with their next beat, which is soon enough.
			if m.hasLate() {
				c.probe(m)
			}
		}
	}
}

func (c *Core) nextAttempt() uint64 {
	c.attempts++
	// A token is never given twice, so neither is an attempt, by any leader.
	return c.token<<24 | c.attempts
}
