package core

import "sort"

// fleet compares the machines there are with those that are wanted.
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
	c.lendable = Resources{}.Sub(shortfall)
	for _, m := range incoming {
		shortfall = shortfall.Sub(m.free)
	}
	c.releaseMachines(now, &shortfall)
	if !c.hasReservations(now) {
		c.consolidate(now)
	}
	c.retryRentals(now)
	// After a takeover most machines are heard of within a report's time; before,
	// what is free on them is not known, and all that waits would be rented for.
	// What a leader that is cut off asks for may be rented minutes later, and one
	// that workers do not reach could not use it.
	if !c.isolated && !c.mayResignSoon(now) && (c.unreconciled == c.unreconciledInPartition(now) || now-c.termBeganAt > 2*c.cfg.ReportInterval) {
		c.rentForDemand(now, incoming)
	}
	if now >= c.nextSummaryAt {
		c.nextSummaryAt = now + 10*Second
		c.logSummary(now)
	}
}

// soonest is the type of machine on which a task of the job fits that takes the
// shortest time to come; nil if there is none.
func (c *Core) fastestType(s *JobSpec) *MachineType {
	var best *MachineType
	for _, t := range c.machineTypeList {
		if s.typeAllowed(t.Name) && s.Request.Fits(t.Capacity) && (best == nil || t.BootTime < best.BootTime) {
			best = t
		}
	}
	return best
}

// lead is about how long a machine takes to come on which a task of the job fits,
// 0 if there is none.
func (c *Core) provisioningTime(s *JobSpec) Micros {
	if t := c.fastestType(s); t != nil {
		return t.BootTime
	}
	return 0
}

// listSlack is for what a list takes to come, on top of how late it may be.
const listSlack = 5 * Second

// Listed takes a whole list of the cloud's machines; it is late, so a new machine
// missing from it says nothing.
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
	// A machine stays listed until it is gone, so one that is not listed in time is
	// gone, or never comes: a former leader may have ended with a return that was
	// executed, and then most of what it recorded is silent, which alone would pass
	// for a fault on this side. Returning it again proves it.
	for _, m := range c.sortedMachines {
		if !m.releasing && !listed[m.name] && now-m.discoveredAt > 2*c.cfg.ListLag+listSlack && !m.reportedWithin(now, c.reportTimeout()) {
			c.log("not listed any more", "machine", m.name, "booting", m.booting)
			c.queueRelease(m, now, "not listed")
		}
	}
}

// Catalog takes the cloud's current machine types.
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

func (c *Core) addMachine(m *machine) {
	m.typ = c.machineTypes[m.typeName]
	c.machines[m.name] = m
	i := sort.Search(len(c.sortedMachines), func(i int) bool { return c.sortedMachines[i].name >= m.name })
	c.sortedMachines = append(c.sortedMachines, nil)
	copy(c.sortedMachines[i+1:], c.sortedMachines[i:])
	c.sortedMachines[i] = m
}
