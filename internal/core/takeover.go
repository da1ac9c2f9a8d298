package core

import "aspenstall/internal/txn"

// termState is the part of the Core that belongs to one term. A takeover makes it anew.
type termState struct {
	leading               bool
	token                 uint64 // fencing token of commands that are sent now
	termToken             uint64 // token with which the term began; a report with at least this token is current
	attemptCount          uint64
	jobs                  map[string]*job
	queue                 []*job // unfinished jobs in scheduling order
	machines              map[string]*machine
	sortedMachines        []*machine      // ordered by name, which makes decisions deterministic
	deletedMachines       map[string]bool // machines that are known to be deleted
	machineGroups         []*machineGroup
	partitionRecords      []*retainedGroup
	rentals               map[string]*rental
	rentalByMachine       map[string]*rental // for machines that are not recorded yet
	unreconciled          int                // number of machines that are not reconciled
	zoneByName            map[string]*zone
	fleetUnreachableSince Micros     // 0: not unreachable, or not known yet in this term
	tokenAcknowledged     bool       // a machine has reported a token of this term
	isolatedSince         Micros     // since when zones with most of the fleet do not report; 0: they report
	commandQueue          []*machine // machines that may need commands
	commandRetryQueue     []*machine // the same, after a delay because a write for them failed
	probeQueue            []*machine // machines to be probed
	probesInFlight        int
	completionQueue       []*job      // jobs with completed tasks or a final record to write
	vacating              []*machine  // machines that are being emptied to be released
	objectiveClasses      []*jobClass // classes with start objectives
	reservedClasses       []*jobClass // those of objectiveClasses that have a reservation; see updateReservations
	usageUpdatedAt        Micros      // last time at which the usage of objectiveClasses was recorded
	termBeganAt           Micros
	reservationsUnknown   bool // the term has not determined yet what to reserve
	tokenRaise            tokenRaiseState
	commandCounts         commandCounts
	nextFleetReviewAt     Micros
	nextLeaseCheckAt      Micros
	refusedUntil          map[offer]Micros // end of the back-off after a refused rental
	releaseQueue          []*machine       // machines to be released
	releaseInFlight       bool
	nextReleaseAt         Micros
	pendingWrites         map[uint64]func(now Micros, o WriteOutcome)
	actions               []Action
}

// newTermState returns the state at the start of a term, without the former leader's records.
func newTermState(now Micros, token uint64) termState {
	return termState{
		leading: true, token: token, termToken: token, termBeganAt: now,
		jobs: map[string]*job{}, machines: map[string]*machine{}, deletedMachines: map[string]bool{},
		rentals: map[string]*rental{}, rentalByMachine: map[string]*rental{},
		refusedUntil: map[offer]Micros{}, zoneByName: map[string]*zone{},
		pendingWrites:       map[uint64]func(Micros, WriteOutcome){},
		reservationsUnknown: true, usageUpdatedAt: now,
		nextFleetReviewAt: now, nextLeaseCheckAt: now,
	}
}

// BeginTerm starts a term with the given fencing token. jobs are all unfinished and all cancelled
// jobs. snap holds the former leader's records, read after the leader key was written. wall is the
// wall clock time at now.
func (c *Core) BeginTerm(now, wall Micros, token uint64, jobs []JobRecord, snap Snapshot) {
	c.termState = newTermState(now, token)
	for _, k := range c.classes {
		k.serviceArrivals, k.reservation = arrivals{}, reservation{}
	}
	for _, t := range c.teams {
		t.used, t.placedByPriority = Resources{}, [Production + 1]int{}
	}
	for _, ds := range c.delegates {
		for _, d := range ds {
			d.resetTerm()
		}
	}
	c.restoreMachines(snap.MachineGroups, now)
	obsolete := c.restoreJobs(jobs, snap.Started, now, wall)
	obsolete = append(obsolete, c.restoreCompletions(snap.Completions)...)
	c.restoreRentals(snap.Rentals, now, wall)
	obsolete = append(obsolete, c.restorePartitions(snap.Partitions, now, wall)...)
	if len(obsolete) > 0 {
		c.write(Write{Kind: txn.ObsoleteRecordsDropped, Deletes: obsolete}, nil) // records of jobs and partitions that are over
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

// restoreMachines adds the machines of the former leader's records. None is reconciled yet.
func (c *Core) restoreMachines(records []MachineGroupRecord, now Micros) {
	for _, r := range records {
		group := &machineGroup{key: r.Key}
		c.machineGroups = append(c.machineGroups, group)
		for _, rec := range r.Machines {
			if c.machines[rec.Name] != nil {
				group.scheduleWrite(now) // the machine is in another record, too
				continue
			}
			m := &machine{
				name: rec.Name, address: rec.Address, typeName: rec.Type, zone: rec.Zone, spot: rec.Spot,
				group: group, storedIn: group, discoveredAt: now, lastReport: now,
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
}

// restoreJobs adds the unfinished jobs, and the cancelled ones whose tasks may still run. It returns
// the keys of the started records of all others.
func (c *Core) restoreJobs(jobs []JobRecord, startedIDs []string, now, wall Micros) (obsolete []string) {
	started := map[string]bool{}
	for _, id := range startedIDs {
		started[id] = true
	}
	for _, rec := range jobs {
		if rec.Phase == Pending || rec.Phase == Cancelled && started[rec.Spec.ID] {
			c.addJob(now, wall, rec, started[rec.Spec.ID])
		}
	}
	for _, id := range startedIDs {
		if c.jobs[id] == nil {
			obsolete = append(obsolete, StartedPrefix+id)
		}
	}
	return obsolete
}

// restoreCompletions marks the recorded tasks as done. It returns the keys of the records of jobs
// that are over.
func (c *Core) restoreCompletions(records []CompletionRecord) (obsolete []string) {
	for _, r := range records {
		j := c.jobs[r.Job]
		if j == nil {
			obsolete = append(obsolete, r.Key)
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
	return obsolete
}

// restoreRentals adds the rentals whose machines have not come up yet.
func (c *Core) restoreRentals(records []RentalRecord, now, wall Micros) {
	for _, r := range records {
		restored := &rental{RentalRecord: r, granted: true, decidedAt: now - max(wall-r.RentedAt, 0)}
		c.rentals[r.RequestID] = restored
		if c.awaitMachines(restored, false); restored.awaited == 0 {
			c.deleteRental(restored)
		}
	}
}

// restorePartitions adopts the partition records that are not over. It returns the keys of the
// others.
func (c *Core) restorePartitions(records []PartitionRecord, now, wall Micros) (obsolete []string) {
	for _, r := range records {
		if r.Zone == "" {
			obsolete = append(obsolete, r.Key)
			continue
		}
		c.adoptPartitionRecord(r, now, wall)
	}
	return obsolete
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
