package core

import "sort"

// A cut falls on a whole zone at one moment; machines that die or hang do so by
// themselves, and others of their zone go on reporting. What is cut off goes on
// working, and its leases go on as long as a controller in there answers
// (deputy.go), so it is not given up like what is dead.

// zone is what is heard of the machines of one zone.
type zone struct {
	up              int    // machines that came up
	reporting       int    // those of them that were heard within the moment
	reportedInTerm  bool   // one was heard in this term
	window          Micros // in which cutHeard of them are to be heard, as a rule
	partitionStart  Micros // about when the last cut did
	lastPartitioned Micros // when it was last found cut off
	partitionUntil  Micros // found so again before this, the same cut goes on
	recordFrom      Micros // not recorded before this
}

const (
	// cutLeast is how many machines must have come up in a zone for their
	// silence to say anything about the zone.
	minPartitionMachines = 8
	// cutHeard is how many of a zone's machines, as a rule, report in the moment
	// by which it is judged, and cutMoment how long that is at the least.
	reportsPerWindow = 12
	minReportWindow  = Second
	// firstLook is how long a new leader needs to have asked every machine.
	initialProbeTime = 2 * Second
	// cutShare: a zone is cut off when less than one in so many is heard of
	// those that are to be, and others are heard as a rule.
	partitionRatio = 8
	// cutStray is how many of a zone that is cut off may be heard all the same:
	// what was under way.
	maxStrayReports = 1
	// deafShare: when less than one in so many is heard of all that are to be, the
	// fault is more likely on this side.
	fewReportsRatio = 3
	// mendTime is how long probes may need to find the machines of a zone that
	// was cut off.
	partitionRecoveryTime = 5 * Second
	// deputySpoke is how lately a controller of the zone must have spoken when
	// the zone fell silent, for it to be taken as answering the workers.
	delegateTimeout = 15 * Second
)

// judgeZones counts what is heard of each zone and finds those that are cut off:
// nothing is heard of them from one moment on, while others are heard. If hardly
// anything is heard of any, or of most, it is this leader that is.
func (c *Core) detectPartitions(now Micros) {
	c.fleetUnreachable = true
	if now-c.termBeganAt < initialProbeTime {
		return
	}
	for _, z := range c.zoneByName {
		z.window = c.cfg.ReportInterval
		// After a takeover reports come bunched, with pauses that are no cut.
		if z.up > 0 && (!z.reportedInTerm || now-c.termBeganAt > 2*c.cfg.ReportInterval) {
			z.window = min(max(z.window*reportsPerWindow/Micros(z.up), minReportWindow), z.window)
		}
		z.up, z.reporting = 0, 0
	}
	for _, m := range c.sortedMachines {
		if m.booting || m.lost {
			continue
		}
		z := c.zoneByName[m.zone]
		if z == nil {
			z = &zone{window: c.cfg.ReportInterval}
			c.zoneByName[m.zone] = z
		}
		z.up++
		z.reportedInTerm = z.reportedInTerm || m.session > 0
		if m.reportedWithin(now, z.window) {
			z.reporting++
		}
	}
	var heard, due Micros
	for _, z := range c.zoneByName {
		heard += Micros(z.reporting)
		due += z.expectedReports(c.cfg.ReportInterval)
	}
	var silent []string
	var lacks Micros // that are due in silent zones
	for name, z := range c.zoneByName {
		mine := z.expectedReports(c.cfg.ReportInterval)
		if z.up >= minPartitionMachines && z.reporting <= maxStrayReports && Micros(z.reporting)*partitionRatio < mine && (heard-Micros(z.reporting))*2 >= due-mine && due > mine {
			silent = append(silent, name)
			lacks += mine
		}
	}
	// Who is cut off from everything does not lead for much longer.
	if lacks*2 <= due {
		c.isolatedSince = 0
	} else if c.isolatedSince == 0 {
		c.isolatedSince = now
	}
	c.isolated = c.isolatedSince > 0 && now-c.isolatedSince <= c.cfg.LeaderLease+2*Second
	c.fleetUnreachable = heard*fewReportsRatio < due || c.isolated
	if !c.fleetUnreachable {
		c.fleetUnreachableSince = 0
	} else if c.fleetUnreachableSince == 0 {
		c.fleetUnreachableSince = now
	}
	if c.isolated {
		return
	}
	sort.Strings(silent)
	for _, name := range silent {
		z := c.zoneByName[name]
		if now >= z.partitionUntil && !c.hasDelegate(name, now) {
			continue
		}
		if now >= z.partitionUntil {
			z.partitionStart = now - z.window
			if !z.reportedInTerm {
				z.partitionStart = c.termBeganAt - c.cfg.LeaderLease // the former leader was cut off with it
			}
			c.log("zone cut off", "zone", name, "machines", z.up, "heard", z.reporting, "in_ms", z.window/Millisecond)
		}
		z.lastPartitioned, z.partitionUntil = now, now+c.partitionMergeTime()
	}
}

// lonely reports whether workers lately stopped reaching this leader. If they reach a
// peer it resigns soon (ShouldResign): what it has rented until then is for nothing.
// If they reach nobody, their machines are to be replaced.
func (c *Core) mayResignSoon(now Micros) bool {
	return c.fleetUnreachableSince > 0 && now-c.fleetUnreachableSince <= resignTimeout(c.cfg.ReportInterval)+Second
}

// cutLasts is how long a cut is taken as the same one without being found again.
func (c *Core) partitionMergeTime() Micros { return 2*c.cfg.ReportInterval + 5*Second }

// due says how many machines are to be heard within the moment, as a rule.
func (z *zone) expectedReports(gap Micros) Micros { return Micros(z.up) * z.window / max(gap, 1) }

// hasDeputy reports whether a controller of the zone is there to answer its
// workers, as far as is known: a new leader has not heard of all of them yet.
func (c *Core) hasDelegate(zone string, now Micros) bool {
	for _, d := range c.delegates[zone] {
		if now-max(d.lastMessage, c.termBeganAt) <= delegateTimeout {
			return true
		}
	}
	return false
}

// cutOff reports whether a zone is taken as cut off, or as mended so lately that
// probes may not have found yet what is there. What they do not find then is
// dead, and must not hold up a takeover.
func (c *Core) partitioned(name string, now Micros) bool {
	z := c.zoneByName[name]
	return z != nil && z.lastPartitioned > 0 && now-z.lastPartitioned <= partitionRecoveryTime
}

// keepsServices reports whether a machine of a zone that is cut off is kept for
// the services on it. Arrays and gangs rather run again elsewhere: what becomes
// of them in there is not heard before the cut ends.
func (c *Core) shouldRetain(m *machine) bool {
	for _, p := range m.placements {
		if p.job != nil && p.occupies() && p.job.spec.Kind == Service {
			return true
		}
	}
	return !m.reconciled && !m.spot
}
