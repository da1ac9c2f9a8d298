package core

import (
	"math"
	"slices"
)

// Batch jobs of a class whose tasks have to start sooner than a machine can be rented need machines
// that are up already. For such a class, capacity is reserved: its present usage plus the largest
// remembered rise of its usage within the time that a machine takes to come up, but no more than
// its peak usage.

// reservation is the usage of a class that has a start objective. Peak and rise decay over time.
type reservation struct {
	arrivals
	sample  *JobSpec      // the last job
	usage   Resources     // placed and pending tasks
	peak    Resources     // maximum of usage
	maxRise Resources     // maximum rise of usage within the provisioning time
	window  []usageSample // samples within the last provisioning time
}

// usageSample is the usage of a class at a time.
type usageSample struct {
	at    Micros
	usage Resources
}

// update adds the present usage to the window, the peak and the rise. provisioning is the length of
// the window, and decay the factor by which peak and rise have decayed since the last update.
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

// needsReservation reports whether tasks of the class have to start sooner than a machine can be
// rented and can fetch their image, or whether no machine type is suitable. Capacity is
// reserved only for such a class.
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

// reservationTarget returns the capacity that should be up for the class, including what it uses.
func (c *Core) reservationTarget(k *jobClass, now Micros) Resources {
	r := &k.reservation
	if !r.moreExpected(now) {
		return r.usage
	}
	return r.peak.min(r.usage.Add(r.maxRise))
}

// updateReservations updates the usage of the classes with a start objective and determines for
// which of them capacity is reserved.
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
			r.usage = r.usage.Add(j.spec.Resources.Times(j.pending + len(j.live)))
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
		// The former leader's reservations are not recorded. They are taken to be all of the
		// present capacity, so that no machine is released only because it is not known
		// what it was rented for.
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
		provisioning := c.provisioningTime(&JobSpec{Resources: r.sample.Resources})
		if now-c.termBeganAt < provisioning {
			r.window = nil // jobs that were pending when the term began are no rise
		}
		r.update(now, provisioning, decay)
	}
}

// reservationShortfall returns the capacity that is missing from the reservations, given the
// machines that are up and the incoming ones. Where it is negative, that much can be released.
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

// borrowsReserved reports whether a task of the job, beyond its team's minimum, would use capacity
// that is reserved for a class of higher priority and that this class could not reclaim, because
// the class belongs to another team, whose minimum covers no task of it. Tasks of the class have to
// start at once, while a borrower may keep the capacity for minutes. usage is what the job's team
// uses.
func (c *Core) borrowsReserved(j *job, usage Resources) bool {
	if j.starving || slices.Contains(c.reservedClasses, j.class) || withinGuarantee(usage, j.spec.Resources, j.team.Min) {
		return false
	}
	for _, k := range c.reservedClasses {
		s := k.reservation.sample
		if s.Priority > j.spec.Priority && s.Team != j.spec.Team && !withinGuarantee(Resources{}, s.Resources, c.team(s.Team).Min) {
			return c.reservationSurplus.CPU < j.spec.Resources.CPU || c.reservationSurplus.GPU < j.spec.Resources.GPU
		}
	}
	return false
}

// lacksCPUOrGPU reports whether a shortfall contains CPUs or GPUs. Memory comes with them.
func (r Resources) lacksCPUOrGPU() bool { return r.CPU > 0 || r.GPU > 0 }

// hasReservations reports whether capacity is reserved for at least one task of a class. Then
// machines that run only a few services are not emptied, because their free capacity is useful.
func (c *Core) hasReservations(now Micros) bool {
	return slices.ContainsFunc(c.reservedClasses, func(k *jobClass) bool {
		return k.reservation.sample.Resources.Fits(c.reservationTarget(k, now))
	})
}

// rentReserved rents the capacity that is missing from the reservations.
func (d *demand) rentReserved() {
	shortfall := d.c.reservationShortfall(d.now, d.incoming)
	for _, k := range d.c.reservedClasses {
		for shortfall.lacksCPUOrGPU() {
			o, ok := d.cheapestOffer(k.reservation.sample, math.MaxInt, func(string) bool { return true })
			if !ok {
				break
			}
			shortfall = shortfall.Sub(d.addRental(o, "reserved for tasks that have to start at once").free)
		}
	}
}
