package core

import (
	"cmp"
	"slices"
	"sort"
	"strings"
)

// unreachableReason is the reason for the release of an unreachable machine.
const unreachableReason = "silent"

// releaseMachines releases machines that are lost, unreachable, drained, idle, or that did not come
// up in time. shortfall is what the reservations lack; the capacity of released idle machines is
// added.
func (c *Core) releaseMachines(now Micros, shortfall *Resources) {
	c.updateSpare(now)
	var idle []*machine
	for _, m := range c.sortedMachines {
		if m.releasing {
			continue
		}
		switch {
		case m.lost:
			// The partition may end before a replacement could boot.
			if m.typ == nil || !c.partitioned(m.zone, now) || now-m.lostAt >= m.typ.BootTime {
				c.queueRelease(m, now, "lost")
			}
		case m.booting:
			if c.checkBootOverdue(m, now); m.typ != nil && now-m.discoveredAt > bootGiveUpAfter(m.typ) {
				c.queueRelease(m, now, "never came up")
			}
		case (m.unreachable || c.unreachableInPartition(m, now)) && !c.fleetUnreachable && !(c.partitioned(m.zone, now) && c.shouldRetain(m)):
			// Deleting the machine frees its tasks immediately, which is faster than waiting for
			// its lease. It is not deleted while few other machines report, since the machines may
			// be healthy, nor if it runs services in a partitioned zone, which continue to serve.
			m.unreachable = true
			c.queueRelease(m, now, unreachableReason)
		case !m.reconciled:
		case m.typ == nil && m.used == (Resources{}):
			c.queueRelease(m, now, "machine type not in the catalog")
		case c.hasUnrecordedCompletions(m):
			// Until the completions are recorded, only the reports of the machine show them.
		case m.draining, m.vacating:
			if m.used == (Resources{}) {
				c.queueRelease(m, now, "drained")
			}
		case m.used == (Resources{}) && m.idleSince > 0 && now-m.idleSince >= c.cfg.Tuning.IdleTimeout && now-m.rentedAt >= 60*Second:
			idle = append(idle, m)
		}
	}
	// The most expensive machines are released first.
	slices.SortStableFunc(idle, func(a, b *machine) int { return cmp.Compare(b.hourlyPrice(), a.hourlyPrice()) })
	for _, m := range idle {
		if c.neededForSpare(m) || shortfall.Add(m.typ.Capacity).lacksCPUOrGPU() {
			continue
		}
		*shortfall = shortfall.Add(m.typ.Capacity)
		if !m.spot && c.spareTaskResources != (Resources{}) {
			c.spareByZone[m.zone] -= c.spareSlots(m)
		}
		c.queueRelease(m, now, "idle")
	}
}

// hasUnrecordedCompletions reports whether the machine has tasks that are done but not recorded as
// done. A new leader would learn of them only from the reports of the machine.
func (c *Core) hasUnrecordedCompletions(m *machine) bool {
	for _, p := range m.placements {
		if p.reported && p.state == Exited && p.cause == CauseDone {
			return true
		}
	}
	return false
}

// queueRelease queues a machine for release. Tasks whose start has not been sent to it are placed
// elsewhere.
func (c *Core) queueRelease(m *machine, now Micros, reason string) {
	if m.releasing {
		return
	}
	m.releasing, m.releaseReason = true, reason
	c.releaseQueue = append(c.releaseQueue, m)
	for _, p := range slices.Clone(m.placements) {
		if p.unsent() {
			c.removePlacement(p, now)
		}
	}
}

// cancelRelease removes a machine from the release queue. It does nothing if the request has been
// sent to the cloud already.
func (c *Core) cancelRelease(m *machine) {
	if i := slices.Index(c.releaseQueue, m); i >= 0 {
		c.releaseQueue = slices.Delete(c.releaseQueue, i, i+1)
		m.releasing = false
		c.needsPlacement = true
		c.log("release cancelled: the machine reports again", "machine", m.name, "reason", m.releaseReason)
	}
}

// maxMachinesPerRelease is the maximum number of machines per release request.
const maxMachinesPerRelease = 100

// sendReleases requests the release of queued machines. It sends many machines per request, one
// request at a time and with a delay between two: during a mass failure a few machines are queued
// at a time, the cloud allows few requests, and rentals have precedence.
func (c *Core) sendReleases(now Micros) {
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

// HandleReleaseResult handles the result of a Release. If ok is true, the machines and all tasks on
// them are gone; otherwise the machines are queued again.
func (c *Core) HandleReleaseResult(now Micros, names []string, ok bool) {
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

// removeMachine removes a machine that the cloud has deleted.
func (c *Core) removeMachine(m *machine, now Micros) {
	c.clearMachine(m, now)
	c.markReconciled(m)
	c.finishProbe(m) // its result will not find the machine
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
