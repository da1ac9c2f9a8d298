package core

import (
	"math"
	"slices"
)

// Batch jobs of a class whose tasks are to start within seconds can't wait for
// machines to be rented: as many CPUs as the class used at its peak are held for
// a while after it.

// lookBack brings up to date what each such class used at its peak, which is
// forgotten slowly.
func (c *Core) lookBack(now Micros) {
	for _, k := range c.held {
		k.cpu = 0
	}
	for _, j := range c.queue {
		if k := j.class; k.within > 0 && j.spec.Kind != Service {
			if k.sample == nil {
				c.held = append(c.held, k)
			}
			k.sample = &j.spec
			k.cpu += j.spec.Need.Times(j.pending + len(j.live)).CPU
		}
	}
	if c.unsettled > 0 {
		c.lookedBack = now
		return
	}
	if c.peakFromFleet {
		// What the former leader held is what there is: it is not let go only
		// because nobody remembers why.
		c.peakFromFleet = false
		if short := c.shortOfPeak(now, c.coming(now)); len(c.held) > 0 && short < 0 {
			c.held[0].peak -= short
		}
	}
	left := math.Exp(-float64(now-c.lookedBack) / float64(max(c.cfg.Tuning.Hold, 1)))
	c.lookedBack = now
	for _, k := range c.held {
		k.peak = max(k.cpu, int64(float64(k.peak)*left))
	}
}

// shortOfPeak says how many CPUs are missing from what is held; if negative,
// as many can go.
func (c *Core) shortOfPeak(now Micros, coming []*room) int64 {
	if len(c.held) == 0 {
		return math.MinInt64
	}
	var short int64
	for _, k := range c.held {
		short += k.peak
	}
	for _, r := range coming {
		short -= r.free.CPU
	}
	for _, m := range c.order {
		if !c.usable(m, now) {
			continue
		}
		short -= m.typ.Cap.CPU
		for _, p := range m.tasks {
			if p.holds() && (p.j == nil || !slices.Contains(c.held, p.j.class)) {
				short += p.need.CPU
			}
		}
	}
	return short
}

// holding reports whether any CPUs are held: then room on machines that a few
// services keep is of use.
func (c *Core) holding() bool {
	return slices.ContainsFunc(c.held, func(k *class) bool { return k.peak >= k.sample.Need.CPU })
}

// hold rents what is missing from what is held.
func (d *demand) hold() {
	short := d.c.shortOfPeak(d.now, d.coming)
	for _, k := range d.c.held {
		for short > 0 {
			of, ok := d.cheapest(k.sample, math.MaxInt, func(string) bool { return true })
			if !ok {
				break
			}
			short -= d.add(of, "held for tasks that are to start at once").free.CPU
		}
	}
}
