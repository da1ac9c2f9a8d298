package core

import "sort"

// updateFleet compares the machines with the demand and rents, releases and empties machines
// accordingly.
func (c *Core) updateFleet(now Micros) {
	if len(c.machineTypes) == 0 {
		return
	}
	c.detectPartitions(now)
	c.updateReservations(now)
	c.updatePartitionRecords(now)
	c.evacuateServices(now)
	incoming := c.incomingMachines(now)
	shortfall := c.reservationShortfall(now, nil)
	c.reservationSurplus = Resources{}.Sub(shortfall)
	for _, m := range incoming {
		shortfall = shortfall.Sub(m.free)
	}
	c.releaseMachines(now, &shortfall)
	// A class that starts at once keeps machines from being emptied. Those that are being emptied are
	// given back all the same: they would be of no use to anybody for as long as the class has jobs.
	switch waiting := c.giveBackVacating(now); {
	case waiting:
		c.nextVacateAt = now
	case !c.hasReservations(now):
		c.consolidate(now)
	}
	c.retryRentals(now)
	// After a takeover, most machines report within a report interval. Before that, their free
	// capacity is unknown, and machines would be rented for all waiting tasks. Nothing is rented
	// by an isolated leader, whose requests may be executed minutes later, or by a leader that
	// workers do not reach, which could not use the machines.
	if !c.isolated && !c.mayResignSoon(now) && (c.unreconciled == c.unreconciledInPartition(now) || now-c.termBeganAt > 2*c.cfg.ReportInterval) {
		c.rentForDemand(now, incoming)
	}
	if now >= c.nextSummaryAt {
		c.nextSummaryAt = now + 10*Second
		c.logFleetSummary(now)
	}
}

// fastestType returns the machine type with the shortest boot time on which a task of the job fits,
// or nil if there is none.
func (c *Core) fastestType(s *JobSpec) *MachineType {
	var best *MachineType
	for _, t := range c.machineTypeList {
		if s.typeAllowed(t.Name) && s.Resources.Fits(t.Capacity) && (best == nil || t.BootTime < best.BootTime) {
			best = t
		}
	}
	return best
}

// provisioningTime returns about how long it takes until a newly rented machine on which a task of
// the job fits is up: the boot time of the fastest type, or 0 if no type fits.
func (c *Core) provisioningTime(s *JobSpec) Micros {
	if t := c.fastestType(s); t != nil {
		return t.BootTime
	}
	return 0
}

// listSlack allows for the time that the cloud's list takes to arrive, in addition to its lag.
const listSlack = 5 * Second

// HandleMachineList applies a complete list of the cloud's machines. The list lags behind, so a new
// machine may be missing from it.
func (c *Core) HandleMachineList(now Micros, list []ListedMachine) {
	if !c.leading {
		return
	}
	listed := make(map[string]bool, len(list))
	for _, l := range list {
		listed[l.Name] = true
		if c.deletedMachines[l.Name] {
			continue
		}
		m := c.machines[l.Name]
		if m == nil {
			m = &machine{
				name: l.Name, address: l.Address, typeName: l.Type, zone: l.Zone, spot: l.Spot,
				booting: true, reconciled: true, unverified: true, discoveredAt: now - min(l.Age, now),
			}
			c.addMachine(m)
			c.log("machine found in the cloud's list", "machine", m.name, "type", m.typeName, "zone", m.zone)
		}
		if m.address == "" {
			m.address = l.Address
		}
		m.rentedAt = now - l.Age
		if l.Failed && !m.releasing {
			c.log("machine failed", "machine", m.name)
			m.lost = true
			c.clearMachine(m, now)
			c.markReconciled(m)
			c.queueRelease(m, now, "failed")
		}
	}
	// A machine stays listed until it is gone. One that is not listed in time is gone or will
	// never come up. A former leader may have failed after a release was executed but before it
	// was recorded. If that release covered most machines, most of the recorded ones do not
	// report, which alone would look like a network fault on the leader's side. Releasing such a
	// machine again confirms that it is gone.
	for _, m := range c.sortedMachines {
		if !m.releasing && !listed[m.name] && now-m.discoveredAt > 2*c.cfg.ListLag+listSlack && !m.reportedWithin(now, c.reportTimeout()) {
			c.log("not listed any more", "machine", m.name, "booting", m.booting)
			c.queueRelease(m, now, "not listed")
		}
	}
}

// SetCatalog sets the cloud's current machine types.
func (c *Core) SetCatalog(types []MachineType) {
	c.machineTypes = map[string]*MachineType{}
	c.machineTypeList = nil
	for i := range types {
		c.machineTypes[types[i].Name] = &types[i]
		c.machineTypeList = append(c.machineTypeList, &types[i])
	}
	for _, m := range c.sortedMachines {
		m.typ = c.machineTypes[m.typeName]
	}
	c.needsPlacement = true
}

// addMachine adds a machine to the fleet.
func (c *Core) addMachine(m *machine) {
	m.typ = c.machineTypes[m.typeName]
	c.machines[m.name] = m
	i := sort.Search(len(c.sortedMachines), func(i int) bool { return c.sortedMachines[i].name >= m.name })
	c.sortedMachines = append(c.sortedMachines, nil)
	copy(c.sortedMachines[i+1:], c.sortedMachines[i:])
	c.sortedMachines[i] = m
}
