package core

import "math"

// A service has to start within seconds, but a machine takes half a minute to come up. Spare
// capacity is therefore kept for expected services: for a share of the tasks that arrive, at the
// recent rate, while a machine is rented, and for one more job.

// spareShare is the share of expected tasks for which spare capacity is kept. For the others,
// capacity that becomes free in the meantime is expected to suffice. With a share of 1, no service
// started measurably sooner with respect to its start objective, and the cost was a tenth higher.
const spareShare = 0.4

// arrivals are statistics of the jobs submitted in a class.
type arrivals struct {
	need        Resources // of a task of the last job
	firstAt     Micros    // submission of the first job
	lastAt      Micros    // submission of the last job
	count       int
	rate        float64 // tasks per microsecond, as of lastAt
	meanTasks   float64 // moving average of a job's tasks
	meanImageMB float64 // moving average of a job's image size
}

// arrivalRateWindow is the time constant with which the arrival rate is smoothed.
const arrivalRateWindow = 60 * Second

// observe adds a job to the statistics. After a takeover, jobs are observed in no particular order.
func (a *arrivals) observe(j *job) {
	tasks := float64(len(j.status))
	if a.count == 0 {
		a.firstAt, a.lastAt, a.meanTasks, a.meanImageMB = j.submitted, j.submitted, tasks, float64(j.spec.ImageMB)
	}
	a.meanImageMB += (float64(j.spec.ImageMB) - a.meanImageMB) / 8
	a.need = j.spec.Resources
	a.meanTasks += (tasks - a.meanTasks) / 8
	a.firstAt = min(a.firstAt, j.submitted)
	if j.submitted > a.lastAt {
		a.rate = a.rateAt(j.submitted)
		a.lastAt = j.submitted
	}
	a.rate += tasks / float64(arrivalRateWindow) * math.Exp(-float64(a.lastAt-j.submitted)/float64(arrivalRateWindow))
	a.count++
}

// rateAt returns the arrival rate in tasks per microsecond, decayed since the last job.
func (a *arrivals) rateAt(now Micros) float64 {
	return a.rate * math.Exp(-float64(now-a.lastAt)/float64(arrivalRateWindow))
}

// moreExpected reports whether more jobs of the class are expected: less than three times the mean
// interval between jobs has passed since the last one. The interval counts as at least 10 s.
func (a *arrivals) moreExpected(now Micros) bool {
	if a.count == 0 {
		return false
	}
	interval := 10 * Second
	if a.count > 1 {
		interval = max(interval, (a.lastAt-a.firstAt)/Micros(a.count-1))
	}
	return now-a.lastAt < 3*interval
}

// updateSpare computes for how many service tasks spare capacity is wanted and counts, by zone, how
// many could start at once.
func (c *Core) updateSpare(now Micros) {
	c.spareTaskResources, c.spareTarget, c.spareTargetPerZone, c.spareFetchRate = Resources{}, 0, 0, 0
	target := 0.0
	for _, k := range c.classes {
		a := &k.serviceArrivals
		if !a.moreExpected(now) {
			continue
		}
		c.spareTaskResources.CPU = max(c.spareTaskResources.CPU, a.need.CPU)
		c.spareTaskResources.GPU = max(c.spareTaskResources.GPU, a.need.GPU)
		c.spareTaskResources.Mem = max(c.spareTaskResources.Mem, a.need.Mem)
		if len(k.startObjectives) > 0 {
			c.spareFetchRate = max(c.spareFetchRate, a.meanImageMB/(float64(k.startObjectives[0])/float64(Second)))
		}
		target += spareShare*a.rateAt(now)*float64(c.provisioningTime(&JobSpec{Resources: a.need})) + a.meanTasks
	}
	need, tasks := c.evacuationDemand(now)
	c.spareTaskResources = c.spareTaskResources.max(need)
	target += float64(tasks)
	clear(c.spareByZone)
	if c.spareTaskResources == (Resources{}) {
		return
	}
	zones := map[string]bool{}
	for _, t := range c.machineTypeList {
		if c.spareTaskResources.Fits(t.Capacity) {
			for _, z := range t.Zones {
				if !c.partitioned(z, now) {
					zones[z] = true
				}
			}
		}
	}
	c.spareTargetPerZone = max(c.cfg.Tuning.SpareTasks, int(math.Ceil(target/float64(max(len(zones), 1)))))
	c.spareTarget = max(2*c.cfg.Tuning.SpareTasks, int(math.Ceil(target)))
	for _, m := range c.sortedMachines {
		if !m.spot && c.schedulable(m, now) {
			c.spareByZone[m.zone] += c.spareSlots(m)
		}
	}
}

