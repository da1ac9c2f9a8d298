package core

import (
	"fmt"
	"slices"

	"aspenstall/internal/txn"
)

// machineGroup is a group of machines that may have been sent tasks and that share one record in
// the state service. Machines share records because the state service accepts few writes per second
// and dozens of machines may come up at the same time.
type machineGroup struct {
	key       string
	machines  []*machine
	writeAt   Micros   // when the record is due to be written; 0: the stored record is current
	notBefore Micros   // no write before this time
	writing   bool     // a write is in flight
	staleKeys []string // former keys of the record, to be deleted
	// movedOut are machines that the stored record still has and that were moved to other groups.
	// The record is not written before those groups' records have them.
	movedOut []*machine
}

const (
	// groupCleanupDelay is the delay until deleted machines are removed from their record. Until
	// then, a new leader would wait for them.
	groupCleanupDelay = 2 * Second
	// writeRetryDelay is the delay before a failed write is retried. In an outage of the state
	// service, writes fail immediately and must not be retried immediately.
	writeRetryDelay = Second / 2
)

// addToGroup adds a machine to a group, so that it is recorded in the state service before it is
// sent its first task.
func (c *Core) addToGroup(m *machine, now Micros) {
	if m.group != nil {
		return
	}
	i := slices.IndexFunc(c.machineGroups, func(g *machineGroup) bool { return len(g.machines) < c.cfg.MachinesPerRecord })
	if i < 0 {
		i = len(c.machineGroups)
		c.machineGroups = append(c.machineGroups, &machineGroup{key: c.newGroupKey()})
	}
	g := c.machineGroups[i]
	g.machines = append(g.machines, m)
	m.group = g
	g.scheduleWrite(now)
}

// newGroupKey returns an unused key for the record of a group.
func (c *Core) newGroupKey() string {
	c.machineGroupID++
	return fmt.Sprintf("%s%d-%d", MachinePrefix, c.token, c.machineGroupID)
}

// scheduleWrite schedules a write of the record for the time at, if none is scheduled earlier.
func (g *machineGroup) scheduleWrite(at Micros) {
	if g.writeAt == 0 || at < g.writeAt {
		g.writeAt = max(at, 1)
	}
}

// removeFromGroup removes a deleted machine from its group.
func (c *Core) removeFromGroup(m *machine, now Micros) {
	if g := m.group; g != nil {
		g.machines = slices.DeleteFunc(g.machines, func(o *machine) bool { return o == m })
		m.group = nil
		g.scheduleWrite(now + groupCleanupDelay)
	}
}

// flushGroups writes the records of groups that are due and deletes those of empty groups.
func (c *Core) flushGroups(now Micros) {
	for i := len(c.machineGroups) - 1; i >= 0; i-- {
		g := c.machineGroups[i]
		if g.writeAt == 0 || now < g.writeAt || now < g.notBefore || g.writing {
			continue
		}
		c.splitGroup(g, now)
		if !g.mayWrite() {
			continue
		}
		if len(g.machines) == 0 {
			c.write(Write{Kind: txn.MachineGroupDropped, Deletes: append(g.staleKeys, g.key)}, nil)
			c.machineGroups = slices.Delete(c.machineGroups, i, i+1)
			continue
		}
		c.writeGroup(g)
	}
}

// splitGroup moves the machines that do not fit into a group's record to other groups. Such a record
// was written under higher limits of the state service.
func (c *Core) splitGroup(g *machineGroup, now Micros) {
	fitting := min(len(g.machines), c.cfg.MachinesPerRecord)
	excess := slices.Clone(g.machines[fitting:])
	g.machines = g.machines[:fitting]
	for _, m := range excess {
		m.group = nil
		c.addToGroup(m, now)
	}
	g.movedOut = append(g.movedOut, excess...)
}

// mayWrite reports whether no machine would be without a record after the group's record is
// written.
func (g *machineGroup) mayWrite() bool {
	g.movedOut = slices.DeleteFunc(g.movedOut, func(m *machine) bool { return m.group == nil || m.storedIn == m.group })
	return len(g.movedOut) == 0
}

// writeGroup writes the record of a group.
func (c *Core) writeGroup(g *machineGroup) {
	rec := MachineGroupRecord{}
	urgent := false
	for _, m := range g.machines {
		rec.Machines = append(rec.Machines, MachineRecord{m.name, m.address, m.typeName, m.zone, m.spot})
		urgent = urgent || !m.recorded()
	}
	written, oldKeys := slices.Clone(g.machines), g.staleKeys
	g.writing, g.writeAt, g.staleKeys = true, 0, nil
	c.write(Write{Kind: txn.MachineGroup, Puts: []Put{{g.key, rec}}, Deletes: oldKeys, Urgent: urgent, Priority: Production}, func(now Micros, o WriteOutcome) {
		g.writing = false
		g.notBefore = now + c.cfg.RecordInterval
		if o == Stored {
			for _, m := range written {
				if m.group != g {
					continue
				}
				recordedBefore := m.recorded()
				m.storedIn = g
				if recordedBefore {
					continue
				}
				c.queueCommands(m)
				c.removeFromRental(m.name)
			}
			return
		}
		g.notBefore = now + writeRetryDelay
		g.staleKeys = oldKeys
		if o == WriteUnknown {
			// This write may be executed after the next one and overwrite what that one adds, so
			// the next one uses another key.
			g.staleKeys = append(g.staleKeys, g.key)
			g.key = c.newGroupKey()
		}
		g.scheduleWrite(now)
	})
}
