package core

import "math"

// spending is what the fleet costs an hour, by what it is spent on.
type spending struct {
	boot, idle         float64 // machines that are not up yet, or without tasks
	run, wait, service float64 // the parts of machines that tasks of batches run on, or wait on, and services' parts
	left               float64 // the parts of those machines that nothing uses
}

// add counts a machine.
func (s *spending) add(m *machine) {
	price := m.price()
	switch {
	case m.booting:
		s.boot += price
		return
	case m.used == (Res{}):
		s.idle += price
		return
	}
	left := 1.0
	for _, p := range m.tasks {
		if !p.holds() {
			continue
		}
		part := min(p.need.share(m.typ.Cap), left)
		left -= part
		switch {
		case p.j != nil && p.j.spec.Kind == Service:
			s.service += price * part
		case p.shown && p.state == Running:
			s.run += price * part
		default:
			s.wait += price * part
		}
	}
	s.left += price * left
}

// summary tells an operator how full the fleet is, and what it is paid for.
func (c *Core) summary(now Micros) {
	var up, booting, idle int
	var cpus, used [2]int64
	var money spending
	for _, m := range c.order {
		k := 0
		if m.spot {
			k = 1
		}
		if m.typ != nil && !m.lost {
			money.add(m)
		}
		switch {
		case m.booting:
			booting++
		case m.typ != nil:
			up++
			if m.used == (Res{}) {
				idle++
			}
			cpus[k] += m.typ.Cap.CPU
			used[k] += m.used.CPU
		}
	}
	defer func() { c.looked = 0 }()
	waiting := 0
	for _, j := range c.queue {
		waiting += j.pending
	}
	c.out = append(c.out, Note{Text: "fleet", Debug: true, Args: []any{
		"up", up, "booting", booting, "idle", idle, "ordinary_cpus", cpus[0] / 1000, "used", used[0] / 1000,
		"spot_cpus", cpus[1] / 1000, "spot_used", used[1] / 1000, "jobs", len(c.queue), "tasks_waiting", waiting,
		"spare", c.spare, "spare_want", c.spareWant, "looked_at", c.looked,
		"cost_boot", cents(money.boot), "cost_idle", cents(money.idle), "cost_run", cents(money.run),
		"cost_wait", cents(money.wait), "cost_service", cents(money.service), "cost_left", cents(money.left),
	}})
}

// cents is an amount of money for the log.
func cents(x float64) float64 { return math.Round(x*100) / 100 }
