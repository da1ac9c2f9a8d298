package core

import "sort"

// fleet compares the machines there are with those that are wanted.
func (c *Core) fleet(now Micros) {
	if len(c.types) == 0 {
		return
	}
	c.judgeZones(now)
	c.lookBack(now)
	c.recordKept(now)
	c.moveOut(now)
	coming := c.coming(now)
	short := c.shortOfHeld(now, nil)
	c.lendable = Res{}.Sub(short)
	for _, r := range coming {
		short = short.Sub(r.free)
	}
	c.returns(now, &short)
	if !c.holding(now) {
		c.consolidate(now)
	}
	c.pursueRents(now)
	// After a takeover most machines are heard of within a report's time; before,
	// what is free on them is not known, and all that waits would be rented for.
	// What a leader that is cut off asks for may be rented minutes later, and one
	// that workers do not reach could not use it.
	if !c.alone && !c.lonely(now) && (c.unsettled == c.unsettledInCut(now) || now-c.begun > 2*c.cfg.ReportGap) {
		c.rentForDemand(now, coming)
	}
	if now >= c.summaryAt {
		c.summaryAt = now + 10*Second
		c.summary(now)
	}
}

// soonest is the type of machine on which a task of the job fits that takes the
// shortest time to come; nil if there is none.
func (c *Core) soonest(s *JobSpec) *MachineType {
	var best *MachineType
	for _, t := range c.typeOrder {
		if s.typeAllowed(t.Name) && s.Need.Fits(t.Cap) && (best == nil || t.Boot < best.Boot) {
			best = t
		}
	}
	return best
}

// lead is about how long a machine takes to come on which a task of the job fits,
// 0 if there is none.
func (c *Core) lead(s *JobSpec) Micros {
	if t := c.soonest(s); t != nil {
		return t.Boot
	}
	return 0
}

// listSlack is for what a list takes to come, on top of how late it may be.
const listSlack = 5 * Second

// Listed takes a whole list of the cloud's machines; it is late, so a new machine
// missing from it says nothing.
func (c *Core) Listed(now Micros, list []Listed) {
	if !c.leading {
		return
	}
	listed := make(map[string]bool, len(list))
	for _, l := range list {
		listed[l.Name] = true
		if c.gone[l.Name] {
			continue
		}
		m := c.machines[l.Name]
		if m == nil {
			m = &machine{
				name: l.Name, address: l.Address, typeName: l.Type, zone: l.Zone, spot: l.Spot,
				booting: true, settled: true, unproven: true, seen: now - min(l.Age, now),
			}
			c.addMachine(m)
			c.note("machine found in the cloud's list", "machine", m.name, "type", m.typeName, "zone", m.zone)
		}
		if m.address == "" {
			m.address = l.Address
		}
		m.rented = now - l.Age
		if l.Failed && !m.returning {
			c.note("machine failed", "machine", m.name)
			m.lost = true
			c.clear(m, now)
			c.settle(m)
			c.giveBack(m, now, "failed")
		}
	}
	// A machine stays listed until it is gone, so one that is not listed in time is
	// gone, or never comes: a former leader may have ended with a return that was
	// executed, and then most of what it recorded is silent, which alone would pass
	// for a fault on this side. Returning it again proves it.
	for _, m := range c.order {
		if !m.returning && !listed[m.name] && now-m.seen > 2*c.cfg.ListLag+listSlack && !m.heardWithin(now, c.silence()) {
			c.note("not listed any more", "machine", m.name, "booting", m.booting)
			c.giveBack(m, now, "not listed")
		}
	}
}

// Catalog takes the cloud's current machine types.
func (c *Core) Catalog(types []MachineType) {
	c.types = map[string]*MachineType{}
	c.typeOrder = nil
	for i := range types {
		c.types[types[i].Name] = &types[i]
		c.typeOrder = append(c.typeOrder, &types[i])
	}
	for _, m := range c.order {
		m.typ = c.types[m.typeName]
	}
	c.dirty = true
}

func (c *Core) addMachine(m *machine) {
	m.typ = c.types[m.typeName]
	c.machines[m.name] = m
	i := sort.Search(len(c.order), func(i int) bool { return c.order[i].name >= m.name })
	c.order = append(c.order, nil)
	copy(c.order[i+1:], c.order[i:])
	c.order[i] = m
}
