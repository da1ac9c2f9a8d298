package core

import (
	"math"
	"slices"
)

// Batch jobs of a class whose tasks are to start sooner than a machine can be
// rented need machines that are there already: what the class uses, and as much
// more as it came to need within the time that a machine takes, at the worst
// that is remembered, but no more than it used at its peak.

// holding is what is known of such a class.
type reservation struct {
	arrivals
	sample  *JobSpec      // the last one's
	usage   Resources     // what its jobs use and wait for
	peak    Resources     // the most of that, forgotten slowly
	maxRise Resources     // the most by which it rose while a machine comes, forgotten slowly
	window  []usageSample // in the last such time
}

// usage is what a class used at a time.
type usageSample struct {
	at    Micros
	usage Resources
}

// look takes what the class uses now.
func (r *reservation) update(now, provisioning Micros, decay float64) {
	r.peak = r.usage.max(r.peak.scaled(decay))
	r.maxRise = r.maxRise.scaled(decay)
	for len(r.window) > 0 && now-r.window[0].at > provisioning {
		r.window = r.window[1:]
	}
	for _, past := range r.window {
		r.maxRise = r.maxRise.max(r.usage.Sub(past.usage))
	}
	r.window = append(r.window, usageSample{now, r.usage})
}

// atOnce reports whether tasks of a class are to start sooner than a machine can
// be rented and have their image: only then are machines held for it.
func (c *Core) needsReservation(k *jobClass) bool {
	r := &k.reservation
	t := c.fastestType(r.sample)
	if t == nil {
		return true
	}
	var fetch Micros
	if t.FetchMBps > 0 {
		fetch = Micros(r.meanImageMB * float64(Second) / float64(t.FetchMBps))
	}
	return k.startObjectives[0] < t.BootTime+fetch
}

// want is what is to be there for the class.
func (c *Core) reservationTarget(k *jobClass, now Micros) Resources {
	r := &k.reservation
	if !r.moreExpected(now) {
		return r.usage
	}
	return r.peak.min(r.usage.Add(r.maxRise))
}

// lookBack brings up to date what is known of such classes.
func (c *Core) updateReservations(now Micros) {
	for _, k := range c.objectiveClasses {
		k.reservation.usage = Resources{}
	}
	for _, j := range c.queue {
		if k := j.class; len(k.startObjectives) > 0 && j.spec.Kind != Service {
			r := &k.reservation
			if r.sample == nil {
				c.objectiveClasses = append(c.objectiveClasses, k)
				r.window = []usageSample{{at: now}}
			}
			r.sample = &j.spec
			r.usage = r.usage.Add(j.spec.Request.Times(j.pending + len(j.live)))
		}
	}
	c.reservedClasses = c.reservedClasses[:0]
	for _, k := range c.objectiveClasses {
		if c.needsReservation(k) {
			c.reservedClasses = append(c.reservedClasses, k)
		}
	}
	if c.unreconciled > 0 {
		c.usageUpdatedAt = now
		return
	}
	if c.reservationsUnknown {
		// What the former leader held is what there is: it is not let go only
		// because nobody remembers why.
		c.reservationsUnknown = false
		for _, k := range c.objectiveClasses {
			k.reservation.peak = k.reservation.usage
		}
		if len(c.reservedClasses) > 0 {
			r := &c.reservedClasses[0].reservation
			excess := Resources{}.Sub(c.reservationShortfall(now, nil)).max(Resources{})
			r.peak, r.maxRise = r.usage.Add(excess), excess
		}
	}
	decay := math.Exp(-float64(now-c.usageUpdatedAt) / float64(max(c.cfg.Tuning.ReservationDecay, 1)))
	c.usageUpdatedAt = now
	for _, k := range c.objectiveClasses {
		r := &k.reservation
		provisioning := c.provisioningTime(&JobSpec{Request: r.sample.Request})
		if now-c.termBeganAt < provisioning {
			r.window = nil // what had been waiting when the term began is no rise
		}
		r.update(now, provisioning, decay)
	}
}

// shortOfHeld says what is missing from what is held; where negative, as much
// can go.
func (c *Core) reservationShortfall(now Micros, incoming []*incomingMachine) Resources {
	if len(c.reservedClasses) == 0 {
		return Resources{math.MinInt32, math.MinInt32, math.MinInt32}
	}
	var shortfall Resources
	for _, k := range c.reservedClasses {
		shortfall = shortfall.Add(c.reservationTarget(k, now))
	}
	for _, in := range incoming {
		shortfall = shortfall.Sub(in.free)
	}
	for _, m := range c.sortedMachines {
		if !c.schedulable(m, now) {
			continue
		}
		shortfall = shortfall.Sub(m.typ.Capacity)
		for _, p := range m.placements {
			if p.occupies() && (p.job == nil || !slices.Contains(c.reservedClasses, p.job.class)) {
				shortfall = shortfall.Add(p.need)
			}
		}
	}
	return shortfall
}

// borrowsHeld reports whether a task of the job would take, beyond its team's min,
// room that is held for a class of higher priority which could not take it back: the
// class is of another team, and one without a min. That room is there for what is to
// start at once, and what borrows it may keep it for minutes. The team has use placed.
func (c *Core) borrowsReserved(j *job, usage Resources) bool {
	if j.starving || slices.Contains(c.reservedClasses, j.class) || withinGuarantee(usage, j.spec.Request, j.team.Min) {
		return false
	}
	for _, k := range c.reservedClasses {
		s := k.reservation.sample
		if s.Priority > j.spec.Priority && s.Team != j.spec.Team && !withinGuarantee(Resources{}, s.Request, c.team(s.Team).Min) {
			return c.lendable.CPU < j.spec.Request.CPU || c.lendable.GPU < j.spec.Request.GPU
		}
	}
	return false
}

// lacks reports whether CPUs or GPUs are missing. Memory comes with them.
func (r Resources) lacksCPUOrGPU() bool { return r.CPU > 0 || r.GPU > 0 }

// holding reports whether anything is held: then room on machines that a few
// services keep is of use.
func (c *Core) hasReservations(now Micros) bool {
	return slices.ContainsFunc(c.reservedClasses, func(k *jobClass) bool {
		return k.reservation.sample.Request.Fits(c.reservationTarget(k, now))
	})
}

// hold rents what is missing from what is held.
func (d *demand) rentReserved() {
	shortfall := d.c.reservationShortfall(d.now, d.incoming)
	for _, k := range d.c.reservedClasses {
		for shortfall.lacksCPUOrGPU() {
			o, ok := d.cheapestOffer(k.reservation.sample, math.MaxInt, func(string) bool { return true })
			if !ok {
				break
			}
			shortfall = shortfall.Sub(d.addRental(o, "held for tasks that are to start at once").free)
		}
	}
}
