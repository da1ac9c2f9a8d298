package core

import "math"

// fleetCost is the cost of the fleet per hour, by usage. The cost of a machine with tasks is split
// by the dominant share of each task.
type fleetCost struct {
	booting, idle             float64 // machines that are not up yet, and machines without tasks
	running, waiting, service float64 // shares of running and of other batch tasks, and of service tasks
	unused                    float64 // unused shares of machines with tasks
}

// add adds the cost of a machine.
func (c *fleetCost) add(m *machine) {
	price := m.hourlyPrice()
	switch {
	case m.booting:
		c.booting += price
		return
	case m.used == (Resources{}):
		c.idle += price
		return
	}
	remaining := 1.0
	for _, p := range m.placements {
		if !p.occupies() {
			continue
		}
		share := min(p.need.dominantShare(m.typ.Capacity), remaining)
		remaining -= share
		switch {
		case p.job != nil && p.job.spec.Kind == Service:
			c.service += price * share
		case p.reported && p.state == Running:
			c.running += price * share
		default:
			c.waiting += price * share
		}
	}
	c.unused += price * remaining
}

// logFleetSummary logs the utilisation and the cost of the fleet.
func (c *Core) logFleetSummary(now Micros) {
	var up, booting, idle int
	var cpus, used [2]int64
	var cost fleetCost
	for _, m := range c.sortedMachines {
		k := 0
		if m.spot {
			k = 1
		}
		if m.typ != nil && !m.lost {
			cost.add(m)
		}
		switch {
		case m.booting:
			booting++
		case m.typ != nil:
			up++
			if m.used == (Resources{}) {
				idle++
			}
			cpus[k] += m.typ.Capacity.CPU
			used[k] += m.used.CPU
		}
	}
	defer func() { c.machinesExamined = 0 }()
	waiting := 0
	for _, j := range c.queue {
		waiting += j.pending
	}
	c.logDebug("fleet",
		"up", up, "booting", booting, "idle", idle, "ordinary_cpus", cpus[0]/1000, "used", used[0]/1000,
		"spot_cpus", cpus[1]/1000, "spot_used", used[1]/1000, "jobs", len(c.queue), "tasks_waiting", waiting,
		"spare", c.spareByZone, "spare_want", c.spareTarget, "looked_at", c.machinesExamined,
		"cost_boot", roundToCents(cost.booting), "cost_idle", roundToCents(cost.idle), "cost_run", roundToCents(cost.running),
		"cost_wait", roundToCents(cost.waiting), "cost_service", roundToCents(cost.service), "cost_left", roundToCents(cost.unused),
	)
	c.logCommandCounts(now)
}

// roundToCents rounds an amount of money for the log.
func roundToCents(x float64) float64 { return math.Round(x*100) / 100 }
