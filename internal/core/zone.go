package core

import "sort"

// A network partition affects all machines of a zone at once. Machines that fail or hang do so
// individually, while others of their zone keep reporting. Machines in a partitioned zone keep
// working, and their leases are renewed as long as a delegate in the zone answers them (see
// delegate.go). So they are not given up like failed machines.

// zone is the state of reports from the machines of one zone.
type zone struct {
	up                     int    // machines that are neither booting nor lost
	reporting              int    // those of them that have reported within the window
	reportedInTerm         bool   // at least one has reported in this term
	window                 Micros // the time in which about reportsPerWindow of them report
	partitionStart         Micros // about when the latest partition began
	lastPartitioned        Micros // when it was last found partitioned; 0: never
	partitionUntil         Micros // if found partitioned again before this, it is the same partition
	partitionRecordRetryAt Micros // no partition record is written before this, after a refused write
}

const (
	// minPartitionMachines is the minimum number of machines that must be up in a zone for a
	// partition to be inferred from missing reports.
	minPartitionMachines = 8
	// reportsPerWindow is the average number of a zone's machines that report within the window
	// by which the zone is judged, and minReportWindow the minimum length of that window.
	reportsPerWindow = 12
	minReportWindow  = Second
	// initialProbeTime is the time that a new leader needs to probe every machine.
	initialProbeTime = 2 * Second
	// partitionRatio is the limit for a partition: a zone counts as partitioned if less than 1 in
	// partitionRatio of its expected reports arrive, while at least half of those expected from
	// other zones do.
	partitionRatio = 8
	// maxStrayReports is how many machines of a partitioned zone may still have reported within
	// the window: their reports were in flight.
	maxStrayReports = 1
	// fewReportsRatio is the limit for the whole fleet: if less than 1 in fewReportsRatio of the
	// expected reports arrive, the fault is more likely on the leader's side.
	fewReportsRatio = 3
	// partitionRecoveryTime is the time that probes may need to reach the machines of a zone
	// after its partition has healed.
	partitionRecoveryTime = 5 * Second
	// delegateTimeout is the maximum age of the last message from a controller of the zone, when
	// the zone stops reporting, for that controller to be assumed to answer the workers.
	delegateTimeout = 15 * Second
)

// detectPartitions counts the reports from each zone and detects partitioned zones: their machines
// stop reporting all at once, while those of other zones report. If hardly any machine reports,
// or if zones with most of the fleet stop reporting, this leader itself is assumed to be cut off.
func (c *Core) detectPartitions(now Micros) {
	c.fleetUnreachable = true
	if now-c.termBeganAt < initialProbeTime {
		return
	}
	for _, z := range c.zoneByName {
		z.window = c.cfg.ReportInterval
		// After a takeover reports arrive in bursts. The pauses between them are no partition, so
		// the window is a whole report interval at first.
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
	var totalReporting, totalExpected Micros
	for _, z := range c.zoneByName {
		totalReporting += Micros(z.reporting)
		totalExpected += z.expectedReports(c.cfg.ReportInterval)
	}
	var silentZones []string
	var missing Micros // reports expected from the silent zones
	for name, z := range c.zoneByName {
		zoneExpected := z.expectedReports(c.cfg.ReportInterval)
		if z.up >= minPartitionMachines && z.reporting <= maxStrayReports && Micros(z.reporting)*partitionRatio < zoneExpected && (totalReporting-Micros(z.reporting))*2 >= totalExpected-zoneExpected && totalExpected > zoneExpected {
			silentZones = append(silentZones, name)
			missing += zoneExpected
		}
	}
	// A leader that is cut off from everything loses its leadership soon. One that still leads
	// after that is not isolated.
	if missing*2 <= totalExpected {
		c.isolatedSince = 0
	} else if c.isolatedSince == 0 {
		c.isolatedSince = now
	}
	c.isolated = c.isolatedSince > 0 && now-c.isolatedSince <= c.cfg.LeaderLease+2*Second
	c.fleetUnreachable = totalReporting*fewReportsRatio < totalExpected || c.isolated
	if !c.fleetUnreachable {
		c.fleetUnreachableSince = 0
	} else if c.fleetUnreachableSince == 0 {
		c.fleetUnreachableSince = now
	}
	if c.isolated {
		return
	}
	sort.Strings(silentZones)
	for _, name := range silentZones {
		z := c.zoneByName[name]
		if now >= z.partitionUntil && !c.hasDelegate(name, now) {
			continue
		}
		if now >= z.partitionUntil {
			z.partitionStart = now - z.window
			if !z.reportedInTerm {
				// No machine has reported since the term began: the former leader was cut off
				// together with the zone.
				z.partitionStart = c.termBeganAt - c.cfg.LeaderLease
			}
			c.log("zone cut off", "zone", name, "machines", z.up, "heard", z.reporting, "in_ms", z.window/Millisecond)
		}
		z.lastPartitioned, z.partitionUntil = now, now+c.partitionMergeTime()
	}
}

// mayResignSoon reports whether workers stopped reaching this leader a short time ago. If they
// reach a peer, the leader resigns soon (see ShouldResign), and machines that it rents until then
// are of no use. If they reach no controller, their machines have to be replaced.
func (c *Core) mayResignSoon(now Micros) bool {
	return c.fleetUnreachableSince > 0 && now-c.fleetUnreachableSince <= resignTimeout(c.cfg.ReportInterval)+Second
}

// partitionMergeTime returns the maximum time between two detections of a zone's partition for them
// to count as one partition.
func (c *Core) partitionMergeTime() Micros { return 2*c.cfg.ReportInterval + 5*Second }

// expectedReports returns how many machines report within the window on average.
func (z *zone) expectedReports(reportInterval Micros) Micros {
	return Micros(z.up) * z.window / max(reportInterval, 1)
}

// hasDelegate reports whether a controller of the zone is assumed to answer its workers. A new
// leader may not have received messages from all controllers yet, and assumes so of each of them
// for delegateTimeout.
func (c *Core) hasDelegate(zone string, now Micros) bool {
	for _, d := range c.delegates[zone] {
		if now-max(d.lastMessage, c.termBeganAt) <= delegateTimeout {
			return true
		}
	}
	return false
}

// partitioned reports whether a zone counts as partitioned. It does for partitionRecoveryTime after
// the last detection, since probes may not have reached all of its machines before that.
// Machines that they don't reach by then have failed, and must not delay a takeover.
func (c *Core) partitioned(name string, now Micros) bool {
	z := c.zoneByName[name]
	return z != nil && z.lastPartitioned > 0 && now-z.lastPartitioned <= partitionRecoveryTime
}

// shouldRetain reports whether a machine of a partitioned zone is retained for the services on it,
// or for those that may be on it. Tasks of arrays and gangs are restarted elsewhere instead: their
// results in the partitioned zone don't arrive before the partition ends.
func (c *Core) shouldRetain(m *machine) bool {
	for _, p := range m.placements {
		if p.job != nil && p.occupies() && p.job.spec.Kind == Service {
			return true
		}
	}
	return !m.reconciled && !m.spot
}
