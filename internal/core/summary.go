package core

import "math"

// spending is what the fleet costs an hour, by what it is spent on.
type fleetCost struct {
	booting, idle             float64 // machines that are not up yet, or without tasks
	running, waiting, service float64 // the parts of machines that tasks of batches run on, or wait on, and services' parts
	unused                    float64 // the parts of those machines that nothing uses
}

// add counts a machine.
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

// summary tells an operator how full the fleet is, and what it is paid for.
func (c *Core) logSummary(now Micros) {
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
	c.actions = append(c.actions, LogEntry{Message: "fleet", Debug: true, Args: []any{
		"up", up, "booting", booting, "idle", idle, "ordinary_cpus", cpus[0] / 1000, "used", used[0] / 1000,
		"spot_cpus", cpus[1] / 1000, "spot_used", used[1] / 1000, "jobs", len(c.queue), "tasks_waiting", waiting,
		"spare", c.spareByZone, "spare_want", c.spareTarget, "looked_at", c.machinesExamined,
		"cost_boot", roundToCents(cost.booting), "cost_idle", roundToCents(cost.idle), "cost_run", roundToCents(cost.running),
		"cost_wait", roundToCents(cost.waiting), "cost_service", roundToCents(cost.service), "cost_left", roundToCents(cost.unused),
	}})
}

// cents is an amount of money for the log.
func roundToCents(x float64) float64 { return math.Round(x*100) / 100 }
