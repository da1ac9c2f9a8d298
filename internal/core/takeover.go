package core

// Begin starts a term: jobs are all jobs that are unfinished, and the
// cancelled ones; snap is the bookkeeping, read after the leader's key was
// written. wall is the time of day at now.
func (c *Core) BeginTerm(now, wall Micros, token uint64, jobs []JobRecord, snap Snapshot) {
	c.leading, c.token, c.termToken, c.attemptCount = true, token, token, 0
	c.jobs = map[string]*job{}
	c.queue = nil
	c.machines = map[string]*machine{}
	c.sortedMachines = nil
	c.commandQueue, c.commandRetryQueue, c.completionQueue = nil, nil, nil
	c.probeQueue, c.probesInFlight = nil, 0
	c.deletedMachines = map[string]bool{}
	c.rentals = map[string]*rental{}
	c.rentalByMachine = map[string]*rental{}
	c.machineGroups, c.partitionRecords = nil, nil
	c.unreconciled = 0
	c.refusedUntil = map[offer]Micros{}
	c.releaseQueue, c.releaseInFlight, c.nextReleaseAt = nil, false, 0
	c.vacating = nil
	c.termBeganAt, c.reservationsUnknown, c.usageUpdatedAt, c.objectiveClasses, c.reservedClasses = now, true, now, nil, nil
	for _, k := range c.classes {
		k.serviceArrivals, k.reservation = arrivals{}, reservation{}
	}
	c.pendingWrites = map[uint64]func(Micros, WriteOutcome){}
	c.actions = nil
	c.tokenRaiseWanted, c.nextTokenRaiseAt = false, 0
	c.nextFleetReviewAt, c.nextLeaseCheckAt = now, now
	for _, t := range c.teams {
		t.used, t.placedByPriority = Resources{}, [Production + 1]int{}
	}
	c.zoneByName, c.isolatedSince, c.fleetUnreachableSince, c.tokenAcknowledged = map[string]*zone{}, 0, 0, false
	for _, ds := range c.delegates {
		for _, d := range ds {
			d.resetTerm()
		}
	}
	for _, r := range snap.MachineGroups {
		ch := &machineGroup{key: r.Key}
		c.machineGroups = append(c.machineGroups, ch)
		for _, rec := range r.Machines {
			if c.machines[rec.Name] != nil {
				ch.scheduleWrite(now) // it is in another record too
				continue
			}
			m := &machine{
				name: rec.Name, address: rec.Address, typeName: rec.Type, zone: rec.Zone, spot: rec.Spot,
				record: ch, recorded: true, discoveredAt: now, lastReport: now,
				// As if it had reported so lately that it is due again: what a probe finds is
				// of use until then.
				lastPeriodicReport: now + c.reportTimeout() - c.cfg.WorkerLease/2,
				// The former leader may have answered it for as long as it might.
				lastAcknowledged: now + c.cfg.AnswerGrace,
			}
			ch.machines = append(ch.machines, m)
			c.addMachine(m)
			c.queueProbe(m)
			c.unreconciled++
		}
		if len(ch.machines) == 0 {
			ch.scheduleWrite(now)
		}
	}
	open := map[string]bool{}
	for _, id := range snap.Started {
		open[id] = true
	}
	for _, rec := range jobs {
		if rec.Phase == Pending || rec.Phase == Cancelled && open[rec.Spec.ID] {
			c.addJob(now, wall, rec, open[rec.Spec.ID])
		}
	}
	stray := Write{}
	for _, id := range snap.Started {
		if c.jobs[id] == nil {
			stray.Deletes = append(stray.Deletes, StartedPrefix+id)
		}
	}
	for _, r := range snap.Completions {
		j := c.jobs[r.Job]
		if j == nil {
			stray.Deletes = append(stray.Deletes, r.Key)
			continue
		}
		j.completionKeys[r.Key] = true
		for i := 0; i+1 < len(r.Ranges); i += 2 {
			for n := r.Ranges[i]; n <= r.Ranges[i+1]; n++ {
				if k := r.Chunk*c.cfg.ChunkSize + n; k < len(j.status) {
					j.setStatus(k, taskDone)
				}
			}
		}
	}
	for _, r := range snap.Rentals {
		rt := &rental{RentalRecord: r, granted: true, decidedAt: now - max(wall-r.RentedAt, 0)}
		c.rentals[r.Request] = rt
		if c.awaitMachines(rt, false); rt.awaited == 0 {
			c.deleteRental(rt)
		}
	}
	for _, r := range snap.Partitions {
		if r.Zone != "" {
			c.adoptPartitionRecord(r, now, wall)
		} else {
			stray.Deletes = append(stray.Deletes, r.Key)
		}
	}
	if len(stray.Deletes) > 0 {
		c.write(stray, nil) // of jobs and cuts that are over
	}
	c.needsPlacement = true
	if c.unreconciled == 0 {
		for _, j := range c.sortedJobs() {
			c.clearUnaccounted(j)
		}
	}
	for _, j := range c.sortedJobs() {
		c.checkCompletion(j, now)
	}
	c.log("term begins", "token", token, "jobs", len(c.jobs), "machines", len(c.machines), "unsettled", c.unreconciled)
}

// End ends the term; nothing of it is kept.
func (c *Core) EndTerm() {
	c.leading = false
	c.jobs, c.queue, c.machines, c.sortedMachines, c.rentals, c.pendingWrites, c.actions = nil, nil, nil, nil, nil, nil, nil
}

// settle notes that all that can run on the machine is known.
func (c *Core) markReconciled(m *machine) {
	if m.reconciled {
		return
	}
	m.reconciled = true
	c.unreconciled--
	c.needsPlacement = true
	if c.unreconciled > 0 {
		return
	}
	// Every place has been heard of or is over: what was not seen runs nowhere.
	c.log("takeover settled")
	for _, j := range c.jobs {
		c.clearUnaccounted(j)
	}
}

func (c *Core) clearUnaccounted(j *job) {
	if !j.unaccounted {
		return
	}
	j.unaccounted = false
	c.needsPlacement = true
	c.cleanUpCancelled(j)
}

// Raised says that the leader's key was written again and what the token is now.
func (c *Core) TokenRaised(now Micros, token uint64) {
	c.nextTokenRaiseAt = 0
	if token > c.token {
		c.log("token raised", "from", c.token, "to", token)
		c.token, c.attemptCount = token, 0
		c.tokenRaiseWanted = false
		for _, m := range c.sortedMachines {
			// Others see the token with their next beat, which is soon enough.
			if m.hasUnansweredStart() {
				c.queueProbe(m)
			}
		}
	}
}

func (c *Core) nextAttempt() uint64 {
	c.attemptCount++
	// A token is never given twice, so neither is an attempt, by any leader.
	return c.token<<24 | c.attemptCount
}
