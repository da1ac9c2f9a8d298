package core

// BeginTerm starts a term with the given fencing token. jobs are all unfinished and all cancelled
// jobs. snap holds the former leader's records, read after the leader key was written. wall is the
// wall clock time at now.
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
		group := &machineGroup{key: r.Key}
		c.machineGroups = append(c.machineGroups, group)
		for _, rec := range r.Machines {
			if c.machines[rec.Name] != nil {
				group.scheduleWrite(now) // the machine is in another record, too
				continue
			}
			m := &machine{
				name: rec.Name, address: rec.Address, typeName: rec.Type, zone: rec.Zone, spot: rec.Spot,
				group: group, storedIn: group, recorded: true, discoveredAt: now, lastReport: now,
				// The machine counts as having reported so recently that a successful probe
				// makes it schedulable for one report timeout. It must report by itself within
				// that time.
				lastPeriodicReport: now + c.reportTimeout() - c.cfg.WorkerLease/2,
				// The former leader or its delegates may answer the worker for up to
				// AnswerGrace.
				lastAcknowledged: now + c.cfg.AnswerGrace,
			}
			group.machines = append(group.machines, m)
			c.addMachine(m)
			c.queueProbe(m)
			c.unreconciled++
		}
		if len(group.machines) == 0 {
			group.scheduleWrite(now)
		}
	}
	started := map[string]bool{}
	for _, id := range snap.Started {
		started[id] = true
	}
	for _, rec := range jobs {
		if rec.Phase == Pending || rec.Phase == Cancelled && started[rec.Spec.ID] {
			c.addJob(now, wall, rec, started[rec.Spec.ID])
		}
	}
	cleanup := Write{}
	for _, id := range snap.Started {
		if c.jobs[id] == nil {
			cleanup.Deletes = append(cleanup.Deletes, StartedPrefix+id)
		}
	}
	for _, r := range snap.Completions {
		j := c.jobs[r.Job]
		if j == nil {
			cleanup.Deletes = append(cleanup.Deletes, r.Key)
			continue
		}
		j.completionKeys[r.Key] = true
		for i := 0; i+1 < len(r.Ranges); i += 2 {
			for n := r.Ranges[i]; n <= r.Ranges[i+1]; n++ {
				if k := r.Chunk*c.cfg.RelativeChunkSize + n; k < len(j.status) {
					j.setStatus(k, taskDone)
				}
			}
		}
	}
	for _, r := range snap.Rentals {
		restored := &rental{RentalRecord: r, granted: true, decidedAt: now - max(wall-r.RentedAt, 0)}
		c.rentals[r.RequestID] = restored
		if c.awaitMachines(restored, false); restored.awaited == 0 {
			c.deleteRental(restored)
		}
	}
	for _, r := range snap.Partitions {
		if r.Zone != "" {
			c.adoptPartitionRecord(r, now, wall)
		} else {
			cleanup.Deletes = append(cleanup.Deletes, r.Key)
		}
	}
	if len(cleanup.Deletes) > 0 {
		c.write(cleanup, nil) // records of jobs and partitions that are over
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

// EndTerm ends the term and drops its state.
func (c *Core) EndTerm() {
	c.leading = false
	c.jobs, c.queue, c.machines, c.sortedMachines, c.rentals, c.pendingWrites, c.actions = nil, nil, nil, nil, nil, nil, nil
}

// markReconciled records that every task that may run on the machine is known. Once that is so for
// all machines, tasks that were not reported run nowhere and may be started.
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
	// Each machine has reported, is in a partition record, or is lost or deleted.
	c.log("takeover settled")
	for _, j := range c.jobs {
		c.clearUnaccounted(j)
	}
}

// clearUnaccounted records that the tasks of a started job that no machine has reported run
// nowhere.
func (c *Core) clearUnaccounted(j *job) {
	if !j.unaccounted {
		return
	}
	j.unaccounted = false
	c.needsPlacement = true
	c.cleanUpCancelled(j)
}

// HandleTokenRaised applies the result of RaiseToken: the leader key was written again, and token
// is the new token.
func (c *Core) HandleTokenRaised(now Micros, token uint64) {
	c.nextTokenRaiseAt = 0
	if token > c.token {
		c.log("token raised", "from", c.token, "to", token)
		c.token, c.attemptCount = token, 0
		c.tokenRaiseWanted = false
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
	return c.token<<24 | c.attemptCount
}
