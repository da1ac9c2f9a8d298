package core

import (
	"cmp"
	"slices"
	"sort"
	"strings"
)

const unreachableReason = "silent"

// returns gives back machines that are lost, drained, overdue or idle.
func (c *Core) releaseMachines(now Micros, shortfall *Resources) {
	c.updateSpare(now)
	var idle []*machine
	for _, m := range c.sortedMachines {
		if m.releasing {
			continue
		}
		switch {
		case m.lost:
			// The cut may end before another machine could be there.
			if m.typ == nil || !c.partitioned(m.zone, now) || now-m.lostAt >= m.typ.BootTime {
				c.queueRelease(m, now, "lost")
			}
		case m.booting:
			if c.checkBootOverdue(m, now); m.typ != nil && now-m.discoveredAt > bootGiveUpAfter(m.typ) {
				c.queueRelease(m, now, "never came up")
			}
		case (m.unreachable || c.unreachableInPartition(m, now)) && !c.fleetUnreachable && !(c.partitioned(m.zone, now) && c.shouldRetain(m)):
			// Deleting it frees its tasks at once; waiting for its lease would
			// take longer. But when few others are heard, good machines would be
			// deleted; and what serves in a zone that is cut off goes on serving.
			m.unreachable = true
			c.queueRelease(m, now, unreachableReason)
		case !m.reconciled:
		case m.typ == nil && m.used == (Resources{}):
			c.queueRelease(m, now, "of a type that is not in the catalog")
		case c.hasUnrecordedCompletions(m):
			// Until they are recorded, its reports are where finished tasks are known.
		case m.draining, m.vacating:
			if m.used == (Resources{}) {
				c.queueRelease(m, now, "drained")
			}
		case m.used == (Resources{}) && m.idleSince > 0 && now-m.idleSince >= c.cfg.Tuning.IdleTimeout && now-m.rentedAt >= 60*Second:
			idle = append(idle, m)
		}
	}
	// The dearest go first.
	slices.SortStableFunc(idle, func(a, b *machine) int { return cmp.Compare(b.hourlyPrice(), a.hourlyPrice()) })
	for _, m := range idle {
		if c.neededForSpare(m) || shortfall.Add(m.typ.Capacity).lacksCPUOrGPU() {
			continue
		}
		*shortfall = shortfall.Add(m.typ.Capacity)
		if !m.spot && c.spareTaskRequest != (Resources{}) {
			c.spareByZone[m.zone] -= c.spareSlots(m)
		}
		c.queueRelease(m, now, "idle")
	}
}

// ownsEnds reports whether the machine has tasks that are done and not recorded as done:
// a leader that begins now learns of them from its reports alone.
func (c *Core) hasUnrecordedCompletions(m *machine) bool {
	for _, p := range m.placements {
		if p.reported && p.state == Exited && p.cause == CauseDone && !p.completionRecorded {
			return true
		}
	}
	return false
}

// giveBack has a machine returned. What was not sent to it yet goes elsewhere.
func (c *Core) queueRelease(m *machine, now Micros, reason string) {
	if m.releasing {
		return
	}
	m.releasing, m.releaseReason = true, reason
	c.releaseQueue = append(c.releaseQueue, m)
	for _, p := range slices.Clone(m.placements) {
		if !p.startSent && !p.reported && !p.inDirectCommand {
			c.removePlacement(p, now)
		}
	}
}

// keep takes a machine off the backlog of returns, unless the cloud has been
// asked already.
func (c *Core) cancelRelease(m *machine) {
	if i := slices.Index(c.releaseQueue, m); i >= 0 {
		c.releaseQueue = slices.Delete(c.releaseQueue, i, i+1)
		m.releasing = false
		c.needsPlacement = true
		c.log("kept: it reports again", "machine", m.name, "reason", m.releaseReason)
	}
}

// returnMost is how many machines go back with one request.
const maxMachinesPerRelease = 100

// sendReturns asks the cloud to take machines back, many with one request, one
// request at a time and with a pause between two: in a wave a few machines are
// given up every moment, the cloud's calls are few, and rentals go first.
func (c *Core) sendRelease(now Micros) {
	if c.releaseInFlight || len(c.releaseQueue) == 0 || now < c.nextReleaseAt {
		return
	}
	batch := c.releaseQueue[:min(len(c.releaseQueue), maxMachinesPerRelease)]
	c.releaseQueue = slices.Clone(c.releaseQueue[len(batch):])
	var r Release
	for _, m := range batch {
		r.Machines = append(r.Machines, m.name)
		if !strings.Contains(r.Reason, m.releaseReason) {
			r.Reason = strings.TrimPrefix(r.Reason+", "+m.releaseReason, ", ")
		}
	}
	c.releaseInFlight = true
	c.actions = append(c.actions, r)
}

// Returned is the result of a Return: after ok, the machines and all that was
// on them are gone.
func (c *Core) ReleaseResult(now Micros, names []string, ok bool) {
	if !c.leading {
		return
	}
	c.releaseInFlight = false
	c.nextReleaseAt = now + c.cfg.ReleaseInterval
	for _, name := range names {
		switch m := c.machines[name]; {
		case m == nil:
		case ok:
			c.removeMachine(m, now)
		default:
			c.releaseQueue = append(c.releaseQueue, m)
		}
	}
}

func (c *Core) removeMachine(m *machine, now Micros) {
	c.clearMachine(m, now)
	c.markReconciled(m)
	c.finishProbe(m) // its result finds no machine any more
	c.removeFromRetainedGroup(m)
	delete(c.machines, m.name)
	i := sort.Search(len(c.sortedMachines), func(i int) bool { return c.sortedMachines[i].name >= m.name })
	c.sortedMachines = append(c.sortedMachines[:i:i], c.sortedMachines[i+1:]...)
	c.deletedMachines[m.name] = true
	c.vacating = slices.DeleteFunc(c.vacating, func(o *machine) bool { return o == m })
	c.removeFromGroup(m, now)
	c.removeFromRental(m.name)
	c.needsPlacement = true
}
