package core

import (
	"fmt"
	"slices"

	"aspenstall/internal/txn"
)

// When a zone partition is detected, a partition record is stored with the tasks on the machines
// that are retained in the zone. A new leader cannot reach these machines during the partition.
// Without the record it would have to wait until their leases have certainly expired before it
// starts any unaccounted task of a started job.
//
// While a record exists, no task is placed on its machines. So it lists every task that can be
// on them: those that were there, and those whose start may still arrive. A listed task may have
// ended, and may have been restarted elsewhere since, so a report of the task by another machine
// takes precedence over the record.
//
// A record is ended by overwriting it with an empty one. The write of a record is conditional on
// its key being absent, so a late execution of that write has no effect on the empty one.

// retainedGroup is a group of retained machines with their partition record.
type retainedGroup struct {
	key        string
	zone       string
	machines   []*machine // without those that are gone
	recordedAt Micros     // the record describes the state at this time
	writing    bool
	writeFrom  Micros // no write before this, after a failed one
}

const (
	// recordTaskBytes and recordMachineBytes are the bytes that a task and a machine take in a
	// record's JSON besides their names: an index, an attempt, brackets and commas.
	recordTaskBytes    = 36
	recordMachineBytes = 12
)

// updatePartitionRecords ends the records of which a machine reports again, and those without
// machines whose partition is over. It writes records for newly partitioned zones.
func (c *Core) updatePartitionRecords(now Micros) {
	for _, g := range slices.Clone(c.partitionRecords) {
		ended := len(g.machines) == 0 && now >= c.zoneByName[g.zone].partitionUntil ||
			// A report with a former leader's token may be a delayed duplicate.
			slices.ContainsFunc(g.machines, func(m *machine) bool { return m.lastReport > g.recordedAt && m.reportedToken >= c.termToken })
		if ended && !g.writing && now >= g.writeFrom {
			c.clearPartitionRecord(g)
		}
	}
	for _, name := range c.partitionedZones(now) {
		if now < c.zoneByName[name].partitionRecordRetryAt {
			continue
		}
		var unrecorded []*machine
		for _, m := range c.sortedMachines {
			if m.zone == name && m.retainedIn == nil && m.reconciled && !m.booting && !m.lost && !m.releasing &&
				!m.reportedWithin(now, c.zoneByName[name].window) && c.shouldRetain(m) {
				unrecorded = append(unrecorded, m)
			}
		}
		for len(unrecorded) > 0 {
			n := c.fitPartitionRecord(unrecorded)
			c.writePartitionRecord(name, unrecorded[:n:n], now)
			unrecorded = unrecorded[n:]
		}
		if !slices.ContainsFunc(c.partitionRecords, func(g *retainedGroup) bool { return g.zone == name }) {
			c.writePartitionRecord(name, nil, now) // it tells a new leader when the partition began
		}
	}
}

// fitPartitionRecord returns how many of the machines fit into one record, at least one.
func (c *Core) fitPartitionRecord(machines []*machine) int {
	size := 0
	for n, m := range machines {
		size += recordMachineBytes + len(m.name)
		for _, p := range m.placements {
			size += recordTaskBytes + len(p.jobID)
		}
		if n > 0 && size > c.cfg.MaxRecordBytes {
			return n
		}
	}
	return len(machines)
}

// writePartitionRecord stores a record of a zone's partition with the tasks on the given machines.
func (c *Core) writePartitionRecord(zone string, members []*machine, now Micros) {
	c.partitionRecordID++
	g := &retainedGroup{key: fmt.Sprintf("%s%d-%d", PartitionPrefix, c.token, c.partitionRecordID), zone: zone, machines: slices.Clone(members), recordedAt: now, writing: true}
	c.partitionRecords = append(c.partitionRecords, g)
	rec := PartitionRecord{Zone: zone, Elapsed: now - c.zoneByName[zone].partitionStart}
	for _, m := range members {
		m.retainedIn = g
		retained := RetainedMachine{Name: m.name}
		for _, p := range m.placements {
			if p.occupies() {
				retained.Tasks = append(retained.Tasks, p.taskAttempt())
			}
		}
		rec.Machines = append(rec.Machines, retained)
	}
	c.write(Write{Kind: txn.PartitionBegun, Puts: []Put{{g.key, rec}}, IfAbsent: g.key, Urgent: true, Priority: Production}, func(now Micros, o WriteOutcome) {
		g.writing = false
		if o == WriteRefused {
			c.zoneByName[zone].partitionRecordRetryAt = now + writeRetryDelay
			c.dropRetainedGroup(g)
		} // a write without an answer may have been executed, or may be later
	})
}

