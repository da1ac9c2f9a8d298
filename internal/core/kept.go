package core

import (
	"fmt"
	"slices"
)

// What runs on the machines that are kept in a zone that is cut off is recorded
// when the cut is found. A leader that begins meanwhile cannot ask them: without
// that it has to wait, with every task of an opened job that nobody reports, until
// their leases are certainly over.
//
// While a record stands, nothing is placed on its machines, so all that can be on
// them is in it: tasks that were there, and starts that may still arrive. What is
// in it may be gone, and may have been started again elsewhere since: what a
// machine reports goes before what a record says of another one. A record ends by
// an empty one in its place, under which a late execution of its own write, which
// is on the condition that there is none, does nothing.

// kept is such a record.
type retainedGroup struct {
	key        string
	zone       string
	machines   []*machine // that are still there
	recordedAt Micros     // what it says is as of then
	writing    bool
	writeFrom  Micros // not written before this
}

const (
	// What a task and a machine take in a record, as JSON, besides their names: an
	// index, an attempt, brackets and commas.
	recordTaskBytes    = 36
	recordMachineBytes = 12
)

// recordKept sees to the records: of cuts that were found, and of those that
// ended.
func (c *Core) updatePartitionRecords(now Micros) {
	for _, g := range slices.Clone(c.partitionRecords) {
		over := len(g.machines) == 0 && now >= c.zoneByName[g.zone].partitionUntil ||
			// Heard now: under a former leader's token it may be a copy of an old report.
			slices.ContainsFunc(g.machines, func(m *machine) bool { return m.lastReport > g.recordedAt && m.reportedToken >= c.termToken })
		if over && !g.writing && now >= g.writeFrom {
			c.clearPartitionRecord(g)
		}
	}
	for _, name := range c.partitionedZones(now) {
		if now < c.zoneByName[name].recordFrom {
			continue
		}
		var list []*machine
		for _, m := range c.sortedMachines {
			if m.zone == name && m.retainedIn == nil && m.reconciled && !m.booting && !m.lost && !m.releasing &&
				!m.reportedWithin(now, c.zoneByName[name].window) && c.shouldRetain(m) {
				list = append(list, m)
			}
		}
		for len(list) > 0 {
			n := c.fitPartitionRecord(list)
			c.writePartitionRecord(name, list[:n:n], now)
			list = list[n:]
		}
		if !slices.ContainsFunc(c.partitionRecords, func(g *retainedGroup) bool { return g.zone == name }) {
			c.writePartitionRecord(name, nil, now) // since when it is cut off is worth knowing
		}
	}
}

// fitRecord says how many machines, the first at least, fit into one record.
func (c *Core) fitPartitionRecord(ms []*machine) int {
	size := 0
	for n, m := range ms {
		size += recordMachineBytes + len(m.name)
		for _, p := range m.placements {
			size += recordTaskBytes + len(p.jobID)
		}
		if n > 0 && size > c.cfg.MaxRecordBytes {
			return n
		}
	}
	return len(ms)
}

// writeKept records that a zone is cut off, and what is on machines in it.
func (c *Core) writePartitionRecord(zone string, ms []*machine, now Micros) {
	c.partitionRecordID++
	g := &retainedGroup{key: fmt.Sprintf("%s%d-%d", PartitionPrefix, c.token, c.partitionRecordID), zone: zone, machines: slices.Clone(ms), recordedAt: now, writing: true}
	c.partitionRecords = append(c.partitionRecords, g)
	rec := PartitionRecord{Zone: zone, Elapsed: now - c.zoneByName[zone].partitionStart}
	for _, m := range ms {
		m.retainedIn = g
		km := RetainedMachine{Name: m.name}
		for _, p := range m.placements {
			if p.occupies() {
				km.Tasks = append(km.Tasks, RetainedTask{p.jobID, p.index, p.attempt})
			}
		}
		rec.Machines = append(rec.Machines, km)
	}
	c.write(Write{Puts: []Put{{g.key, rec}}, IfAbsent: g.key, Urgent: true, Priority: Production}, func(now Micros, o WriteOutcome) {
		g.writing = false
		if o == WriteRefused {
			c.zoneByName[zone].recordFrom = now + writeRetryDelay
			c.dropRetainedGroup(g)
		} // what got no answer may stand, or may come to
	})
}

// dropKept forgets a record that is not in the state service, or is over there.
func (c *Core) dropRetainedGroup(g *retainedGroup) {
	for _, m := range g.machines {
		m.retainedIn = nil
	}
	c.needsPlacement = true
	c.partitionRecords = slices.DeleteFunc(c.partitionRecords, func(o *retainedGroup) bool { return o == g })
}

// endKept ends a record; its machines can be given tasks once that is stored.
func (c *Core) clearPartitionRecord(g *retainedGroup) {
	g.writing = true
	c.write(Write{Puts: []Put{{g.key, PartitionRecord{}}}, Urgent: true, Priority: Production}, func(now Micros, o WriteOutcome) {
		g.writing, g.writeFrom = false, now+writeRetryDelay
		if o == Stored {
			c.dropRetainedGroup(g)
		}
	})
}

// unkeep takes a machine that is gone off its record.
func (c *Core) removeFromRetainedGroup(m *machine) {
	if g := m.retainedIn; g != nil {
		g.machines = slices.DeleteFunc(g.machines, func(o *machine) bool { return o == m })
		m.retainedIn = nil
	}
}

// takeKept takes over a record that a former leader left, after the machines and
// the jobs.
func (c *Core) adoptPartitionRecord(rec PartitionRecord, now, wall Micros) {
	g := &retainedGroup{key: rec.Key, zone: rec.Zone, recordedAt: now}
	c.partitionRecords = append(c.partitionRecords, g)
	z := c.zoneByName[g.zone]
	if z == nil {
		z = &zone{window: c.cfg.ReportInterval, partitionStart: now}
		c.zoneByName[g.zone] = z
	}
	z.partitionStart, z.partitionUntil = min(z.partitionStart, now-max(wall-rec.BeganAt, 0)), now+c.partitionMergeTime()
	for _, km := range rec.Machines {
		m := c.machines[km.Name]
		if m == nil || m.reconciled || slices.ContainsFunc(km.Tasks, func(t RetainedTask) bool { return c.liveAttempt(t) == t.Attempt }) {
			continue // gone, or a gang's task that was replaced: which of the two is there is not known
		}
		m.reconciled, m.retainedIn = true, g
		c.unreconciled--
		g.machines = append(g.machines, m)
		for _, t := range km.Tasks {
			if c.liveAttempt(t) > t.Attempt {
				continue // a later start: this one was known to be gone
			}
			p := c.adopt(m, &TaskReport{Job: t.Job, Index: t.Index, Attempt: t.Attempt, State: Fetching}, now)
			// Its start may still arrive, until the machine has seen this token.
			p.fromPartitionRecord, p.startUnanswered, p.startUnansweredToken = true, true, c.token-1
			c.addPlacement(p)
		}
	}
}

// liveAttempt is the attempt of a task that is known to be on a machine, or 0.
func (c *Core) liveAttempt(t RetainedTask) uint64 {
	if j := c.jobs[t.Job]; j != nil && j.live[t.Index] != nil {
		return j.live[t.Index].attempt
	}
	return 0
}

// unlist drops a task that only a record told of: it is somewhere else.
func (c *Core) dropRecordedPlacement(p *placement, now Micros) {
	c.deallocate(p, now)
	p.machine.placements = slices.DeleteFunc(p.machine.placements, func(o *placement) bool { return o == p })
}
