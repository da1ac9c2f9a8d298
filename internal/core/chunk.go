package core

import (
	"fmt"
	"slices"
)

// chunk is one record of machines that may have been given tasks. Many share
// a record, since the state service takes few changes a second, and machines
// come up by the dozen.
type machineGroup struct {
	key       string
	machines  []*machine
	writeAt   Micros   // to be written then; 0: what is stored is right
	notBefore Micros   // not before this
	writing   bool     //
	staleKeys []string // former keys, to be dropped
}

const (
	// chunkTidy is when machines that are gone leave their record: until then
	// the next leader would wait for them.
	groupCleanupDelay = 2 * Second
	// writeRetry keeps a write that fails at once, as all do in an outage of the
	// state service, from being tried again at once.
	writeRetryDelay = Second / 2
)

// enlist sees to it that the machine is in the state service before it is
// given its first task.
func (c *Core) addToGroup(m *machine, now Micros) {
	if m.record != nil {
		return
	}
	i := slices.IndexFunc(c.machineGroups, func(g *machineGroup) bool { return len(g.machines) < c.cfg.MachinesPerRecord })
	if i < 0 {
		i = len(c.machineGroups)
		c.machineGroups = append(c.machineGroups, &machineGroup{key: c.newGroupKey()})
	}
	g := c.machineGroups[i]
	g.machines = append(g.machines, m)
	m.record = g
	g.scheduleWrite(now)
}

func (c *Core) newGroupKey() string {
	c.machineGroupID++
	return fmt.Sprintf("%s%d-%d", MachinePrefix, c.token, c.machineGroupID)
}

func (g *machineGroup) scheduleWrite(at Micros) {
	if g.writeAt == 0 || at < g.writeAt {
		g.writeAt = max(at, 1)
	}
}

// delist takes a machine that is gone off its record.
func (c *Core) removeFromGroup(m *machine, now Micros) {
	if g := m.record; g != nil {
		g.machines = slices.DeleteFunc(g.machines, func(o *machine) bool { return o == m })
		m.record = nil
		g.scheduleWrite(now + groupCleanupDelay)
	}
}

// flushChunks writes the records of machines that are due.
func (c *Core) flushGroups(now Micros) {
	for i := len(c.machineGroups) - 1; i >= 0; i-- {
		g := c.machineGroups[i]
		if g.writeAt == 0 || now < g.writeAt || now < g.notBefore || g.writing {
			continue
		}
		if len(g.machines) == 0 {
			c.write(Write{Deletes: append(g.staleKeys, g.key)}, nil)
			c.machineGroups = slices.Delete(c.machineGroups, i, i+1)
			continue
		}
		c.writeGroup(g)
	}
}

func (c *Core) writeGroup(g *machineGroup) {
	rec := MachineGroupRecord{}
	urgent := false
	for _, m := range g.machines {
		rec.Machines = append(rec.Machines, MachineRecord{m.name, m.address, m.typeName, m.zone, m.spot})
		urgent = urgent || !m.recorded
	}
	written, oldKeys := slices.Clone(g.machines), g.staleKeys
	g.writing, g.writeAt, g.staleKeys = true, 0, nil
	c.write(Write{Puts: []Put{{g.key, rec}}, Deletes: oldKeys, Urgent: urgent, Priority: Production}, func(now Micros, o WriteOutcome) {
		g.writing = false
		g.notBefore = now + c.cfg.RecordInterval
		if o == Stored {
			for _, m := range written {
				if m.record != g || m.recorded {
					continue
				}
				m.recorded = true
				c.queueCommands(m)
				c.removeFromRental(m.name)
			}
			return
		}
		g.notBefore = now + writeRetryDelay
		g.staleKeys = oldKeys
		if o == WriteUnknown {
			// It may be executed after the next one, and would take from the record
			// what that one added: the next one has a key of its own.
			g.staleKeys = append(g.staleKeys, g.key)
			g.key = c.newGroupKey()
		}
		g.scheduleWrite(now)
	})
}
