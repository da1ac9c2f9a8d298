package core

import (
	"slices"
	"sort"
)

// What serves in a zone that is cut off goes on only as long as somebody in there
// may answer, and then until the leases end. Before that it moves: room is
// rented elsewhere in time, and a machine is given back as soon as all that it
// serves has room. A task is down for as long as its image takes, and not for as
// long as machines take to come. If the cut ends before, nothing was moved.

// moveMost is how many machines without room for what they serve are looked at in
// one pass.
const maxFailedEvacuations = 8

// moveAhead is for what is not known of a cut's beginning, for how much earlier
// whoever answers was informed, and for the cloud's calls.
const evacuationMargin = 3 * Second

// leasesEnd says when the first leases in a zone that is cut off may run out:
// whoever answers in there was informed when the cut began, at the latest, and
// the last answer came up to a report's gap before it stopped.
func (c *Core) earliestLeaseEnd(z *zone) Micros {
	return z.partitionStart + c.cfg.AnswerGrace + c.cfg.WorkerLease - c.cfg.ReportInterval*5/4 - evacuationMargin
}

// silentInCut reports whether a machine is silent because its zone is cut off: it
// need not be probed to find that out, of hundreds one after the other. One that
// was heard in this term is late for its report first.
func (c *Core) unreachableInPartition(m *machine, now Micros) bool {
	after := c.cfg.Tuning.SuspectAfter
	if m.session > 0 {
		after = max(after, c.reportTimeout())
	}
	return c.partitioned(m.zone, now) && now-c.zoneByName[m.zone].partitionStart >= c.cfg.Tuning.SuspectAfter && now-m.lastReport >= after
}

// serving lists the tasks of services on a machine.
func servicePlacements(m *machine) []*placement {
	var out []*placement
	for _, p := range m.placements {
		if p.job != nil && p.occupies() && !p.stopRequested && p.job.spec.Kind == Service {
			out = append(out, p)
		}
	}
	return out
}

// cutZones lists the zones that are cut off.
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

// movingOut says for how many tasks of services room is wanted soon, and how much
// for each, because the leases end where they are.
func (c *Core) evacuationDemand(now Micros) (need Resources, tasks int) {
	zones := c.partitionedZones(now)
	if len(zones) == 0 {
		return
	}
	count := func(p *placement, zone string) {
		if now+c.provisioningTime(&p.job.spec)*3/2+5*Second >= c.earliestLeaseEnd(c.zoneByName[zone]) {
			need, tasks = need.max(p.need), tasks+1
		}
	}
	unknown := "" // a zone with machines of which nothing is known
	for _, m := range c.sortedMachines {
		switch {
		case m.releasing || m.lost || !slices.Contains(zones, m.zone):
		case !m.reconciled:
			unknown = m.zone
		default:
			for _, p := range servicePlacements(m) {
				count(p, m.zone)
			}
		}
	}
	if unknown != "" {
		for _, p := range c.unaccountedServices() {
			count(p, unknown)
		}
	}
	return need, tasks
}

// moveOut gives back the machines in a zone that is cut off whose leases are to
// end, if what they serve has room elsewhere. Where it is not known what that is,
// all that was opened waits: those go as soon as there is room for every service
// that may be on them, and at the latest then.
func (c *Core) evacuateServices(now Micros) {
	zones := c.partitionedZones(now)
	if c.fleetUnreachable || len(zones) == 0 {
		return
	}
	var known, unknown, going []*machine
	unsettled, soon := 0, false
	for _, m := range c.sortedMachines {
		if m.lost || !slices.Contains(zones, m.zone) || m.reportedWithin(now, c.cfg.Tuning.SuspectAfter) {
			continue
		}
		if m.releasing {
			going = append(going, m)
			continue
		}
		ends := now >= c.earliestLeaseEnd(c.zoneByName[m.zone])
		if !m.reconciled {
			unsettled++
			if !m.spot {
				unknown = append(unknown, m)
			}
			soon = soon || ends
		} else if ends && len(servicePlacements(m)) > 0 {
			known = append(known, m)
		}
	}
	// Before all others are settled it says nothing that a task was not heard of.
	look := soon || len(unknown) > 0 && unsettled == c.unreconciled
	if len(known) == 0 && !look {
		return
	}
	v := newMovePlan(nil)
	for _, o := range c.sortedMachines {
		if !o.vacating && !slices.Contains(zones, o.zone) && c.schedulable(o, now) {
			v.targets = append(v.targets, o)
		}
	}
	for _, m := range going {
		c.planMoves(v, servicePlacements(m), false) // the cloud has not answered yet
	}
	failed := 0
	for _, m := range known {
		if failed == maxFailedEvacuations {
			break
		}
		if ps := servicePlacements(m); c.planMoves(v, ps, false) {
			c.log("moving out of a zone that is cut off", "machine", m.name, "services", len(ps))
			m.unreachable = true
			c.queueRelease(m, now, unreachableReason)
		} else {
			failed++
		}
	}
	if !look || !soon && !c.planMoves(v, c.unaccountedServices(), false) {
		return
	}
	c.log("what may serve in a zone that is cut off begins anew", "machines", len(unknown))
	for _, m := range unknown {
		m.unreachable = true
		c.queueRelease(m, now, unreachableReason)
	}
}

// unsettledInCut counts the machines that a takeover waits for because their zone
// is cut off.
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

// unheard lists the tasks of services that may run unseen.
func (c *Core) unaccountedServices() []*placement {
	var out []*placement
	nowhere := &machine{}
	for _, j := range c.queue {
		if j.unaccounted && j.spec.Kind == Service {
			for range j.pending {
				out = append(out, &placement{job: j, need: j.spec.Request, machine: nowhere})
			}
		}
	}
	return out
}
