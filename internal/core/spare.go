package core

import "math"

// A service is to start within seconds and a machine takes half a minute, so
// room is kept for services that are expected: for a share of the tasks that
// come, at the rate they came lately, while a machine is rented, and for one
// job more.

// spareShare is that share: room falls free meanwhile as well. With all of them
// nothing started sooner that an aim could tell, for a tenth more money.
const spareShare = 0.4

// arrivals is what has been seen of a class of services.
type arrivals struct {
	need        Resources // of the last one's tasks
	firstAt     Micros
	lastAt      Micros
	count       int
	rate        float64 // tasks a microsecond, as of last
	meanTasks   float64 // tasks of a job, smoothed
	meanImageMB float64 // of its image, smoothed
}

// rateWindow is over how long the rate is smoothed.
const arrivalRateWindow = 60 * Second

// seen notes a service. After a takeover they come in no order.
func (a *arrivals) observe(j *job) {
	tasks := float64(len(j.status))
	if a.count == 0 {
		a.firstAt, a.lastAt, a.meanTasks, a.meanImageMB = j.submitted, j.submitted, tasks, float64(j.spec.ImageMB)
	}
	a.meanImageMB += (float64(j.spec.ImageMB) - a.meanImageMB) / 8
	a.need = j.spec.Request
	a.meanTasks += (tasks - a.meanTasks) / 8
	a.firstAt = min(a.firstAt, j.submitted)
	if j.submitted > a.lastAt {
		a.rate = a.rateAt(j.submitted)
		a.lastAt = j.submitted
	}
	a.rate += tasks / float64(arrivalRateWindow) * math.Exp(-float64(a.lastAt-j.submitted)/float64(arrivalRateWindow))
	a.count++
}

func (a *arrivals) rateAt(now Micros) float64 {
	return a.rate * math.Exp(-float64(now-a.lastAt)/float64(arrivalRateWindow))
}

// expected reports whether more services of the class are to be expected:
// three times the usual pause has not passed yet.
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

// countSpare works out for how many tasks of services room is wanted, and
// counts, by zone, how many could start at once.
func (c *Core) updateSpare(now Micros) {
	c.spareTaskRequest, c.spareTarget, c.spareTargetPerZone, c.spareFetchRate = Resources{}, 0, 0, 0
	target := 0.0
	for _, k := range c.classes {
		a := &k.serviceArrivals
		if !a.moreExpected(now) {
			continue
		}
		c.spareTaskRequest.CPU = max(c.spareTaskRequest.CPU, a.need.CPU)
		c.spareTaskRequest.GPU = max(c.spareTaskRequest.GPU, a.need.GPU)
		c.spareTaskRequest.Mem = max(c.spareTaskRequest.Mem, a.need.Mem)
		if len(k.startObjectives) > 0 {
			c.spareFetchRate = max(c.spareFetchRate, a.meanImageMB/(float64(k.startObjectives[0])/float64(Second)))
		}
		target += spareShare*a.rateAt(now)*float64(c.provisioningTime(&JobSpec{Request: a.need})) + a.meanTasks
	}
	need, tasks := c.evacuationDemand(now)
	c.spareTaskRequest = c.spareTaskRequest.max(need)
	target += float64(tasks)
	clear(c.spareByZone)
	if c.spareTaskRequest == (Resources{}) {
		return
	}
	zones := map[string]bool{}
	for _, t := range c.machineTypeList {
		if c.spareTaskRequest.Fits(t.Capacity) {
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

// spareOn is how many tasks of services the machine has room for. What is lent counts as if it
// were there: kept anew out of the room that falls free, it would be taken from jobs that are
// in time, for those that had waited for long.
func (c *Core) spareSlots(m *machine) int {
	return c.spareTaskRequest.countIn(m.free().Add(m.spareUsed))
}

// takesSpare reports whether a batch task on the ordinary machine would take
// room that is kept for services. Every machine keeps room for one, as each has
// other images in its cache, if there is little room, or if a service's start is
// too late once its image has to be fetched.
func (c *Core) takesSpare(need Resources, m *machine) bool {
	if m.spot || c.spareTaskRequest == (Resources{}) {
		return false
	}
	remaining := c.spareTaskRequest.countIn(m.free().Add(m.spareUsed).Sub(need))
	inZone := c.spareByZone[m.zone] - c.spareSlots(m) + remaining
	if inZone < c.spareTargetPerZone || remaining > 0 {
		return inZone < c.spareTargetPerZone
	}
	return inZone < 2*c.spareTargetPerZone || float64(m.typ.FetchMBps) < fetchTimeMargin*c.spareFetchRate
}

// fetchSpread is how much longer than usual a fetch may well take.
const fetchTimeMargin = 1.5

// neededSpare reports whether services could lack room without the machine.
func (c *Core) neededForSpare(m *machine) bool {
	if m.spot || c.spareTaskRequest == (Resources{}) {
		return false
	}
	total := 0
	for _, n := range c.spareByZone {
		total += n
	}
	n := c.spareSlots(m)
	return c.spareByZone[m.zone]-n < c.spareTargetPerZone || total-n < c.spareTarget
}

// spareAtMost is how many times the cheapest price spare room may cost.
const maxSparePriceRatio = 2.0

// spare rents the room that is missing, in two zones at least.
func (d *demand) rentSpare() {
	c := d.c
	if c.spareTaskRequest == (Resources{}) {
		return
	}
	slots, total := map[string]int{}, 0
	for z, n := range c.spareByZone {
		slots[z] += n
		total += n
	}
	for _, m := range d.incoming {
		if !m.spot {
			n := c.spareTaskRequest.countIn(m.free)
			slots[m.zone] += n
			total += n
		}
	}
	price := func(t *MachineType, missing int) float64 {
		return t.Price / float64(min(c.spareTaskRequest.countIn(t.Capacity), missing))
	}
	cheapest := math.Inf(1)
	for _, t := range c.machineTypeList {
		if c.spareTaskRequest.Fits(t.Capacity) {
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
		// Room that may never be used is not worth a machine that is dear for
		// its size; it is tried again when the cheap ones are not refused.
		bestPrice := maxSparePriceRatio * cheapest
		for _, t := range c.machineTypeList {
			if !c.spareTaskRequest.Fits(t.Capacity) {
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
		n := c.spareTaskRequest.countIn(d.addRental(best, "spare room for services").free)
		slots[best.zone] += n
		total += n
	}
}
