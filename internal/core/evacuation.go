package core

import (
	"slices"
	"sort"
)

// Services in a partitioned zone keep running as long as a delegate in the zone may answer the
// workers, and after that until their leases expire. Shortly before that they are evacuated:
// machines are rented in other zones in time, and a machine of the partitioned zone is released
// as soon as there is capacity elsewhere for all of its services. A task is then down for the
// time that its image takes to fetch, and not for the time that machines take to come up. If the
// partition ends earlier, nothing is moved.

// maxFailedEvacuations is the number of machines whose services fit nowhere after which a pass
// stops trying others.
const maxFailedEvacuations = 8

// evacuationMargin is subtracted from the earliest lease end. It covers the uncertainty about when
// the partition began, the time since the delegate's last contact with the leader before that,
// and the cloud's API calls.
const evacuationMargin = 3 * Second

// earliestLeaseEnd returns when the first leases in a partitioned zone may expire. A delegate's
// last contact with the leader was when the partition began, at the latest, and a worker's last
// answer came up to one report interval, with jitter, before the delegate had to stop answering.
func (c *Core) earliestLeaseEnd(z *zone) Micros {
	return z.partitionStart + c.cfg.AnswerGrace + c.cfg.WorkerLease - c.cfg.ReportInterval*5/4 - evacuationMargin
}

// unreachableInPartition reports whether a machine counts as unreachable because its zone is
// partitioned. It needs no probe, which would be sent to hundreds of machines one after the
// other. A machine that has reported in this term must also be late with its report.
func (c *Core) unreachableInPartition(m *machine, now Micros) bool {
	after := c.cfg.Tuning.SuspectAfter
	if m.session > 0 {
		after = max(after, c.reportTimeout())
	}
	return c.partitioned(m.zone, now) && now-c.zoneByName[m.zone].partitionStart >= c.cfg.Tuning.SuspectAfter && now-m.lastReport >= after
}

// servicePlacements returns the placements of service tasks that occupy the machine and are not
// to be stopped.
func servicePlacements(m *machine) []*placement {
	var out []*placement
	for _, p := range m.placements {
		if p.job != nil && p.occupies() && !p.stopRequested && p.job.spec.Kind == Service {
			out = append(out, p)
		}
	}
	return out
}

// partitionedZones returns the names of the partitioned zones in order.
func (c *Core) partitionedZones(now Micros) []string {
	var out []string
	for name := range c.zoneByName {
		if c.partitioned(name, now) {
			out = append(out, name)
		}
	}
	sort.Strings(out)
	return out
}

// evacuationDemand returns how many service tasks need capacity outside their partitioned zone
// soon, because their leases may expire within the time that machines take to come up, and the
// largest request for each resource among them.
func (c *Core) evacuationDemand(now Micros) (need Resources, tasks int) {
	zones := c.partitionedZones(now)
	if len(zones) == 0 {
		return
	}
	count := func(p *placement, leaseEnd Micros) {
		if now+c.provisioningTime(&p.job.spec)*3/2+5*Second >= leaseEnd {
			need, tasks = need.max(p.need), tasks+1
		}
	}
	// An unaccounted service may be on any machine that is not reconciled.
	unknownLeaseEnd := MaxMicros
	for _, m := range c.sortedMachines {
		switch {
		case m.releasing || m.lost || !slices.Contains(zones, m.zone):
		case !m.reconciled:
			unknownLeaseEnd = min(unknownLeaseEnd, c.earliestLeaseEnd(c.zoneByName[m.zone]))
		default:
			for _, p := range servicePlacements(m) {
				count(p, c.earliestLeaseEnd(c.zoneByName[m.zone]))
			}
		}
	}
	if unknownLeaseEnd < MaxMicros {
		for _, p := range c.unaccountedServices() {
			count(p, unknownLeaseEnd)
		}
	}
	return need, tasks
}

// evacuateServices releases the machines in partitioned zones whose leases are about to expire, if
// there is capacity elsewhere for their services. Machines that are not reconciled hold up every
// unaccounted task of started jobs. Such machines are released as soon as there is capacity for
// all services that may be on them, and when the leases are about to expire at the latest.
func (c *Core) evacuateServices(now Micros) {
	zones := c.partitionedZones(now)
	if c.fleetUnreachable || len(zones) == 0 {
		return
	}
	var known, unknown, inRelease []*machine
	unreconciledHere, anyExpiring := 0, false
	for _, m := range c.sortedMachines {
		if m.lost || !slices.Contains(zones, m.zone) || m.reportedWithin(now, c.cfg.Tuning.SuspectAfter) {
			continue
		}
		if m.releasing {
			inRelease = append(inRelease, m)
			continue
		}
		expiring := now >= c.earliestLeaseEnd(c.zoneByName[m.zone])
		if !m.reconciled {
			unreconciledHere++
			if !m.spot {
				unknown = append(unknown, m)
			}
			anyExpiring = anyExpiring || expiring
		} else if expiring && len(servicePlacements(m)) > 0 {
			known = append(known, m)
		}
	}
	// Which services may run on these machines is known only once all other machines are
	// reconciled: until then an unaccounted task may be on one of those.
	evacuateUnknown := anyExpiring || len(unknown) > 0 && unreconciledHere == c.unreconciled
	if len(known) == 0 && !evacuateUnknown {
		return
	}
	plan := newMovePlan(nil)
	for _, target := range c.sortedMachines {
		if !slices.Contains(zones, target.zone) && c.acceptsTasks(target, now) {
			plan.targets = append(plan.targets, target)
		}
	}
	for _, m := range inRelease {
		c.planMoves(plan, servicePlacements(m), false) // the release has no answer yet
	}
	failed := 0
	for _, m := range known {
		if failed == maxFailedEvacuations {
			break
		}
		if services := servicePlacements(m); c.planMoves(plan, services, false) {
			c.log("moving out of a zone that is cut off", "machine", m.name, "services", len(services))
			m.unreachable = true
			c.queueRelease(m, now, unreachableReason)
		} else {
			failed++
		}
	}
	if !evacuateUnknown || !anyExpiring && !c.planMoves(plan, c.unaccountedServices(), false) {
		return
	}
	c.log("what may serve in a zone that is cut off begins anew", "machines", len(unknown))
	for _, m := range unknown {
		m.unreachable = true
		c.queueRelease(m, now, unreachableReason)
	}
}

// unreconciledInPartition returns the number of machines that are not reconciled and are in a
// partitioned zone.
func (c *Core) unreconciledInPartition(now Micros) int {
	n := 0
	if c.unreconciled > 0 {
		for _, m := range c.sortedMachines {
			if !m.reconciled && c.partitioned(m.zone, now) {
				n++
			}
		}
	}
	return n
}

// unaccountedServices returns a placement for each service task that may run on a machine that is
// not reconciled. The placements refer to an empty machine.
func (c *Core) unaccountedServices() []*placement {
	var out []*placement
	noMachine := &machine{}
	for _, j := range c.queue {
		if j.unaccounted && j.spec.Kind == Service {
			for range j.pending {
				out = append(out, &placement{job: j, need: j.spec.Resources, machine: noMachine})
			}
		}
	}
	return out
}