// dropRetainedGroup makes the machines of a record schedulable again, and forgets the record: it
// was never stored, or the empty one has replaced it.
func (c *Core) dropRetainedGroup(g *retainedGroup) {
	for _, m := range g.machines {
		m.retainedIn = nil
	}
	c.needsPlacement = true
	c.partitionRecords = slices.DeleteFunc(c.partitionRecords, func(o *retainedGroup) bool { return o == g })
}

// clearPartitionRecord overwrites a record with an empty one. Its machines become schedulable once
// that is stored.
func (c *Core) clearPartitionRecord(g *retainedGroup) {
	g.writing = true
	c.write(Write{Kind: txn.PartitionEnded, Puts: []Put{{g.key, PartitionRecord{}}}, Urgent: true, Priority: Production}, func(now Micros, o WriteOutcome) {
		g.writing, g.writeFrom = false, now+writeRetryDelay
		if o == Stored {
			c.dropRetainedGroup(g)
		}
	})
}

// removeFromRetainedGroup removes a machine that is gone from its group.
func (c *Core) removeFromRetainedGroup(m *machine) {
	if g := m.retainedIn; g != nil {
		g.machines = slices.DeleteFunc(g.machines, func(o *machine) bool { return o == m })
		m.retainedIn = nil
	}
}

// adoptPartitionRecord restores a partition record of a former leader. The machines and the jobs
// must have been restored before. The machines in the record become reconciled.
func (c *Core) adoptPartitionRecord(rec PartitionRecord, now, wall Micros) {
	g := &retainedGroup{key: rec.Key, zone: rec.Zone, recordedAt: now}
	c.partitionRecords = append(c.partitionRecords, g)
	z := c.zoneByName[g.zone]
	if z == nil {
		z = &zone{window: c.cfg.ReportInterval, partitionStart: now}
		c.zoneByName[g.zone] = z
	}
	z.partitionStart, z.partitionUntil = min(z.partitionStart, now-max(wall-rec.BeganAt, 0)), now+c.partitionMergeTime()
	for _, retained := range rec.Machines {
		m := c.machines[retained.Name]
		if m == nil || m.reconciled || slices.ContainsFunc(retained.Tasks, func(t TaskAttempt) bool { return c.liveAttempt(t) == t.Attempt }) {
			// The machine is gone, or another machine has the same attempt of a gang's task that
			// was replaced. Which of the two really has it is not known.
			continue
		}
		m.reconciled, m.retainedIn = true, g
		c.unreconciled--
		g.machines = append(g.machines, m)
		for _, t := range retained.Tasks {
			if c.liveAttempt(t) > t.Attempt {
				continue // a later attempt is started only once the earlier is known to be gone
			}
			p := c.adopt(m, &TaskReport{Job: t.Job, Index: t.Index, Attempt: t.Attempt, State: Fetching}, now)
			// The former leader's start may still arrive until the worker has seen this
			// leader's token.
			p.fromPartitionRecord, p.startUnanswered, p.directStart = true, true, startToken(c.token-1)
			c.addPlacement(p)
		}
	}
}

// liveAttempt returns the attempt of the task's current placement, or 0 if it has none.
func (c *Core) liveAttempt(t TaskAttempt) uint64 {
	if j := c.jobs[t.Job]; j != nil && j.live[t.Index] != nil {
		return j.live[t.Index].attempt
	}
	return 0
}

// dropRecordedPlacement removes a placement that is known from a partition record only. The task is
// on another machine.
func (c *Core) dropRecordedPlacement(p *placement, now Micros) {
	c.deallocate(p, now)
	p.machine.detach(p)
}