// spareSlots returns the number of service tasks for which the machine has room. Spare capacity
// that starving jobs use counts as free. Otherwise it would be replaced from capacity that becomes
// free, at the cost of jobs that are still on time.
func (c *Core) spareSlots(m *machine) int {
	return c.spareTaskResources.countIn(m.free().Add(m.spareUsed))
}

// takesSpare reports whether a batch task on the machine would use capacity that is kept for
// services. Spot machines keep none. Each machine keeps room for one service task, because each has
// different images in its cache, if the zone has little spare capacity or if a service that has to
// fetch its image would start too late. In a zone with too little, it keeps also what is no room for a
// service task yet, so that it becomes some; a job does not wait for it beyond starvationTimeout.
func (c *Core) takesSpare(need Resources, m *machine) bool {
	if m.spot || c.spareTaskResources == (Resources{}) {
		return false
	}
	remaining := c.spareTaskResources.countIn(m.free().Add(m.spareUsed).Sub(need))
	inZone := c.spareByZone[m.zone] - c.spareSlots(m) + remaining
	if inZone < c.spareTargetPerZone || remaining > 0 {
		return inZone < c.spareTargetPerZone
	}
	return inZone < 2*c.spareTargetPerZone || float64(m.typ.FetchMBps) < fetchTimeMargin*c.spareFetchRate
}

// fetchTimeMargin is the factor by which an image fetch may take longer than usual.
const fetchTimeMargin = 1.5

// neededForSpare reports whether there could be too little spare capacity for services without the
// machine.
func (c *Core) neededForSpare(m *machine) bool {
	if m.spot || c.spareTaskResources == (Resources{}) {
		return false
	}
	total := 0
	for _, n := range c.spareByZone {
		total += n
	}
	n := c.spareSlots(m)
	return c.spareByZone[m.zone]-n < c.spareTargetPerZone || total-n < c.spareTarget
}

// maxSparePriceRatio limits the price of spare capacity, as a multiple of the cheapest.
const maxSparePriceRatio = 2.0

// rentSpare rents the missing spare capacity, in at least two zones.
func (d *demand) rentSpare() {
	c := d.c
	if c.spareTaskResources == (Resources{}) {
		return
	}
	slots, total := map[string]int{}, 0
	for z, n := range c.spareByZone {
		slots[z] += n
		total += n
	}
	for _, m := range d.incoming {
		if !m.spot {
			n := c.spareTaskResources.countIn(m.free)
			slots[m.zone] += n
			total += n
		}
	}
	price := func(t *MachineType, missing int) float64 {
		return t.Price / float64(min(c.spareTaskResources.countIn(t.Capacity), missing))
	}
	cheapest := math.Inf(1)
	for _, t := range c.machineTypeList {
		if c.spareTaskResources.Fits(t.Capacity) {
			cheapest = min(cheapest, price(t, c.spareTargetPerZone))
		}
	}
	for {
		coveredZones := 0
		for _, n := range slots {
			if n >= c.spareTargetPerZone {
				coveredZones++
			}
		}
		if coveredZones >= 2 && total >= c.spareTarget {
			return
		}
		var best offer
		// Capacity that may never be used does not justify a machine that is expensive for its
		// size. Spare capacity is then rented later, when the cheap machines are no longer
		// refused.
		bestPrice := maxSparePriceRatio * cheapest
		for _, t := range c.machineTypeList {
			if !c.spareTaskResources.Fits(t.Capacity) {
				continue
			}
			for _, z := range t.Zones {
				missing := c.spareTarget - total
				if coveredZones < 2 {
					missing = c.spareTargetPerZone - slots[z]
				}
				o := offer{t.Name, z, false}
				if missing > 0 && d.mayRequest(o) && price(t, missing) < bestPrice {
					best, bestPrice = o, price(t, missing)
				}
			}
		}
		if best == (offer{}) {
			return
		}
		n := c.spareTaskResources.countIn(d.addRental(best, "spare capacity for services").free)
		slots[best.zone] += n
		total += n
	}
}
